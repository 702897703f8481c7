//! Decisions that end the claim of a call without a dispatch.

use yuccanotch_core::claim::CallerReply;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::reason::RefusalReason;

use super::ClaimDecision;
use crate::problem::Refusal;

/// Time after which a caller should retry when a retry may resolve the refusal.
const RETRY_AFTER: Millis = Millis(1_000);

/// Returns the decision that passes a reply of the claim on to the caller.
pub(super) fn decision_of_reply(caller_reply: CallerReply) -> ClaimDecision {
    match caller_reply {
        CallerReply::Answer(answer) => ClaimDecision::Answer(answer),
        CallerReply::Refuse { outcome, reason, retry_may_resolve } => {
            let detail = refusal_detail(reason).to_owned();
            let retry_after = retry_may_resolve.then_some(RETRY_AFTER);
            ClaimDecision::Refuse(Refusal { reason, outcome, retry_after, detail })
        }
    }
}

/// Returns the refusal of a call whose record cannot be located.
pub(super) fn store_unavailable() -> Refusal {
    let reason = RefusalReason::StoreUnavailable;
    Refusal::unknown(reason, refusal_detail(reason)).retry_after(RETRY_AFTER)
}

fn refusal_detail(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::KeyReused => "the idempotency key was used before with a different request",
        RefusalReason::AnswerNotKept => "the call ran; its answer was too long to be stored",
        RefusalReason::StoreRestored => {
            "the store holds an older copy of the claims; retry with the same key"
        }
        RefusalReason::StoreUnavailable => "the store is unavailable; retry with the same key",
        RefusalReason::OutcomeUnknown => {
            "the call may have been run and is not repeated; retry with the same key"
        }
        RefusalReason::DeadlineExceeded => {
            "the call was still running at the deadline; retry with the same key"
        }
        _ => "the call was refused permanently; it was not run and will not be run with this key",
    }
}
