//! Event loop of one request over its attempts.

mod chain_choice;
mod result;
mod retries;
mod running_attempt;

use std::sync::mpsc;
use std::sync::mpsc::Receiver;
use std::sync::mpsc::RecvTimeoutError;
use std::sync::mpsc::Sender;

use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::prefix_hashes;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event as LogEvent;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::route::Verdict;
use yuccanotch_core::stream;
use yuccanotch_core::stream::Action;
use yuccanotch_core::stream::Actions;
use yuccanotch_core::stream::AnswerStream;
use yuccanotch_core::stream::Event;
use yuccanotch_core::stream::StreamSpec;

use self::running_attempt::RunningAttempt;
use super::attempt::Progress;
use super::AnswerSummary;
use super::ChatJob;
use super::TokenSink;
use crate::host::Host;
use crate::problem::Refusal;
use crate::quarantine::AttemptTracker;

/// Time between two checks of the caller's connection while no event arrives.
const CALLER_POLL_INTERVAL: Millis = Millis(200);

/// Runs one request: starts attempts, passes their events to the answer stream and executes the
/// actions that follow.
pub(super) struct Runner<'a> {
    host: &'a Host,
    job: &'a ChatJob,
    sink: &'a mut dyn TokenSink,
    stream: AnswerStream,
    running: Option<RunningAttempt>,
    tx: Sender<Progress>,
    rx: Receiver<Progress>,
    prefixes: SmallVec<[u64; 16]>,
    prompt_words: u32,
    /// Servers that failed this request; they are used again only when no other chain exists.
    failed_servers: Vec<ServerName>,
    /// Servers of the last failed attempt that were full or may be at fault; the router uses them
    /// only at a much higher cost.
    penalized_servers: Vec<ServerName>,
    tracker: AttemptTracker<'a>,
    resumes: u32,
    full_refusals: u32,
    may_have_run: bool,
    /// Time of the first failed attempt since an attempt last produced a token.
    lost_at: Option<Millis>,
    outcome: Option<Result<stream::Closing, RefusalReason>>,
}

impl<'a> Runner<'a> {
    pub(super) fn new(host: &'a Host, job: &'a ChatJob, sink: &'a mut dyn TokenSink) -> Self {
        let (tx, rx) = mpsc::channel();
        let stream = AnswerStream::new(StreamSpec {
            request: job.request,
            version: job.version.clone(),
            layers: job.layers,
            max_tokens: job.max_tokens,
            deadline: job.deadline,
        });
        Self {
            host,
            job,
            sink,
            stream,
            running: None,
            tx,
            rx,
            prefixes: prefix_hashes(&job.prompt),
            prompt_words: count_words(&job.prompt),
            failed_servers: Vec::new(),
            penalized_servers: Vec::new(),
            tracker: AttemptTracker::new(host, job.request, fingerprint(job)),
            resumes: 0,
            full_refusals: 0,
            may_have_run: false,
            lost_at: None,
            outcome: None,
        }
    }

    /// Runs the request until its answer is complete or refused.
    pub(super) fn run(mut self) -> Result<AnswerSummary, Refusal> {
        self.host.routing.on_request(self.now());
        self.start_attempt();
        while self.outcome.is_none() {
            self.step();
        }
        match self.outcome.take() {
            Some(Ok(closing)) => Ok(self.summary(&closing)),
            Some(Err(reason)) => Err(self.refusal(reason)),
            None => Err(self.refusal(RefusalReason::ServerFailed)),
        }
    }

    fn now(&self) -> Millis {
        self.host.clock.now()
    }

    /// Waits for the next event of an attempt or the next timeout, and handles it.
    fn step(&mut self) {
        let now = self.now();
        let wake_at = self.stream.wake_at().unwrap_or(now);
        let wait = wake_at.since(now).min(CALLER_POLL_INTERVAL);
        let event = match self.rx.recv_timeout(wait.to_duration()) {
            Ok(progress) => self.on_progress(progress),
            Err(RecvTimeoutError::Timeout) if self.sink.is_gone() => Some(Event::CallerGone),
            Err(_) => Some(Event::Tick),
        };
        if let Some(event) = event {
            self.handle(event);
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.now();
        let actions = self.stream.on_event(now, event);
        self.apply(now, actions);
    }

    fn on_progress(&mut self, progress: Progress) -> Option<Event> {
        match progress {
            Progress::MayHaveRun => {
                self.may_have_run = true;
                None
            }
            Progress::Event(event) => Some(event),
        }
    }

    fn apply(&mut self, now: Millis, actions: Actions) {
        for action in actions {
            match action {
                Action::Release(token) => self.on_release(now, &token),
                Action::Close(closing) => self.on_close(now, closing),
                Action::Cancel(attempt) => self.cancel(attempt),
                Action::Retry { reason, server } => self.on_retry(now, reason, server),
                Action::Fail(reason) => self.on_fail(now, reason),
                Action::Count(fault) => {
                    self.host.telemetry.count_frame_fault(fault);
                    emit(
                        LogEvent::FrameDropped,
                        format_args!("request={} fault={fault}", self.job.request),
                    );
                }
            }
        }
    }

    fn on_release(&mut self, now: Millis, token: &str) {
        self.record_first_token(now);
        if self.sink.push_token(token).is_err() {
            let actions = self.stream.on_event(now, Event::CallerGone);
            self.apply(now, actions);
        }
    }

    fn on_close(&mut self, now: Millis, closing: stream::Closing) {
        self.end_attempt(now, Verdict::Success);
        self.tracker.mark_answer_complete();
        self.outcome = Some(Ok(closing));
    }

    fn on_fail(&mut self, now: Millis, reason: RefusalReason) {
        self.end_attempt(now, Verdict::Inconclusive);
        self.outcome = Some(Err(reason));
    }

    fn give_up(&mut self, reason: RefusalReason) {
        let now = self.now();
        let actions = self.stream.fail(reason);
        self.apply(now, actions);
    }
}

fn fingerprint(job: &ChatJob) -> Fingerprint {
    let body = format!("{}\n{}", job.model, job.prompt);
    Fingerprint::new(&job.team, body.as_bytes())
}

fn count_words(prompt: &str) -> u32 {
    u32::try_from(prompt.split_whitespace().count()).unwrap_or(u32::MAX)
}
