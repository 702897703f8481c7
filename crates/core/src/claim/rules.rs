//! How one operation changes one record.

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

/// What an operation asks for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OpKind {
    /// Claims an absent key.
    Claim,
    /// Claims a key whose holder gave the claim up without a dispatch.
    Reclaim {
        /// Nonce of the claim that was given up.
        abandoned: Nonce,
    },
    /// Refuses an absent key, or the operation's own claim, for good.
    Refuse {
        /// Reason told to callers.
        reason: RefusalReason,
    },
    /// Records how the operation's own claim ended.
    Finish {
        /// One of the answered states, or [`ClaimState::Unknown`].
        state: ClaimState,
    },
    /// Records that the outcome of another process's claim cannot be learned.
    MarkUnknown {
        /// Nonce of that claim.
        held: Nonce,
    },
}

/// An operation on one key; applying it again changes nothing more.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Op {
    /// Key.
    pub key: ClaimKey,
    /// Request that the key is used with.
    pub digest: RequestDigest,
    /// Process that asks.
    pub holder: Holder,
    /// Its nonce.
    pub nonce: Nonce,
    /// What it asks for.
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

/// Returns the record to write for `op`, or `None` when the present record stays.
///
/// `now` is the time since the Unix epoch.
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
