//! Trunk reservation: a part of the capacity of a service of model servers is kept for the more
//! urgent ranks of its requests, by the load that all hosts share.
//!
//! Each host decides for itself. Since all hosts see nearly the same utilization, they refuse the
//! same ranks at nearly the same time without a message. `docs/design/reservation.md` describes the
//! rule.

mod capacity;
#[cfg(test)]
mod model;
mod pacing;
mod pending_retries;
mod ranks;
#[cfg(test)]
mod tests;
mod trials;

use crate::admit::reservation::pacing::Pacing;
use crate::admit::reservation::pacing::Share;
use crate::admit::reservation::pacing::REPORT_AGE_MS;
use crate::admit::reservation::pending_retries::PendingRetries;
use crate::admit::reservation::trials::Trials;
use crate::clock::Millis;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::load::MEAN_HELD_FRACTION;
use crate::placement::path::SAME_DOMAIN_HOP_COST_MS;

pub use crate::admit::reservation::capacity::ServiceCapacity;
pub use crate::admit::reservation::ranks::Rank;
pub use crate::admit::reservation::ranks::Ranks;
pub use crate::admit::reservation::ranks::MAX_RANK;

/// How long a computed utilization is used. Loads of other hosts arrive every 50 ms.
pub const UTILIZATION_TTL: Millis = Millis(50);
/// The bounds of the part of the capacity that each rank leaves to the next more urgent one. Less is
/// below the load of a few requests; more leaves capacity idle while requests are refused.
const RESERVED_PER_RANK: (f64, f64) = (0.03, 0.05);
/// The largest part of the capacity that is reserved by all ranks together.
const MAX_RESERVED: f64 = 0.4;
/// The hysteresis, as a part of the reservation of a rank.
const HYSTERESIS_RATIO: f64 = 0.5;
/// The time after a change of the level before a further rank is admitted: the loads of the requests
/// that the last change let in have arrived by then.
const REOPEN_INTERVAL: Millis = Millis(100);
/// The least delay that a refused caller is told.
const MIN_RETRY_AFTER: Millis = Millis(200);
/// The part of the caller's deadline that the delay takes at most.
const MAX_RETRY_AFTER_DIVISOR: u64 = 3;
/// The least utilization that the delay is computed with. A request may find no chain at a low
/// utilization too.
const MIN_UTILIZATION_FOR_DELAY: f64 = 0.5;
/// The weight of a new sample in the mean holding time.
const HOLDING_TIME_GAIN: f64 = 1.0 / 16.0;

/// A request that has not been sent to any server.
#[derive(Clone, Copy, Debug)]
pub struct Arrival {
    /// The rank of the request.
    pub rank: Rank,
    /// What the delay of a refused caller depends on.
    pub caller: RefusedCaller,
}

/// What the delay of a refused caller depends on.
#[derive(Clone, Copy, Debug)]
pub struct RefusedCaller {
    /// The time that is left until the caller's deadline.
    pub time_left: Millis,
    /// The number of hosts, which refuse callers at a similar rate.
    pub hosts: usize,
    /// A random number from 0 to 1 that spreads the retries.
    pub random: f64,
}

/// The decision on a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request may wait for capacity.
    Admit,
    /// The request may wait for capacity and gives way to more urgent ones
    /// ([`Reservation::may_send`]).
    Try,
    /// The request is refused.
    Refuse {
        /// When the caller may retry.
        retry_after: Millis,
    },
}

/// A change of the least urgent rank that is admitted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LevelChange {
    /// The least urgent rank that was admitted before.
    pub from: Rank,
    /// The least urgent rank that is admitted from now on.
    pub to: Rank,
}

/// The reservation of one service at one host.
#[derive(Clone, Debug)]
pub struct Reservation {
    least_urgent: Rank,
    level: Rank,
    reserved_per_rank: f64,
    capacity: Option<ServiceCapacity>,
    updated_at: Option<Millis>,
    changed_at: Millis,
    // By rank; that of the most urgent one is not used.
    pacing: Vec<Pacing>,
    trials: Trials,
    mean_request_tokens: f64,
    holding_ms: f64,
    pending_retries: PendingRetries,
}

impl Reservation {
    /// Creates the reservation of a service, which admits all ranks at first.
    ///
    /// `random`, from 0 to 1, determines which request of a rank that is not admitted is tried first,
    /// so that hosts with few requests try their part too.
    pub fn new(profile: &EngineProfile, ranks: &Ranks, random: f64) -> Self {
        let least_urgent = ranks.least_urgent();
        let holding_ms = expected_holding_ms(profile);
        let (least, most) = RESERVED_PER_RANK;
        let reserved = (REPORT_AGE_MS / holding_ms).clamp(least, most);
        Self {
            least_urgent,
            level: least_urgent,
            reserved_per_rank: reserved.min(MAX_RESERVED / f64::from(least_urgent.0)),
            capacity: None,
            updated_at: None,
            changed_at: Millis::ZERO,
            pacing: vec![Pacing::new(random); usize::from(least_urgent.0) + 1],
            trials: Trials::new(least_urgent, random),
            mean_request_tokens: profile.mean_prompt_tokens
                + MEAN_HELD_FRACTION * profile.mean_answer_tokens,
            holding_ms,
            pending_retries: PendingRetries::default(),
        }
    }

