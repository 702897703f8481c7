//! The state transitions of a claim record.

use serde::Deserialize;
use serde::Serialize;

use super::record::ClaimKey;
use super::record::ClaimState;
use super::record::Holder;
use super::record::Nonce;
use super::record::Record;
use super::record::RequestDigest;
use crate::clock::Millis;
use crate::defect::planted;
use crate::reason::RefusalReason;

const FIRST_GENERATION: u32 = 1;

/// The kind of an operation on a key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpKind {
    /// Claims a key that has no record.
    Claim,
    /// Claims a key whose holder abandoned its claim without a dispatch.
    Reclaim {
        /// Nonce of the abandoned claim.
        abandoned: Nonce,
    },
    /// Writes a tombstone, over no record or over the operation's own claim.
    Refuse {
        /// Reason that callers are told.
        reason: RefusalReason,
    },
    /// Records the end of the call under the operation's own claim.
    Finish {
        /// One of the answered states, or [`ClaimState::Unknown`] when the answer was lost.
        state: ClaimState,
    },
    /// Records that the outcome of another process's claim cannot be determined.
    MarkUnknown {
        /// Nonce of the other process's claim.
        held: Nonce,
    },
}

/// An idempotent operation on one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Op {
    /// Key that the operation applies to.
    pub key: ClaimKey,
    /// Digest of the request; a record with another digest is left unchanged.
    pub digest: RequestDigest,
    /// Process that requests the operation.
    pub holder: Holder,
    /// Nonce of the claim of that process.
    pub nonce: Nonce,
    /// Kind of the operation.
    pub kind: OpKind,
}

impl Op {
    fn record(&self, generation: u32, now: Millis, state: ClaimState) -> Record {
        Record {
            key: self.key,
            digest: self.digest,
            holder: self.holder.clone(),
            nonce: self.nonce,
            generation,
            written: now,
            state,
        }
    }
}

/// Returns the record that `op` writes over `present`, or `None` when it changes nothing.
///
/// `now` is the time in ms since the Unix epoch.
pub fn next_record(present: Option<&Record>, op: &Op, now: Millis) -> Option<Record> {
    match present {
        None => first_record(op, now),
        Some(present) if present.digest != op.digest => None,
        Some(present) => changed_record(present, op, now),
    }
}

fn first_record(op: &Op, now: Millis) -> Option<Record> {
    let state = match &op.kind {
        OpKind::Claim | OpKind::Reclaim { .. } => ClaimState::Claimed,
        OpKind::Refuse { reason } => ClaimState::Tombstone(*reason),
        OpKind::Finish { state } => state.clone(),
        OpKind::MarkUnknown { .. } => return None,
    };
    Some(op.record(FIRST_GENERATION, now, state))
}

fn changed_record(present: &Record, op: &Op, now: Millis) -> Option<Record> {
    let claimed = present.state == ClaimState::Claimed;
    let own = present.nonce == op.nonce && present.holder == op.holder;
    let generation = present.generation;
    match &op.kind {
        OpKind::Claim if claimed && planted!(ClaimOverClaim) => {
            Some(op.record(generation, now, ClaimState::Claimed))
        }
        OpKind::Claim => None,
        OpKind::Reclaim { abandoned } => (claimed && present.nonce == *abandoned)
            .then(|| op.record(generation.saturating_add(1), now, ClaimState::Claimed)),
        OpKind::Refuse { reason } => {
            let allowed = claimed && (own || planted!(TombstoneOverClaim));
            allowed.then(|| op.record(generation, now, ClaimState::Tombstone(*reason)))
        }
        OpKind::Finish { state } => {
            let open = claimed || present.state == ClaimState::Unknown;
            (own && open && *state != present.state)
                .then(|| op.record(generation, now, state.clone()))
        }
        OpKind::MarkUnknown { held } => (claimed && present.nonce == *held).then(|| Record {
            written: now,
            state: ClaimState::Unknown,
            ..present.clone()
        }),
    }
}
