//! The tokens that a request is expected to have.

use yuccanotch_core::placement::load::MEAN_HELD_FRACTION;

use crate::exchange::Exchange;
use crate::routing::RequestTokens;

/// The fraction of the largest answer that a request without an estimate is expected to produce.
const DEFAULT_LENGTH_FRACTION: f64 = 0.6;
/// The tokens expected of a request that does not state the length of its prompt.
const DEFAULT_REQUEST_TOKENS: f64 = 1_000.0;

impl Exchange {
    /// Returns the number of tokens that the request is expected to hold, in the mean over its
    /// life.
    pub(super) fn expected_load(&self) -> f64 {
        self.expected_tokens().held
    }

    /// Returns the expected tokens of the request.
    pub(super) fn expected_tokens(&self) -> RequestTokens {
        let Some(prompt) = self.caller.prompt_tokens else {
            return RequestTokens { held: DEFAULT_REQUEST_TOKENS, total: DEFAULT_REQUEST_TOKENS };
        };
        let most = f64::from(self.caller.max_tokens.unwrap_or(0));
        let expected =
            self.caller.expected_tokens.map_or(most * DEFAULT_LENGTH_FRACTION, f64::from);
        let (prompt, answer) = (f64::from(prompt), expected.min(most));
        RequestTokens { held: prompt + MEAN_HELD_FRACTION * answer, total: prompt + answer }
    }

    /// Returns what the duration of the request grows with: the largest number of tokens of a stream, or
    /// 1.
    pub(super) fn work(&self) -> u32 {
        self.caller.max_tokens.filter(|_| self.route.streaming).unwrap_or(1)
    }

    /// Returns the number of tokens that servers without the request's KV cache have to prefill: the
    /// prompt, or the mean of the tokens held once the answer has begun.
    pub(super) fn tokens_to_prefill(&self) -> u32 {
        if self.outcome.has_begun() {
            return self.expected_load() as u32;
        }
        self.caller.prompt_tokens.unwrap_or(DEFAULT_REQUEST_TOKENS as u32)
    }
}
