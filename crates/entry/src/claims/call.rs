//! Calls that may not be repeated: how they are claimed and how they end.

use yuccanotch_core::claim::CallClaim;
use yuccanotch_core::claim::StoredAnswer;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;

use super::commits::RecordLocation;
use crate::problem::Refusal;

/// A call that may not be repeated, as it is claimed.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// Service that is called.
    pub service: ServiceName,
    /// Idempotency key given by the caller.
    pub key: String,
    /// Digest of method, path with query, and body.
    pub digest: Digest,
    /// Time at which the caller stops waiting.
    pub deadline: Millis,
}

/// Permission to dispatch one call once.
#[derive(Debug)]
pub struct DispatchPermit {
    pub(super) call: CallClaim,
    pub(super) location: RecordLocation,
}

/// What happens to a call after an attempt to claim it.
#[derive(Debug)]
pub enum ClaimDecision {
    /// The claim was granted; this host has to dispatch the call.
    Dispatch(DispatchPermit),
    /// An earlier call with the same key was answered; this is its answer.
    Answer(StoredAnswer),
    /// The call is refused.
    Refuse(Refusal),
}

/// The outcome of a claimed call.
#[derive(Clone, Debug)]
pub enum CallOutcome {
    /// The backend server answered.
    Answer(StoredAnswer),
    /// At least one byte was sent, but no complete answer arrived.
    Unknown,
    /// No byte was sent and none will be sent.
    NotRun(RefusalReason),
}
