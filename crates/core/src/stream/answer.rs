//! State machine of one answer across its attempts.

use smallvec::smallvec;
use smallvec::SmallVec;

use super::check::check_count;
use super::check::check_receipt;
use super::messages::Action;
use super::messages::Actions;
use super::messages::AttemptPlan;
use super::messages::Closing;
use super::messages::Event;
use super::messages::StreamSpec;
use super::pace::Pace;
use crate::clock::Millis;
use crate::defect::planted;
use crate::digest::TokenDigest;
use crate::engine::Chain;
use crate::engine::EndFrame;
use crate::engine::EngineFault;
use crate::engine::ErrorFrame;
use crate::engine::Frame;
use crate::engine::TokenFrame;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::reason::FrameFault;
use crate::reason::RefusalReason;
use crate::reason::RetryReason;

/// Fewest remaining tokens for which a move from a slow chain to another one is offered; below
/// it the move costs more than it saves.
const MIN_REMAINING_TOKENS_TO_MOVE: u32 = 8;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Phase {
    /// No attempt is running; the driver has to begin one.
    Idle,
    /// An attempt is running.
    Running,
    /// The closing frame or a failure was returned to the driver.
    Ended,
}

/// State machine of one answer across its attempts.
#[derive(Clone, Debug)]
pub struct AnswerStream {
    spec: StreamSpec,
    phase: Phase,
    attempt: Attempt,
    chain: Chain,
    pace: Pace,
    released: Vec<String>,
    digest: TokenDigest,
    stalls: u32,
    /// Whether the driver was offered to leave the running attempt's degraded chain.
    move_offered: bool,
    kv_sources: SmallVec<[ServerName; 4]>,
}

impl AnswerStream {
    /// Creates an answer without an attempt.
    pub fn new(spec: StreamSpec) -> Self {
        Self {
            spec,
            phase: Phase::Idle,
            attempt: Attempt(0),
            chain: Chain::new(),
            pace: Pace::new(Millis::ZERO, Millis::ZERO, 0, 0),
            released: Vec::new(),
            digest: TokenDigest::default(),
            stalls: 0,
            move_offered: false,
            kv_sources: SmallVec::new(),
        }
    }

    /// Begins the next attempt on the chain of `plan`; a running attempt is cancelled.
    ///
    /// Returns the number of the attempt and the actions to carry out before it is sent.
    pub fn begin_attempt(&mut self, now: Millis, plan: AttemptPlan) -> (Attempt, Actions) {
        let mut actions = Actions::new();
        if self.phase == Phase::Running {
            self.record_kv_sources(None);
            actions.push(Action::Cancel(self.attempt));
        }
        self.attempt = self.attempt.next();
        self.chain = plan.chain;
        self.pace = Pace::new(now, plan.first_token, plan.step_us, self.stalls);
        self.phase = Phase::Running;
        self.move_offered = false;
        (self.attempt, actions)
    }

    /// Keeps the running attempt although its chain is degraded.
    pub fn keep_chain(&mut self) {
        self.pace.accept_as_expected();
        self.move_offered = false;
    }

    /// Changes the model version, unless a token was released or an attempt is running.
    ///
    /// Returns whether the answer's version is now `version`.
    pub fn change_version(&mut self, version: &ModelVersion) -> bool {
        let may_change = self.released.is_empty() || planted!(VersionUnpinned);
        if may_change && self.phase == Phase::Idle {
            self.spec.version = version.clone();
        }
        self.spec.version == *version
    }

    /// Handles an event and returns the actions to carry out.
    pub fn on_event(&mut self, now: Millis, event: Event) -> Actions {
        match event {
            Event::Frame(attempt, frame) => self.on_frame(now, attempt, frame),
            Event::Malformed(attempt) => self.on_malformed(attempt),
            Event::Closed(attempt) => self.on_connection_lost(attempt, RetryReason::Truncated),
            Event::ConnectRefused(attempt) => {
                self.on_connection_lost(attempt, RetryReason::ConnectRefused)
            }
            Event::Tick => self.on_tick(now),
            Event::CallerGone => self.end_with_failure(RefusalReason::CallerGone),
        }
    }

