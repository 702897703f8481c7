//! The rate limit on the store writes of claims.

use crate::clock::Millis;

const MILLITOKENS_PER_WRITE: u64 = 1_000;

/// A token bucket in which one token allows one store write.
#[derive(Clone, Debug)]
pub struct WriteBudget {
    per_s: u64,
    burst: u64,
    millitokens: u64,
    refilled_at: Millis,
}

impl WriteBudget {
    /// Creates a full bucket that holds at most `burst` writes and gains `per_s` writes a second.
    pub fn new(per_s: u32, burst: u32) -> Self {
        let burst = u64::from(burst).max(1);
        Self {
            per_s: per_s.into(),
            burst,
            millitokens: burst * MILLITOKENS_PER_WRITE,
            refilled_at: Millis::ZERO,
        }
    }

    /// Changes the rate to `per_s` writes a second; the tokens in the bucket stay.
    pub fn set_rate(&mut self, now: Millis, per_s: u32) {
        self.refill(now);
        self.per_s = per_s.into();
    }

    /// Takes a token for one write; returns whether the bucket had one.
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
