//! The policy that decides what follows a failed attempt.

use rand::Rng;

use super::RetryBudget;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::Attempt;
use crate::reason::RefusalReason;
use crate::reason::RetryReason;

/// Limits on retries.
#[derive(Clone, Copy, Debug)]
pub struct RetrySettings {
    /// Most attempts per request, the first one included.
    pub max_attempts: u32,
    /// Retries granted per 100 requests in the last ten seconds.
    pub budget_percent: u8,
    /// Retries granted in any ten seconds, even without requests.
    pub budget_floor: u32,
    /// Longest random wait before the first retry, in ms; it doubles with each further retry.
    pub backoff_base: Millis,
    /// Longest random wait before any retry, in ms.
    pub backoff_max: Millis,
}

impl Default for RetrySettings {
    fn default() -> Self {
        Self {
            max_attempts: 3,
            budget_percent: 15,
            budget_floor: 10,
            backoff_base: Millis(8),
            backoff_max: Millis(250),
        }
    }
}

/// An attempt that failed.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Number of the attempt, from 1.
    pub attempt: Attempt,
    /// Why it failed.
    pub reason: RetryReason,
    /// Whether a byte of the request may have reached the backend server.
    pub may_have_reached_server: bool,
    /// Whether the call may run more than once.
    pub repeatable: bool,
    /// When the caller stops waiting for an answer.
    pub deadline: Millis,
}

/// The decision after a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RetryDecision {
    /// Start another attempt after a wait.
    Retry {
        /// Time to wait, in ms.
        wait: Millis,
    },
    /// Make no further attempt and refuse the request for this reason.
    GiveUp(RefusalReason),
}

/// The retry policy of one host, with its budget.
#[derive(Clone, Debug)]
pub struct RetryPolicy {
    settings: RetrySettings,
    budget: RetryBudget,
}

impl RetryPolicy {
    /// Creates a policy that has counted no requests.
    pub fn new(settings: RetrySettings) -> Self {
        let budget = RetryBudget::new(settings.budget_percent, settings.budget_floor);
        Self { settings, budget }
    }

    /// Counts a new request, which raises the budget.
    pub fn on_request(&mut self, now: Millis) {
        self.budget.on_request(now);
    }

    /// Decides what follows a failed attempt.
    pub fn on_failure<R: Rng>(
        &mut self,
        now: Millis,
        failed: FailedAttempt,
        rng: &mut R,
    ) -> RetryDecision {
        if !failed.repeatable && failed.may_have_reached_server && !planted!(RetryAfterByteLeft) {
            return RetryDecision::GiveUp(RefusalReason::ServerFailed);
        }
        if failed.attempt.0 >= self.settings.max_attempts {
            return RetryDecision::GiveUp(RefusalReason::RetriesExhausted);
        }
        let wait = self.random_backoff(failed.attempt, rng);
        if now + wait >= failed.deadline {
            return RetryDecision::GiveUp(RefusalReason::DeadlineExceeded);
        }
        if !self.budget.take(now) {
            return RetryDecision::GiveUp(RefusalReason::RetriesExhausted);
        }
        RetryDecision::Retry { wait }
    }

    fn random_backoff<R: Rng>(&self, attempt: Attempt, rng: &mut R) -> Millis {
        let doublings = attempt.0.saturating_sub(1).min(16);
        let max_wait_ms =
            (self.settings.backoff_base.0 << doublings).min(self.settings.backoff_max.0);
        Millis(rng.random_range(0..=max_wait_ms))
    }
}
