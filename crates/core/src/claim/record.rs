//! Claim records, and the identifiers that they contain.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::digest::Digest;
use crate::ids::Incarnation;
use crate::name::HostName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::reason::RefusalReason;

/// Longest body of an answer that is stored with its claim, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 2_048;

fn truncate_to_u128(digest: Digest) -> u128 {
    let mut buf = [0; 16];
    buf.copy_from_slice(&digest.0[..16]);
    u128::from_le_bytes(buf)
}

/// Identifies a call by its team, its service and its idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Hashes the parts, each preceded by its length so that no two splits give the same input.
    pub fn new(team: &TeamName, service: &ServiceName, key: &str) -> Self {
        let mut buf = Vec::new();
        for part in [team.as_str(), service.as_str(), key] {
            buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
            buf.extend_from_slice(part.as_bytes());
        }
        Self(truncate_to_u128(Digest::of(&buf)))
    }

    /// Returns the slot that holds the key's record, out of `slots` slots.
    ///
    /// # Panics
    ///
    /// Panics when `slots` is zero.
    pub fn slot(self, slots: u16) -> SlotId {
        SlotId((self.0 % u128::from(slots)) as u16)
    }
}

/// Number of a slot: a group of keys whose records share one head in the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId(pub u16);

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0)
    }
}

/// Digest of a request's method, path and body; a resend under the same key has to match it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestDigest(pub u128);

impl From<Digest> for RequestDigest {
    fn from(digest: Digest) -> Self {
        Self(truncate_to_u128(digest))
    }
}

/// Random number that distinguishes the attempts to claim a key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Nonce(pub u64);

/// One process of an entry host, as the holder of claims.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Holder {
    /// Host that the process runs on.
    pub host: HostName,
    /// Incarnation of the host, which differs for each start of the process.
    pub incarnation: Incarnation,
}

/// An answer that is stored with its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body, at most [`MAX_KEPT_BODY_BYTES`] long.
    pub body: Vec<u8>,
}

/// State of a key that has a record.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// The holder may dispatch the call once.
    Claimed,
    /// The call was dispatched and its answer was lost.
    Unknown,
    /// The call was answered.
    Answered(StoredAnswer),
    /// The call was answered; the answer is stored in the sealed segment with this number.
    AnswerSealed(u64),
    /// The call was answered; the answer was too long to be stored.
    AnswerNotKept,
    /// The call was refused: it was not dispatched and never will be.
    Tombstone(RefusalReason),
}

impl ClaimState {
    /// Returns the state that stores `answer`, or [`Self::AnswerNotKept`] if its body is too long.
    pub fn answered(answer: StoredAnswer) -> Self {
        if answer.body.len() > MAX_KEPT_BODY_BYTES {
            return Self::AnswerNotKept;
        }
        Self::Answered(answer)
    }

    /// Returns the rank of the state in the progress of a call; a record never falls to a lower
    /// rank.
    pub fn rank(&self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Unknown => 1,
            Self::AnswerNotKept => 2,
            Self::Answered(_) | Self::AnswerSealed(_) | Self::Tombstone(_) => 3,
        }
    }
}

/// The record of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Key that the record belongs to.
    pub key: ClaimKey,
    /// Digest of the request that first used the key.
    pub digest: RequestDigest,
    /// Process that holds the claim.
    pub holder: Holder,
    /// Nonce of the claim.
    pub nonce: Nonce,
    /// Number of claims of the key so far, from 1; it grows when an abandoned claim is replaced.
    pub generation: u32,
    /// When the record last changed, in ms since the Unix epoch.
    pub written: Millis,
    /// State of the key.
    pub state: ClaimState,
}
