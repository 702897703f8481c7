//! The callers that this host has told when to retry.

use crate::clock::Millis;

/// The time that one count covers.
const SLOT: Millis = Millis(250);
/// The number of counts; callers that are told to wait longer count in the last one.
const SLOT_COUNT: usize = 64;

/// The number of callers told to retry, by the time of their retry. Its size does not depend on the
/// number of callers.
#[derive(Clone, Debug)]
pub struct PendingRetries {
    counts: [u32; SLOT_COUNT],
    // The number of the earliest slot that is counted, from the start of the clock.
    first: u64,
}

impl Default for PendingRetries {
    fn default() -> Self {
        Self { counts: [0; SLOT_COUNT], first: 0 }
    }
}

impl PendingRetries {
    /// Records a caller that was told at `now` to retry after `delay`.
    pub fn add(&mut self, now: Millis, delay: Millis) {
        self.expire(now);
        let last = self.first + SLOT_COUNT as u64 - 1;
        let slot = ((now + delay).0 / SLOT.0).min(last);
        let count = &mut self.counts[slot as usize % SLOT_COUNT];
        *count = count.saturating_add(1);
    }

    /// Returns how many callers are still to retry.
    pub fn count(&mut self, now: Millis) -> u32 {
        self.expire(now);
        self.counts.iter().fold(0, |sum, count| sum.saturating_add(*count))
    }

    /// Drops the counts of times that have passed.
    fn expire(&mut self, now: Millis) {
        let first = (now.0 / SLOT.0).max(self.first);
        let passed = (first - self.first).min(SLOT_COUNT as u64);
        for slot in self.first..self.first + passed {
            self.counts[slot as usize % SLOT_COUNT] = 0;
        }
        self.first = first;
    }
}