    /// Ends the answer because no further attempt is possible.
    pub fn fail(&mut self, reason: RefusalReason) -> Actions {
        self.end_with_failure(reason)
    }

    /// Returns the time at which [`Event::Tick`] is due, if any.
    pub fn wake_at(&self) -> Option<Millis> {
        match self.phase {
            Phase::Ended => None,
            Phase::Idle => Some(self.spec.deadline),
            Phase::Running => Some(self.pace.stall_at().min(self.spec.deadline)),
        }
    }

    /// Returns whether the closing frame or a failure was returned to the driver.
    pub fn is_ended(&self) -> bool {
        self.phase == Phase::Ended
    }

    /// Returns the tokens released so far.
    pub fn released(&self) -> &[String] {
        &self.released
    }

    /// Returns the tokens that the next attempt continues after.
    pub fn resume_tokens(&self) -> &[String] {
        let skipped = usize::from(planted!(ResumeOffByOne));
        &self.released[..self.released.len().saturating_sub(skipped)]
    }

    /// Returns the model version that every layer has to run with.
    pub fn version(&self) -> &ModelVersion {
        &self.spec.version
    }

    /// Returns the request that the answer belongs to.
    pub fn request(&self) -> RequestId {
        self.spec.request
    }

    /// Returns the number of the latest attempt; 0 before the first.
    pub fn attempt(&self) -> Attempt {
        self.attempt
    }

    /// Returns the chain of the latest attempt.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Returns the estimated time between tokens of the latest attempt.
    pub fn pace(&self) -> &Pace {
        &self.pace
    }

    /// Returns the servers of the chain abandoned last, which may still hold the request's KV
    /// cache.
    pub fn kv_sources(&self) -> &[ServerName] {
        &self.kv_sources
    }

    fn on_frame(&mut self, now: Millis, connection: Attempt, frame: Frame) -> Actions {
        let (request, attempt) = frame_ids(&frame);
        if request != self.spec.request {
            return count_fault(FrameFault::WrongRequest);
        }
        let is_stale = attempt != self.attempt || connection != self.attempt;
        if is_stale && !planted!(OldAttemptAccepted) {
            return count_fault(FrameFault::OldAttempt);
        }
        match self.phase {
            Phase::Idle => return count_fault(FrameFault::OldAttempt),
            Phase::Ended => return count_fault(FrameFault::AfterEnd),
            Phase::Running => {}
        }
        match frame {
            Frame::Token(frame) => self.on_token(now, frame),
            Frame::End(frame) => self.on_end(&frame),
            Frame::Error(frame) => self.on_error(frame),
        }
    }

    fn on_token(&mut self, now: Millis, frame: TokenFrame) -> Actions {
        let next = self.next_index();
        if frame.index < next {
            return count_fault(FrameFault::Repeated);
        }
        if frame.index > next {
            return self.on_bad_frame(FrameFault::Gap, None);
        }
        if frame.index >= self.spec.max_tokens {
            return self.on_bad_frame(FrameFault::Count, None);
        }
        let checked = check_receipt(&frame, &self.chain, self.spec.layers, &self.spec.version);
        if let Err(e) = checked {
            return self.on_bad_frame(e.fault, e.server);
        }
        self.pace.on_token(now);
        self.digest.push(&frame.token);
        self.released.push(frame.token.clone());
        let mut actions: Actions = smallvec![Action::Release(frame.token)];
        if self.should_offer_move() {
            self.move_offered = true;
            actions.push(Action::Retry { reason: RetryReason::LinkDegraded, server: None });
        }
        actions
    }

    fn should_offer_move(&self) -> bool {
        let remaining = self.spec.max_tokens.saturating_sub(self.next_index());
        !self.move_offered && remaining >= MIN_REMAINING_TOKENS_TO_MOVE && self.pace.is_degraded()
    }

