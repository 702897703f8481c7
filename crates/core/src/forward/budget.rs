//! Retry budget: this host's share of the retries that all hosts together may send.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Limits on the retries of one service over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// The number of retries allowed per request.
    pub ratio: f64,
    /// The number of retries allowed in a window in addition to the ratio, over all hosts.
    pub slack: f64,
    /// The length of the sliding window in which requests and retries count.
    pub window: Millis,
}

/// Counts this host's requests and retries of one service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// The part of the allowed retries that the hosts use. The rest is left for hosts that start in the
/// meantime.
const USED_BUDGET_RATIO: f64 = 0.7;

impl RetryBudget {
    /// Creates a budget without requests or retries.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits) {
        self.limits = limits;
    }

    /// Counts a request of a caller.
    pub fn on_request(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Counts a retry and returns `true` if this host's share allows one more, else returns
    /// `false`.
    ///
    /// `hosts` is the number of hosts that share the budget.
    pub fn try_take_retry(&mut self, now: Millis, hosts: usize) -> bool {
        let has_retry = self.has_retry(now, hosts);
        if has_retry {
            self.retries.push_back(now);
        }
        has_retry
    }

    /// Returns whether this host's share allows one more retry.
    pub fn has_retry(&mut self, now: Millis, hosts: usize) -> bool {
        self.expire(now);
        let share = self.limits.slack / hosts.max(1) as f64;
        let allowed = USED_BUDGET_RATIO * (self.limits.ratio * self.requests.len() as f64 + share);
        self.retries.len() as f64 + 1.0 <= allowed
    }

    fn expire(&mut self, now: Millis) {
        let from = now.since(self.limits.window);
        while self.requests.front().is_some_and(|&at| at < from) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|&at| at < from) {
            self.retries.pop_front();
        }
    }
}
