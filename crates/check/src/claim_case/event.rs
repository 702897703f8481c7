//! Events of a run and the queue of those that are scheduled.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use yuccanotch_core::claim::ClaimMessage;
use yuccanotch_core::claim::Input;
use yuccanotch_core::claim::SlotId;
use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;

use super::dispatch::DispatchResult;
use super::faults::Fault;
use super::process::CallId;
use super::process::ProcessId;
use super::process::WaitId;

/// Scheduled event. `wait` is the number of the wait that an input or a message belongs to.
#[derive(Clone, Debug)]
pub(super) enum Event {
    Send { request: usize },
    CallerTimeout { request: usize, sends: u32 },
    Input { process: ProcessId, call: CallId, wait: WaitId, input: Input },
    PeerMessage { to: HostName, from: ProcessId, call: CallId, wait: WaitId, message: ClaimMessage },
    RunStoreCall { process: ProcessId, slot: SlotId, call: StoreCall },
    StoreReply { process: ProcessId, slot: SlotId, answer: StoreAnswer },
    PollWriters { process: ProcessId },
    Dispatch { process: ProcessId, call: CallId },
    DispatchDone { process: ProcessId, call: CallId, result: DispatchResult },
    Fault(Fault),
}

impl Event {
    /// Returns the process that handles the event: a dead one drops it, a paused one handles it later.
    pub(super) fn process(&self) -> Option<ProcessId> {
        match self {
            Self::Input { process, .. }
            | Self::StoreReply { process, .. }
            | Self::PollWriters { process }
            | Self::Dispatch { process, .. }
            | Self::DispatchDone { process, .. } => Some(*process),
            _ => None,
        }
    }
}

/// Scheduled events, earliest first; events of one time in the order in which they were added.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    /// Times and numbers of the events.
    due: BinaryHeap<Reverse<(Millis, u64)>>,
    /// Events by number.
    events: HashMap<u64, Event>,
    last_number: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, at: Millis, event: Event) {
        self.last_number += 1;
        self.events.insert(self.last_number, event);
        self.due.push(Reverse((at, self.last_number)));
    }

    /// Removes the earliest event and returns it with its time.
    ///
    /// # Panics
    ///
    /// Panics if an event is missing although its time is queued.
    pub(super) fn pop(&mut self) -> Option<(Millis, Event)> {
        let Reverse((at, number)) = self.due.pop()?;
        let event = self.events.remove(&number).expect("each queued event is stored");
        Some((at, event))
    }
}
