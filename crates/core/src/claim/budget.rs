//! Share of the store's writes that claims may use.

use crate::clock::Millis;

const MILLI: u64 = 1_000;

/// A token bucket of store writes.
#[derive(Clone, Debug)]
pub struct WriteBudget {
    per_s: u64,
    burst: u64,
    milli_tokens: u64,
    filled: Millis,
}

impl WriteBudget {
    /// Creates a full bucket of `burst` writes that gains `per_s` writes a second.
    pub fn new(per_s: u32, burst: u32) -> Self {
        let burst = u64::from(burst).max(1);
        Self { per_s: per_s.into(), burst, milli_tokens: burst * MILLI, filled: Millis::ZERO }
    }

    /// Changes the rate; what is in the bucket stays.
    pub fn set_rate(&mut self, now: Millis, per_s: u32) {
        self.fill(now);
        self.per_s = per_s.into();
    }

    /// Takes one write; returns whether there was one.
    pub fn take(&mut self, now: Millis) -> bool {
        self.fill(now);
        if self.milli_tokens < MILLI {
            return false;
        }
        self.milli_tokens -= MILLI;
        true
    }

    fn fill(&mut self, now: Millis) {
        let gained = now.since(self.filled).0.saturating_mul(self.per_s);
        self.milli_tokens = (self.milli_tokens.saturating_add(gained)).min(self.burst * MILLI);
        self.filled = self.filled.max(now);
    }
}
