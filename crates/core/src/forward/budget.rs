//! This host's share of the repeats that all hosts together may send.

use std::collections::VecDeque;

use crate::clock::Millis;

/// Bounds on repeats over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetLimits {
    /// Repeats allowed for each request.
    pub ratio: f64,
    /// Repeats allowed beside the ratio in a window, over all hosts.
    pub slack: f64,
    /// The length of the window.
    pub window: Millis,
}

/// Counts requests and repeats of one service in a sliding window.
#[derive(Debug)]
pub struct RetryBudget {
    limits: RetryBudgetLimits,
    requests: VecDeque<Millis>,
    retries: VecDeque<Millis>,
}

/// Part of the allowed repeats that hosts use, which leaves room for hosts that start meanwhile.
const USED_SHARE: f64 = 0.7;

impl RetryBudget {
    /// Creates an empty count.
    pub fn new(limits: RetryBudgetLimits) -> Self {
        Self { limits, requests: VecDeque::new(), retries: VecDeque::new() }
    }

    /// Replaces the bounds.
    pub fn set_limits(&mut self, limits: RetryBudgetLimits) {
        self.limits = limits;
    }

    /// Notes a request of a caller.
    pub fn on_request(&mut self, now: Millis) {
        self.expire(now);
        self.requests.push_back(now);
    }

    /// Takes one repeat out of this host's share, if there is one left.
    ///
    /// `hosts` is the number of hosts that share the budget.
    pub fn try_take_retry(&mut self, now: Millis, hosts: usize) -> bool {
        self.expire(now);
        let share = self.limits.slack / hosts.max(1) as f64;
        let allowed = USED_SHARE * (self.limits.ratio * self.requests.len() as f64 + share);
        if self.retries.len() as f64 + 1.0 > allowed {
            return false;
        }
        self.retries.push_back(now);
        true
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
