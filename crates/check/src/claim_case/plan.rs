//! Sizes and faults of a run.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Parameters of a run, drawn from the seed: sizes, probabilities of faults and numbers of faults.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) hosts: usize,
    pub(super) slots: u16,
    pub(super) keys: usize,
    pub(super) bound_keys: usize,
    pub(super) requests: usize,
    pub(super) drop_probability: f64,
    pub(super) duplicate_probability: f64,
    pub(super) store_request_loss: f64,
    pub(super) store_reply_loss: f64,
    pub(super) slow_probability: f64,
    pub(super) crashes: usize,
    pub(super) replacements: usize,
    pub(super) pauses: usize,
    pub(super) link_cuts: usize,
    pub(super) store_outages: usize,
    pub(super) membership_changes: usize,
    pub(super) store_restore: bool,
}

impl Plan {
    /// Draws any mixture of faults except a restore of the store from a backup.
    pub fn without_restore(rng: &mut Pcg64Mcg) -> Self {
        let fault_free = rng.random_bool(0.1);
        let probability = |rng: &mut Pcg64Mcg, max: f64| {
            if fault_free || rng.random_bool(0.4) {
                0.0
            } else {
                rng.random_range(0.0..max)
            }
        };
        let count = |rng: &mut Pcg64Mcg, max: usize| {
            if fault_free || rng.random_bool(0.4) {
                0
            } else {
                rng.random_range(1..=max)
            }
        };
        Self {
            hosts: rng.random_range(2..=4),
            slots: rng.random_range(1..=2),
            keys: rng.random_range(1..=6),
            bound_keys: rng.random_range(0..=1),
            requests: rng.random_range(2..=10),
            drop_probability: probability(rng, 0.3),
            duplicate_probability: probability(rng, 0.2),
            store_request_loss: probability(rng, 0.25),
            store_reply_loss: probability(rng, 0.25),
            slow_probability: probability(rng, 0.3),
            crashes: count(rng, 3),
            replacements: count(rng, 2),
            pauses: count(rng, 4),
            link_cuts: count(rng, 4),
            store_outages: count(rng, 2),
            membership_changes: count(rng, 6),
            store_restore: false,
        }
    }

    /// Draws a restore of the store from a backup. The only other fault is the loss of store replies,
    /// so that the home of each slot does not change.
    pub fn with_restore(rng: &mut Pcg64Mcg) -> Self {
        Self {
            drop_probability: 0.0,
            duplicate_probability: 0.0,
            store_request_loss: 0.0,
            slow_probability: 0.0,
            crashes: 0,
            replacements: 0,
            pauses: 0,
            link_cuts: 0,
            store_outages: 0,
            membership_changes: 0,
            bound_keys: 0,
            store_restore: true,
            requests: rng.random_range(4..=12),
            ..Self::without_restore(rng)
        }
    }
}