    /// Returns whether the reservation is for a service with these ranks.
    pub fn has_ranks(&self, ranks: &Ranks) -> bool {
        self.least_urgent == ranks.least_urgent()
    }

    /// Returns whether the utilization is to be computed anew.
    pub fn is_outdated(&self, now: Millis) -> bool {
        self.updated_at.is_none_or(|at| now.since(at) >= UTILIZATION_TTL)
    }

    /// Records the present capacity, for which `hosts` hosts admit requests, and returns the change of
    /// the level, if there is one. Without a known capacity all ranks are admitted.
    pub fn on_capacity(
        &mut self,
        now: Millis,
        capacity: Option<ServiceCapacity>,
        hosts: usize,
    ) -> Option<LevelChange> {
        self.capacity = capacity;
        self.updated_at = Some(now);
        let from = self.level;
        self.level = match capacity {
            Some(capacity) => self.next_level(now, capacity.utilization()),
            None => self.least_urgent,
        };
        if let Some(capacity) = capacity {
            self.refill(now, &capacity, hosts.max(1) as f64);
        }
        (self.level != from).then(|| {
            self.changed_at = now;
            LevelChange { from, to: self.level }
        })
    }

    /// Adds what this host may let in since the last call.
    fn refill(&mut self, now: Millis, capacity: &ServiceCapacity, hosts: f64) {
        let freed_per_ms = self.freed_per_ms(capacity) / hosts;
        self.trials.refill(now, freed_per_ms);
        for rank in (1..=self.least_urgent.0).map(Rank) {
            let headroom = (self.closes_at(rank) - capacity.utilization()).max(0.0);
            let requests = headroom * capacity.total_tokens / self.mean_request_tokens.max(1.0);
            let share = Share { headroom, requests: requests / hosts, freed_per_ms };
            let is_admitted = self.admits(rank);
            let pacing = &mut self.pacing[usize::from(rank.0)];
            if is_admitted {
                pacing.refill(now, share, self.holding_ms);
            } else {
                pacing.on_refused(now);
            }
        }
    }

    /// Returns the level at `utilization`: ranks above their threshold are no longer admitted at
    /// once, and one further rank below its threshold is admitted at a time.
    fn next_level(&self, now: Millis, utilization: f64) -> Rank {
        let mut level = self.level;
        while level > Rank::MOST_URGENT && utilization >= self.closes_at(level) {
            level = Rank(level.0 - 1);
        }
        let next = Rank(level.0 + 1);
        let may_open = level == self.level && now.since(self.changed_at) >= REOPEN_INTERVAL;
        if may_open && next <= self.least_urgent && utilization < self.opens_at(next) {
            level = next;
        }
        level
    }

    /// Returns the utilization from which on `rank` is not admitted.
    fn closes_at(&self, rank: Rank) -> f64 {
        1.0 - f64::from(rank.0) * self.reserved_per_rank
    }

    /// Returns the utilization below which `rank` is admitted again.
    fn opens_at(&self, rank: Rank) -> f64 {
        self.closes_at(rank) - HYSTERESIS_RATIO * self.reserved_per_rank
    }

    /// Returns the least urgent rank that is admitted.
    pub fn level(&self) -> Rank {
        self.level
    }

    /// Returns whether requests of `rank` are admitted.
    pub fn admits(&self, rank: Rank) -> bool {
        rank <= self.level
    }

    /// Returns the part of the capacity that is in use, if it is known.
    pub fn utilization(&self) -> Option<f64> {
        self.capacity.map(|capacity| capacity.utilization())
    }

    /// Decides on a request that has not been sent to any server. Of the requests of a rank that are
    /// not let in, one in eight is tried.
    pub fn decide(&mut self, now: Millis, arrival: Arrival) -> Admission {
        let rank = arrival.rank.min(self.least_urgent);
        if self.lets_in(rank) {
            self.pacing[usize::from(rank.0)].on_admit();
            return Admission::Admit;
        }
        let may_wait = self.admits(rank) && self.pacing[usize::from(rank.0)].may_wait();
        if may_wait || self.trials.selects(rank) {
            return Admission::Try;
        }
        Admission::Refuse { retry_after: self.retry_after(now, rank, arrival.caller) }
    }

