//! State of active teams: rate limit, usage, queue in one pool and effective weight.

use std::collections::VecDeque;

use crate::clock::Millis;
use crate::config::Priority;

use super::messages::RequestKey;
use super::messages::TeamTerms;

/// Half-life of the peak of a team's requests in flight.
const PEAK_HALF_LIFE: Millis = Millis(10_000);

/// Largest burst of a team, as the number of seconds of its rate.
const MAX_BURST_S: u64 = 1;

/// Rate limits count in thousandths of a request.
const MILLI_PER_REQUEST: u64 = 1_000;

/// Token bucket that limits the request rate of a team.
#[derive(Clone, Copy, Debug)]
pub(super) struct RateLimit {
    available_milli: u64,
    updated_at: Millis,
}

impl RateLimit {
    pub(super) fn new(now: Millis, per_s: u32) -> Self {
        Self {
            available_milli: u64::from(per_s) * MILLI_PER_REQUEST * MAX_BURST_S,
            updated_at: now,
        }
    }

    /// Takes one request out of the bucket, which fills at `per_s` requests per second.
    ///
    /// # Errors
    ///
    /// Returns the time after which the next request fits the rate.
    pub(super) fn try_acquire(&mut self, now: Millis, per_s: u32) -> Result<(), Millis> {
        let per_s = u64::from(per_s);
        let capacity = per_s * MILLI_PER_REQUEST * MAX_BURST_S;
        // A rate of one per second is one thousandth of a request per millisecond.
        self.available_milli =
            (self.available_milli + now.since(self.updated_at).0 * per_s).min(capacity);
        self.updated_at = now;
        if self.available_milli >= MILLI_PER_REQUEST {
            self.available_milli -= MILLI_PER_REQUEST;
            return Ok(());
        }
        let missing = MILLI_PER_REQUEST - self.available_milli;
        Err(Millis(missing.div_ceil(per_s.max(1))))
    }

    /// Returns whether the bucket is full again, so that its state can be removed.
    pub(super) fn is_full(&self, now: Millis) -> bool {
        now.since(self.updated_at) >= Millis(MAX_BURST_S * MILLI_PER_REQUEST)
    }
}

/// Requests in flight and rate of a team over all pools.
#[derive(Clone, Debug)]
pub(super) struct TeamUsage {
    pub(super) in_flight: u32,
    pub(super) rate: Option<RateLimit>,
}

/// A request that waits for admission, with its start tag of fair queueing.
#[derive(Clone, Copy, Debug)]
pub(super) struct WaitingRequest {
    pub(super) key: RequestKey,
    pub(super) start_tag: u64,
    pub(super) service_time: Millis,
    pub(super) deadline: Millis,
}

impl WaitingRequest {
    /// Returns the latest time of admission at which the request can still meet its deadline.
    pub(super) fn latest_start(&self) -> Millis {
        self.deadline - self.service_time
    }
}

/// State of a team in one pool.
#[derive(Clone, Debug, Default)]
pub(super) struct TeamQueue {
    pub(super) weight: u64,
    pub(super) running: u32,
    pub(super) waiting: VecDeque<WaitingRequest>,
    pub(super) finish_tag: u64,
    /// Largest number of requests in flight, before decay.
    peak: u32,
    /// Time at which the peak was reached.
    peak_at: Millis,
}

impl TeamQueue {
    /// Raises the peak to the team's current requests in flight.
    pub(super) fn update_peak(&mut self, now: Millis) {
        let in_use = self.running + self.waiting.len() as u32;
        let peak = self.peak(now);
        if in_use >= peak {
            self.peak = in_use;
            self.peak_at = now;
        }
    }

    /// Returns the peak of requests in flight, halved for each half-life since it was reached.
    pub(super) fn peak(&self, now: Millis) -> u32 {
        let halvings = now.since(self.peak_at).0 / PEAK_HALF_LIFE.0;
        self.peak >> halvings.min(31)
    }

    /// Returns whether the team has no requests and its peak has decayed to zero.
    pub(super) fn is_idle(&self, now: Millis) -> bool {
        self.running == 0 && self.waiting.is_empty() && self.peak(now) == 0
    }
}

/// Returns the weight of a team multiplied by the factor of its priority.
pub(super) fn effective_weight(terms: TeamTerms) -> u64 {
    let factor = match terms.priority {
        Priority::Batch => 1,
        Priority::Normal => 4,
        Priority::Urgent => 16,
    };
    u64::from(terms.weight.max(1)) * factor
}
