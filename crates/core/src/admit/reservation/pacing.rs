//! The rate at which a host lets in requests of a rank that shares the remaining capacity.
//!
//! Hosts see what others have let in only after the age of the reports. Without a limit, all of them
//! would let in all callers that wait for an admitted rank, and fill the capacity kept for more urgent
//! ranks before the first report of it arrives.

use crate::clock::Millis;

/// The age of the loads of other hosts, as a mean over the hosts of all failure domains, in ms.
pub const REPORT_AGE_MS: f64 = 150.0;
/// The headroom below the threshold of a rank from which on its requests are not limited, unless the
/// rank was refused recently. Callers may all be at one host while the others are idle.
const AMPLE_HEADROOM: f64 = 0.15;
/// How long a rank is limited after it was last refused, in mean holding times: as long as callers
/// that were refused are still to return.
const LIMITED_HOLDING_TIMES: f64 = 2.0;

/// What one host may let in until the next report.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// The part of the capacity that is free below the threshold of the rank, 0 to 1.
    pub headroom: f64,
    /// The number of mean requests that fit into the headroom, for this host alone.
    pub requests: f64,
    /// The number of mean requests for which capacity becomes free in a ms, for this host alone.
    pub freed_per_ms: f64,
}

/// The step from one first allowance to the next, the golden ratio, which spreads them evenly.
const PHASE_STEP: f64 = 0.618_034;

/// The allowance of one rank at one host.
#[derive(Clone, Copy, Debug)]
pub struct Pacing {
    allowance: f64,
    // The allowance when the rank is admitted again. It differs between hosts, which would otherwise
    // all let in their first request at the same time.
    first_allowance: f64,
    was_refused_recently: bool,
    is_limited: bool,
    refused_at: Option<Millis>,
    updated_at: Millis,
}

impl Pacing {
    /// Creates the state of a rank that is admitted; `random` is from 0 to 1.
    pub fn new(random: f64) -> Self {
        Self {
            allowance: 0.0,
            first_allowance: random.clamp(0.0, 1.0),
            was_refused_recently: false,
            is_limited: false,
            refused_at: None,
            updated_at: Millis::ZERO,
        }
    }

    /// Records that the rank is not admitted.
    pub fn on_refused(&mut self, now: Millis) {
        self.refused_at = Some(now);
        self.updated_at = now;
        self.first_allowance = (self.first_allowance + PHASE_STEP).fract();
        self.allowance = self.first_allowance;
    }

    /// Adds this host's share since the last call, while the rank is admitted.
    pub fn refill(&mut self, now: Millis, share: Share, holding_ms: f64) {
        let limited_for = LIMITED_HOLDING_TIMES * holding_ms;
        let is_recent = |at| (now.since(at).0 as f64) < limited_for;
        self.was_refused_recently = self.refused_at.is_some_and(is_recent);
        self.is_limited = self.was_refused_recently || share.headroom < AMPLE_HEADROOM;
        let per_ms = share.requests / REPORT_AGE_MS + share.freed_per_ms;
        let added = per_ms * now.since(self.updated_at).0 as f64;
        let most = (per_ms * REPORT_AGE_MS).max(1.0);
        self.allowance = (self.allowance + added).min(most);
        self.updated_at = now;
    }

    /// Returns whether one more request may be let in.
    pub fn may_admit(&self) -> bool {
        !self.is_limited || self.allowance >= 1.0
    }

    /// Returns whether a request beyond the allowance may wait for it. After a refusal of the rank, more
    /// callers wait for it than can be served.
    pub fn may_wait(&self) -> bool {
        !self.was_refused_recently
    }

    /// Records that a request is let in.
    pub fn on_admit(&mut self) {
        self.allowance = (self.allowance - 1.0).max(0.0);
    }
}