    /// Returns whether a request of `rank` may be let in now: its rank is admitted, and this host has
    /// not used up its share of the capacity below the threshold.
    fn lets_in(&self, rank: Rank) -> bool {
        let may_admit = self.capacity.is_none() || self.pacing[usize::from(rank.0)].may_admit();
        rank == Rank::MOST_URGENT || (self.admits(rank) && may_admit)
    }

    /// Returns whether a request of `rank` that gives way to more urgent ones may be sent: it would be
    /// let in now, or the share of requests on trial is not used up.
    pub fn may_send(&self, rank: Rank) -> bool {
        self.lets_in(rank.min(self.least_urgent)) || self.trials.has_allowance()
    }

    /// Records that a request of `rank` that gives way to more urgent ones is sent.
    pub fn on_trial_sent(&mut self, rank: Rank) {
        let rank = rank.min(self.least_urgent);
        if self.lets_in(rank) {
            self.pacing[usize::from(rank.0)].on_admit();
        } else {
            self.trials.on_send();
        }
    }

    /// Returns the delay for a caller that is refused for want of capacity, and counts the caller.
    ///
    /// Delays are spread over the time in which the callers already told to retry and this one are
    /// expected to find capacity, after the time until the rank is admitted again.
    pub fn retry_after(&mut self, now: Millis, rank: Rank, caller: RefusedCaller) -> Millis {
        let least = MIN_RETRY_AFTER.0 as f64;
        let most = (caller.time_left.0 / MAX_RETRY_AFTER_DIVISOR) as f64;
        let most = most.max(least);
        let to_open = self.time_to_open_ms(rank);
        let callers =
            (f64::from(self.pending_retries.count(now)) + 1.0) * caller.hosts.max(1) as f64;
        let end =
            (to_open + self.time_to_serve_ms(callers)).clamp(2.0 * least, 2.0 * most).min(most);
        // A range that the bound cuts short keeps half its length, so that retries stay spread.
        let start = to_open.max(least).min(least.max(end / 2.0));
        let delay = start + caller.random.clamp(0.0, 1.0) * (end - start).max(0.0);
        let delay = Millis(delay.round() as u64);
        self.pending_retries.add(now, delay);
        delay
    }

    /// Returns the time until `rank` is admitted again if no further request is, in ms.
    fn time_to_open_ms(&self, rank: Rank) -> f64 {
        let Some(utilization) = self.utilization().filter(|_| !self.admits(rank)) else {
            return 0.0;
        };
        let above = (utilization - self.opens_at(rank)).max(0.0);
        above * self.holding_ms / utilization.max(MIN_UTILIZATION_FOR_DELAY)
    }

    /// Returns the time in which the capacity for `callers` mean requests becomes free, in ms.
    fn time_to_serve_ms(&self, callers: f64) -> f64 {
        let Some(capacity) = self.capacity else {
            return self.holding_ms;
        };
        callers / self.freed_per_ms(&capacity)
    }

    /// Returns the number of mean requests for which capacity becomes free in a ms.
    fn freed_per_ms(&self, capacity: &ServiceCapacity) -> f64 {
        let requests = capacity.total_tokens.max(1.0) / self.mean_request_tokens.max(1.0);
        requests * capacity.utilization().max(MIN_UTILIZATION_FOR_DELAY) / self.holding_ms
    }

    /// Records the time for which a request that was answered in full held its capacity.
    pub fn on_answered(&mut self, held: Millis) {
        self.holding_ms += HOLDING_TIME_GAIN * (held.0 as f64 - self.holding_ms);
        self.holding_ms = self.holding_ms.max(1.0);
    }
}

/// Returns the mean time for which a request is expected to hold its capacity, from the published
/// figures of the engines, as a mean over the kinds of accelerator.
fn expected_holding_ms(profile: &EngineProfile) -> f64 {
    let times = profile.kinds.iter().map(|kind| holding_ms_on(profile, kind));
    let mean = times.sum::<f64>() / profile.kinds.len().max(1) as f64;
    mean.max(1.0)
}

fn holding_ms_on(profile: &EngineProfile, kind: &AcceleratorKind) -> f64 {
    let active = f64::from(profile.first_stage_slots) / 2.0;
    let context = active * profile.mean_prompt_tokens;
    let step = profile.decode_step_ms(kind, profile.layers, active, context);
    let layers_per_stage =
        profile.max_layers_for_tokens(kind, profile.nominal_capacity_tokens).max(1);
    let hops = profile.layers.div_ceil(layers_per_stage);
    let hop_time = f64::from(hops) * SAME_DOMAIN_HOP_COST_MS;
    let prefill = profile.prefill_ms(kind, profile.layers, profile.mean_prompt_tokens);
    prefill + profile.mean_answer_tokens * (step + hop_time)
}
