//! What is true of one request: whether it may have run, whether it may be sent once more, and what
//! a failure may say.

use crate::defect::planted;
use crate::forward::routes::RepeatPolicy;

/// Attempts without a byte sent that do not count as attempts.
const MAX_FREE_UNSENT_ATTEMPTS: u8 = 4;
/// Times that a stream that has begun goes on at servers that have had it: the bound on attempts is
/// one on servers.
const MAX_RESENDS: u8 = 6;

/// A server that a request is about to be written to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptTarget {
    /// One that has not had the request.
    Untried,
    /// One that has had it.
    Tried,
}

/// How an attempt at a server ended without a usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// No connection came about, or none of the request's bytes left the host.
    NotSent,
    /// The server states that it did not run the request.
    Declined,
    /// The connection broke after bytes had left, or the answer is not this request's whole answer.
    Broken,
    /// The server answered with a failure of its own, having run the request.
    Failed,
    /// The server stayed silent for longer than its work explains.
    Silent,
}

/// What to do after an attempt has ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request to another server.
    Retry,
    /// Give the caller the server's own failure.
    PassOn,
    /// Tell the caller that the request did not run and will not.
    Refuse,
    /// Tell the caller that it is unknown whether the request ran.
    Unknown,
    /// Break off the answer that has begun.
    BreakOff,
}

/// What decides about another attempt, beside the request itself.
#[derive(Clone, Copy, Debug)]
pub struct RetryConditions {
    /// Whether the shared budget of repeats allows one more.
    pub within_budget: bool,
    /// Whether enough of the deadline is left.
    pub within_deadline: bool,
}

/// The state of one request from its admission to its end.
#[derive(Clone, Debug)]
pub struct RequestState {
    repeat: RepeatPolicy,
    attempts_left: u8,
    resends_left: u8,
    target: AttemptTarget,
    free_unsent_attempts: u8,
    in_flight: bool,
    may_have_run: bool,
    begun: bool,
}

impl RequestState {
    /// Creates the state of a request that has not been sent.
    pub fn new(repeat: RepeatPolicy, max_attempts: u8) -> Self {
        Self {
            repeat,
            attempts_left: max_attempts.max(1),
            resends_left: MAX_RESENDS,
            target: AttemptTarget::Untried,
            free_unsent_attempts: 0,
            in_flight: false,
            may_have_run: false,
            begun: false,
        }
    }

    /// Notes that the request is about to be written to a server.
    pub fn on_send(&mut self, target: AttemptTarget) {
        self.target = target;
        let remaining = self.remaining();
        *remaining = remaining.saturating_sub(1);
        self.in_flight = true;
    }

    fn remaining(&mut self) -> &mut u8 {
        match self.target {
            AttemptTarget::Untried => &mut self.attempts_left,
            AttemptTarget::Tried => &mut self.resends_left,
        }
    }

    /// Returns whether the request may be sent to a server that has not had it.
    pub fn may_try_new_server(&self) -> bool {
        self.attempts_left > 0 || planted!(ForwardBeyondBound)
    }

    /// Notes that the head of an answer went to the caller.
    pub fn on_answer_begun(&mut self) {
        self.begun = true;
        self.may_have_run = true;
    }

    /// Returns whether any server may have begun to run the request.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight
    }

    /// Returns whether the caller has the head of an answer.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Decides what follows from the end of an attempt.
    pub fn on_end(&mut self, end: AttemptEnd, conditions: RetryConditions) -> NextStep {
        if end == AttemptEnd::NotSent && self.free_unsent_attempts < MAX_FREE_UNSENT_ATTEMPTS {
            self.free_unsent_attempts += 1;
            let remaining = self.remaining();
            *remaining = remaining.saturating_add(1);
        }
        self.in_flight = false;
        let ran = !matches!(end, AttemptEnd::NotSent | AttemptEnd::Declined);
        self.may_have_run |= ran;
        let repeatable =
            !self.may_have_run || self.repeat.allows_rerun() || planted!(ForwardRepeatAfterRun);
        let resumable = !self.begun || self.repeat == RepeatPolicy::Resumable;
        let affordable =
            conditions.within_deadline && (conditions.within_budget || end == AttemptEnd::NotSent);
        let may_resume = self.begun && self.resends_left > 0;
        let allowed = self.may_try_new_server() || may_resume;
        if repeatable && resumable && affordable && allowed {
            return NextStep::Retry;
        }
        self.give_up(end)
    }

    fn give_up(&self, end: AttemptEnd) -> NextStep {
        if self.begun {
            NextStep::BreakOff
        } else if end == AttemptEnd::Failed {
            NextStep::PassOn
        } else {
            self.final_step()
        }
    }

    /// Returns what the caller is told when no further attempt is made.
    pub fn final_step(&self) -> NextStep {
        if self.begun {
            NextStep::BreakOff
        } else if self.may_have_run() && !planted!(ForwardRefuseAfterRun) {
            NextStep::Unknown
        } else {
            NextStep::Refuse
        }
    }
}
