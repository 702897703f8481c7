//! Estimate of the time between the tokens of one attempt, and the timeouts derived from it.

use crate::clock::Millis;

/// Shortest time without a token that counts as a stall; covers scheduling delays of a busy host.
const MIN_STALL_TIMEOUT: Millis = Millis(120);

/// Longest time without a token that is tolerated, whatever the estimate is.
const MAX_STALL_TIMEOUT: Millis = Millis(5_000);

/// Shortest timeout for the first token of an attempt.
const MIN_FIRST_TOKEN_TIMEOUT: Millis = Millis(1_000);

/// Longest timeout for the first token of an attempt.
const MAX_FIRST_TOKEN_TIMEOUT: Millis = Millis(20_000);

/// Timeout for the first token, as a multiple of the expected time to it.
const FIRST_TOKEN_TIMEOUT_FACTOR: u64 = 4;

/// Lower bound of the stall timeout, as a multiple of the mean time between tokens.
const STALL_MEAN_FACTOR: u64 = 4;

/// Lower bound of the stall timeout, as a number of mean deviations above the mean.
const STALL_DEVIATION_FACTOR: u64 = 6;

/// Time between two tokens that counts as slow, as a multiple of the expected time.
const SLOW_INTERVAL_FACTOR: u64 = 3;

/// Excess over the expected time between tokens below which no token counts as slow, in
/// microseconds.
const MIN_SLOW_INTERVAL_EXCESS_US: u64 = 10_000;

/// Consecutive slow tokens after which a chain counts as degraded.
const DEGRADED_AFTER_SLOW_TOKENS: u32 = 6;

/// Largest power of two by which earlier stalls multiply the timeouts.
const MAX_BACKOFF_EXPONENT: u32 = 4;

/// Estimates the time between tokens by an exponentially weighted mean and mean deviation.
#[derive(Clone, Debug)]
pub struct Pace {
    expected_us: u64,
    mean_us: u64,
    deviation_us: u64,
    first_token: Millis,
    last_token_at: Millis,
    tokens: u32,
    slow_tokens: u32,
    backoff_exponent: u32,
}

impl Pace {
    /// Creates the estimate for an attempt that begins at `now`.
    ///
    /// `first_token` and `step_us` are the expected time to the first token and, in microseconds,
    /// between tokens. `earlier_stalls` is the number of earlier stalls of the answer; each doubles
    /// the timeouts.
    pub fn new(now: Millis, first_token: Millis, step_us: u32, earlier_stalls: u32) -> Self {
        let expected_us = u64::from(step_us).max(1);
        Self {
            expected_us,
            mean_us: expected_us,
            deviation_us: expected_us / 2,
            first_token,
            last_token_at: now,
            tokens: 0,
            slow_tokens: 0,
            backoff_exponent: earlier_stalls.min(MAX_BACKOFF_EXPONENT),
        }
    }

    /// Records a token that arrived at `now`.
    pub fn on_token(&mut self, now: Millis) {
        let interval_us = now.since(self.last_token_at).0 * 1000;
        self.last_token_at = now;
        self.tokens += 1;
        if self.tokens == 1 {
            return;
        }
        let error_us = interval_us.abs_diff(self.mean_us);
        self.deviation_us = (self.deviation_us * 3 + error_us) / 4;
        self.mean_us = (self.mean_us * 7 + interval_us) / 8;
        self.slow_tokens =
            if self.is_slow_interval(interval_us) { self.slow_tokens + 1 } else { 0 };
    }

    fn is_slow_interval(&self, interval_us: u64) -> bool {
        let limit = (self.expected_us * SLOW_INTERVAL_FACTOR)
            .max(self.expected_us + MIN_SLOW_INTERVAL_EXCESS_US);
        interval_us > limit
    }

    /// Returns the time at which the attempt counts as stalled unless a token arrives before.
    pub fn stall_at(&self) -> Millis {
        self.last_token_at + self.stall_timeout()
    }

    fn stall_timeout(&self) -> Millis {
        if self.tokens == 0 {
            let span = Millis(self.first_token.0 * FIRST_TOKEN_TIMEOUT_FACTOR);
            return Millis(span.0 << self.backoff_exponent)
                .clamp(MIN_FIRST_TOKEN_TIMEOUT, MAX_FIRST_TOKEN_TIMEOUT);
        }
        let by_mean = self.mean_us * STALL_MEAN_FACTOR;
        let by_deviation = self.mean_us + self.deviation_us * STALL_DEVIATION_FACTOR;
        let span = Millis(by_mean.max(by_deviation) / 1000).max(MIN_STALL_TIMEOUT);
        Millis(span.0 << self.backoff_exponent).min(MAX_STALL_TIMEOUT)
    }

    /// Returns whether the last tokens were all slow compared with the time expected of the chain.
    pub fn is_degraded(&self) -> bool {
        self.slow_tokens >= DEGRADED_AFTER_SLOW_TOKENS
    }

    /// Makes the current mean the expected time, so that the chain no longer counts as degraded.
    pub fn accept_as_expected(&mut self) {
        self.expected_us = self.mean_us.max(self.expected_us);
        self.slow_tokens = 0;
    }

    /// Returns the mean time between tokens, in microseconds.
    pub fn mean_us(&self) -> u64 {
        self.mean_us
    }

    /// Returns the expected time between tokens, in microseconds.
    pub fn expected_us(&self) -> u64 {
        self.expected_us
    }

    /// Returns the number of tokens recorded.
    pub fn tokens(&self) -> u32 {
        self.tokens
    }
}
