//! The state of one request: whether it may have run, whether it may be sent again, and what the
//! caller may be told after a failure.

use crate::defect::planted;
use crate::forward::routes::RepeatPolicy;

/// The number of attempts in which no byte was sent that do not count against the limit on
/// attempts.
const MAX_FREE_UNSENT_ATTEMPTS: u8 = 4;
/// The most times that a request is sent again to servers that have had it already.
/// The limit on attempts only bounds the number of different servers.
const MAX_RESENDS: u8 = 6;

/// Whether the server of an attempt has had the request before.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptTarget {
    /// The server has not had the request.
    Untried,
    /// The server has had the request in an earlier attempt.
    Tried,
}

/// How an attempt ended that brought no usable answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The connection could not be opened, or no byte of the request was sent.
    NotSent,
    /// The server states that it did not run the request.
    Declined,
    /// The server states that it did not run the request because of another server of the chain.
    StageDeclined,
    /// The connection broke after bytes had been sent, or the answer is incomplete or that of
    /// another request.
    Broken,
    /// The server ran the request and answered with an error of its own.
    Failed,
    /// The server sent nothing for longer than its work can take.
    Silent,
}

/// What to do after an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NextStep {
    /// Send the request again, to a server that may have it.
    Retry,
    /// Send the request again as soon as the retry budget allows it: the caller has a part of the
    /// answer, which a break-off would lose.
    AwaitBudget,
    /// Pass the server's own error on to the caller.
    PassOn,
    /// Tell the caller that the request did not run and will not run.
    Refuse,
    /// Tell the caller that it is unknown whether the request ran.
    Unknown,
    /// Abort the answer that has begun.
    BreakOff,
}

/// The conditions of another attempt that do not depend on the request's state.
#[derive(Clone, Copy, Debug)]
pub struct RetryConditions {
    /// Whether the retry budget allows one more retry.
    pub within_budget: bool,
    /// Whether enough time is left until the deadline.
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

    /// Creates the state of a request that another host has passed on, of which `attempts_left` more
    /// servers may get it.
    pub fn passed_on(repeat: RepeatPolicy, attempts_left: u8) -> Self {
        Self { attempts_left, ..Self::new(repeat, attempts_left) }
    }

    /// Returns the number of servers that may still get the request.
    pub fn attempts_left(&self) -> u8 {
        self.attempts_left
    }

    /// Records that another host has sent the request to `count` servers beyond the first one.
    pub fn on_more_servers(&mut self, count: u8) {
        self.attempts_left = self.attempts_left.saturating_sub(count);
    }

    /// Records that the request is about to be sent to a server.
    pub fn on_send(&mut self, target: AttemptTarget) {
        self.target = target;
        let remaining = self.remaining();
        *remaining = remaining.saturating_sub(1);
        self.in_flight = true;
    }

    /// Returns the number of attempts left at servers of the kind of the current target.
    fn remaining(&mut self) -> &mut u8 {
        match self.target {
            AttemptTarget::Untried => &mut self.attempts_left,
            AttemptTarget::Tried => &mut self.resends_left,
        }
    }

    /// Returns whether the request may be sent to a server that has not had it yet.
    pub fn may_try_new_server(&self) -> bool {
        self.attempts_left > 0 || planted!(ForwardBeyondBound)
    }

    /// Returns whether the request may be sent again to a server that has had it.
    pub fn may_resend(&self) -> bool {
        self.resends_left > 0
    }

    /// Records that the head of an answer was sent to the caller.
    pub fn on_answer_begun(&mut self) {
        self.begun = true;
        self.may_have_run = true;
    }

    /// Returns whether a server may have run the request or a part of it.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run || self.in_flight
    }

    /// Returns whether the head of an answer was sent to the caller.
    pub fn has_begun(&self) -> bool {
        self.begun
    }

    /// Records the end of an attempt and decides what to do next.
    pub fn on_end(&mut self, end: AttemptEnd, conditions: RetryConditions) -> NextStep {
        if end == AttemptEnd::NotSent && self.free_unsent_attempts < MAX_FREE_UNSENT_ATTEMPTS {
            self.free_unsent_attempts += 1;
            let remaining = self.remaining();
            *remaining = remaining.saturating_add(1);
        }
        self.in_flight = false;
        let not_run =
            matches!(end, AttemptEnd::NotSent | AttemptEnd::Declined | AttemptEnd::StageDeclined);
        let ran = !not_run;
        self.may_have_run |= ran;
        let repeatable =
            !self.may_have_run || self.repeat.allows_rerun() || planted!(ForwardRepeatAfterRun);
        let resumable = !self.begun || self.repeat == RepeatPolicy::Resumable;
        // The server asked may take the request on a chain without the stage that declined.
        let may_return = self.begun || end == AttemptEnd::StageDeclined;
        let allowed = self.may_try_new_server() || (may_return && self.may_resend());
        if !(repeatable && resumable && allowed && conditions.within_deadline) {
            return self.give_up(end);
        }
        if conditions.within_budget || end == AttemptEnd::NotSent {
            NextStep::Retry
        } else if self.begun {
            NextStep::AwaitBudget
        } else {
            self.give_up(end)
        }
    }

    /// Returns whether another attempt would follow if the present one ended with `end` now.
    pub fn would_retry(&self, end: AttemptEnd, conditions: RetryConditions) -> bool {
        self.clone().on_end(end, conditions) == NextStep::Retry
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

    /// Returns what to do when no further attempt is made, for a reason other than an error of a
    /// server.
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
