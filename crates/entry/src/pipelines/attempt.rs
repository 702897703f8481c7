//! Attempts on a chain: each has a thread that reads the frames that the chain sends.

use std::sync::mpsc::Sender;
use std::sync::Arc;
use std::thread;

use yuccanotch_core::engine::CancelRequest;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::RunRequest;
use yuccanotch_core::stream::Event;

use crate::engine_client::CallError;
use crate::engine_client::EngineClient;

/// Message from the thread that reads an attempt to the loop that runs the request.
#[derive(Debug)]
#[allow(clippy::large_enum_variant)]
pub(super) enum Progress {
    /// The first server accepted the run, or its answer was lost: the run may have begun.
    MayHaveRun,
    /// Event for the state machine of the answer.
    Event(Event),
}

/// Starts an attempt on a thread of its own, which sends its frames and its end to `tx`.
pub(super) fn start(engines: &Arc<EngineClient>, run: RunRequest, tx: Sender<Progress>) {
    let engines = engines.clone();
    let attempt = run.attempt;
    let spawn_error_tx = tx.clone();
    let reader = move || read_frames(&engines, &run, &tx);
    let spawned = thread::Builder::new().name("attempt".to_owned()).spawn(reader);
    if spawned.is_err() {
        send(&spawn_error_tx, Event::ConnectRefused(attempt));
    }
}

fn read_frames(engines: &EngineClient, run: &RunRequest, tx: &Sender<Progress>) {
    let attempt = run.attempt;
    let mut stream = match engines.run(run) {
        Ok(stream) => stream,
        Err(CallError::NotSent) => {
            send(tx, Event::ConnectRefused(attempt));
            return;
        }
        Err(CallError::Refused(frame)) => {
            send(tx, Event::Frame(attempt, Frame::Error(frame)));
            return;
        }
        Err(CallError::Lost(_)) => {
            let _ = tx.send(Progress::MayHaveRun);
            send(tx, Event::Closed(attempt));
            return;
        }
    };
    if tx.send(Progress::MayHaveRun).is_err() {
        return;
    }
    loop {
        let event = match stream.next_frame() {
            Ok(Some(Ok(frame))) => Event::Frame(attempt, frame),
            Ok(Some(Err(_))) => Event::Malformed(attempt),
            Ok(None) | Err(_) => break,
        };
        if !send(tx, event) {
            return;
        }
    }
    send(tx, Event::Closed(attempt));
}

fn send(tx: &Sender<Progress>, event: Event) -> bool {
    tx.send(Progress::Event(event)).is_ok()
}

/// Tells the server at `address` to cancel an attempt, without waiting for the answer.
pub(super) fn cancel(engines: &Arc<EngineClient>, address: String, cancel: CancelRequest) {
    let engines = engines.clone();
    let call = move || engines.cancel(&address, &cancel);
    // If no thread can be spawned, the run ends at its deadline.
    let _ = thread::Builder::new().name("cancel".to_owned()).spawn(call);
}
