//! The minimum share of the ranks that are not admitted.

use crate::admit::reservation::Rank;
use crate::clock::Millis;

/// Of the requests of a rank that is not admitted, each one of this number is tried.
pub const TRIED_ONE_IN: u8 = 8;
/// The part of the capacity that becomes free which requests on trial get in any case. Callers that
/// retry multiply the requests of a rank, and one in eight of them could otherwise take all capacity.
const TRIAL_SHARE: f64 = 1.0 / 16.0;
/// The most requests on trial that a host sends at once after a time without any.
const MAX_ALLOWANCE: f64 = 1.0;

/// Selects the requests that are tried, and limits the capacity that they get for sure.
#[derive(Clone, Debug)]
pub struct Trials {
    // By rank, the requests refused since the last one that was tried.
    refused_in_row: Vec<u8>,
    // The requests on trial that this host may send.
    allowance: f64,
    updated_at: Millis,
}

impl Trials {
    /// Creates the state for the ranks up to `least_urgent`. `random`, from 0 to 1, determines which
    /// request is tried first, so that hosts with few requests try their part too.
    pub fn new(least_urgent: Rank, random: f64) -> Self {
        let first = (random.clamp(0.0, 1.0) * f64::from(TRIED_ONE_IN)) as u8;
        let phase = |rank: u8| (first + rank) % TRIED_ONE_IN;
        let refused_in_row = (0..=least_urgent.0).map(phase).collect();
        Self { refused_in_row, allowance: 0.0, updated_at: Millis::ZERO }
    }

    /// Returns whether a request of a rank that is not admitted is tried.
    pub fn selects(&mut self, rank: Rank) -> bool {
        let last = self.refused_in_row.len() - 1;
        let refused = &mut self.refused_in_row[usize::from(rank.0).min(last)];
        *refused += 1;
        let is_selected = *refused >= TRIED_ONE_IN;
        if is_selected {
            *refused = 0;
        }
        is_selected
    }

    /// Adds to the allowance. `freed_per_ms` is the number of mean requests for which capacity becomes
    /// free in a ms, for this host alone.
    pub fn refill(&mut self, now: Millis, freed_per_ms: f64) {
        let added = TRIAL_SHARE * freed_per_ms * now.since(self.updated_at).0 as f64;
        self.allowance = (self.allowance + added).min(MAX_ALLOWANCE);
        self.updated_at = now;
    }

    /// Returns whether a request on trial may be sent in any case.
    pub fn has_allowance(&self) -> bool {
        self.allowance >= 1.0
    }

    /// Records that a request on trial is sent.
    pub fn on_send(&mut self) {
        self.allowance = (self.allowance - 1.0).max(0.0);
    }
}
