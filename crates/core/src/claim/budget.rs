//! Share of the store's writes that claims may use.

use crate::clock::Millis;

const MILLITOKENS_PER_WRITE: u64 = 1_000;

/// A token bucket of store writes.
#[derive(Clone, Debug)]
pub struct WriteBudget {
    per_s: u64,
    burst: u64,
    millitokens: u64,
    refilled_at: Millis,
}

impl WriteBudget {
    /// Creates a full bucket of `burst` writes that gains `per_s` writes a second.
    pub fn new(per_s: u32, burst: u32) -> Self {
        let burst = u64::from(burst).max(1);
        Self {
            per_s: per_s.into(),
            burst,
            millitokens: burst * MILLITOKENS_PER_WRITE,
            refilled_at: Millis::ZERO,
        }
    }

    /// Changes the rate; what is in the bucket stays.
    pub fn set_rate(&mut self, now: Millis, per_s: u32) {
        self.refill(now);
        self.per_s = per_s.into();
    }

    /// Takes one write; returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.refill(now);
        if self.millitokens < MILLITOKENS_PER_WRITE {
            return false;
        }
        self.millitokens -= MILLITOKENS_PER_WRITE;
        true
    }

    fn refill(&mut self, now: Millis) {
        let gained = now.since(self.refilled_at).0.saturating_mul(self.per_s);
        self.millitokens =
            (self.millitokens.saturating_add(gained)).min(self.burst * MILLITOKENS_PER_WRITE);
        self.refilled_at = self.refilled_at.max(now);
    }
}
