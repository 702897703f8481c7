//! Result of a request: the summary of a complete answer, or a refusal.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::stream;

use super::Runner;
use crate::pipelines::AnswerSummary;
use crate::problem::Refusal;

/// Time after which a refused caller should retry.
const RETRY_AFTER: Millis = Millis(1_000);

impl Runner<'_> {
    /// Returns the summary of a complete answer.
    pub(super) fn summary(&self, closing: &stream::Closing) -> AnswerSummary {
        AnswerSummary {
            count: closing.count,
            digest: closing.digest,
            finish: closing.finish,
            prompt_tokens: closing.prompt_tokens,
            cached_tokens: closing.cached_tokens,
            attempts: closing.attempts,
            version: self.stream.version().clone(),
            chain: self.stream.chain().clone(),
        }
    }

    /// Returns the refusal of a request that was given up.
    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        let released = self.stream.released().len();
        let attempts = self.stream.attempt();
        let detail =
            format!("{} after {attempts} attempts and {released} tokens", refusal_text(reason));
        let refusal = if self.may_have_run {
            Refusal::unknown(reason, detail)
        } else {
            Refusal::not_run(reason, detail)
        };
        refusal.retry_after(RETRY_AFTER)
    }
}

fn refusal_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoChain => "no chain of backend servers covers the model",
        RefusalReason::VersionGone => "the model version of the answer is no longer available",
        RefusalReason::RetriesExhausted => "the answer could not be completed",
        RefusalReason::DeadlineExceeded => "the deadline passed",
        RefusalReason::CallerGone => "the caller disconnected",
        RefusalReason::Quarantined => "the request crashed backend servers and was stopped",
        _ => "the backend servers failed",
    }
}