    fn on_end(&mut self, frame: &EndFrame) -> Actions {
        let released = self.next_index();
        if let Err(fault) = check_count(frame, released) {
            return self.on_bad_frame(fault, None);
        }
        if frame.digest != self.digest.finish() && !planted!(EndDigestUnchecked) {
            // Released tokens cannot be withdrawn, and another attempt would continue after them.
            let mut actions = count_fault(FrameFault::Digest);
            actions.extend(self.end_with_failure(RefusalReason::ServerFailed));
            return actions;
        }
        self.phase = Phase::Ended;
        smallvec![Action::Close(Closing {
            count: frame.count,
            digest: frame.digest,
            finish: frame.finish,
            prompt_tokens: frame.prompt_tokens,
            cached_tokens: frame.cached_tokens,
            attempts: self.attempt.0,
        })]
    }

    fn on_error(&mut self, frame: ErrorFrame) -> Actions {
        let reason = match frame.fault {
            EngineFault::StageLost | EngineFault::Cancelled => RetryReason::StageLost,
            EngineFault::Full | EngineFault::Leaving => RetryReason::ServerFull,
            EngineFault::NotLoaded => RetryReason::NotLoaded,
            EngineFault::DeadlineExceeded => {
                return self.end_with_failure(RefusalReason::DeadlineExceeded)
            }
            EngineFault::Invalid => return self.end_with_failure(RefusalReason::Malformed),
        };
        self.retry(reason, Some(frame.server))
    }

    fn on_malformed(&mut self, attempt: Attempt) -> Actions {
        if attempt != self.attempt || self.phase != Phase::Running {
            return count_fault(FrameFault::Malformed);
        }
        self.on_bad_frame(FrameFault::Malformed, None)
    }

    fn on_bad_frame(&mut self, fault: FrameFault, server: Option<ServerName>) -> Actions {
        let mut actions = count_fault(fault);
        actions.extend(self.retry(RetryReason::BadFrame, server));
        actions
    }

    fn on_connection_lost(&mut self, attempt: Attempt, reason: RetryReason) -> Actions {
        if attempt != self.attempt || self.phase != Phase::Running {
            return Actions::new();
        }
        let server = self.chain.first().map(|hop| hop.server.clone());
        self.retry(reason, server)
    }

    fn on_tick(&mut self, now: Millis) -> Actions {
        if self.phase == Phase::Ended {
            return Actions::new();
        }
        if now >= self.spec.deadline {
            return self.end_with_failure(RefusalReason::DeadlineExceeded);
        }
        if self.phase == Phase::Running && now >= self.pace.stall_at() {
            self.stalls += 1;
            return self.retry(RetryReason::Stalled, None);
        }
        Actions::new()
    }

    fn end_with_failure(&mut self, reason: RefusalReason) -> Actions {
        if self.phase == Phase::Ended {
            return Actions::new();
        }
        let mut actions = Actions::new();
        if self.phase == Phase::Running {
            actions.push(Action::Cancel(self.attempt));
        }
        self.phase = Phase::Ended;
        actions.push(Action::Fail(reason));
        actions
    }

    fn retry(&mut self, reason: RetryReason, server: Option<ServerName>) -> Actions {
        self.record_kv_sources(server.as_ref());
        self.phase = Phase::Idle;
        smallvec![Action::Cancel(self.attempt), Action::Retry { reason, server }]
    }

    fn record_kv_sources(&mut self, at_fault: Option<&ServerName>) {
        let survivors = self.chain.iter().filter(|hop| Some(&hop.server) != at_fault);
        self.kv_sources = survivors.map(|hop| hop.server.clone()).collect();
    }

    fn next_index(&self) -> u32 {
        u32::try_from(self.released.len()).unwrap_or(u32::MAX)
    }
}

pub(super) fn frame_ids(frame: &Frame) -> (RequestId, Attempt) {
    match frame {
        Frame::Token(frame) => (frame.request, frame.attempt),
        Frame::End(frame) => (frame.request, frame.attempt),
        Frame::Error(frame) => (frame.request, frame.attempt),
    }
}

fn count_fault(fault: FrameFault) -> Actions {
    smallvec![Action::Count(fault)]
}
