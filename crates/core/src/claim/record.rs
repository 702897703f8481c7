//! Records of claims.

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

/// Longest body that is kept with a claim, in bytes.
pub const MAX_KEPT_BODY_BYTES: usize = 2_048;

fn truncate_to_u128(digest: Digest) -> u128 {
    let mut buf = [0; 16];
    buf.copy_from_slice(&digest.0[..16]);
    u128::from_le_bytes(buf)
}

/// Identifies the call that an idempotency key of a team at a service stands for.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct ClaimKey(pub u128);

impl ClaimKey {
    /// Derives the key from its parts, each framed by its length.
    pub fn new(team: &TeamName, service: &ServiceName, key: &str) -> Self {
        let mut buf = Vec::new();
        for part in [team.as_str(), service.as_str(), key] {
            buf.extend_from_slice(&(part.len() as u64).to_le_bytes());
            buf.extend_from_slice(part.as_bytes());
        }
        Self(truncate_to_u128(Digest::of(&buf)))
    }

    /// Returns the slot of the key among `slots` slots.
    ///
    /// # Panics
    ///
    /// Panics when `slots` is zero.
    pub fn slot(self, slots: u16) -> SlotId {
        SlotId((self.0 % u128::from(slots)) as u16)
    }
}

/// Numbers a group of keys that share one value of the store.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct SlotId(pub u16);

impl fmt::Display for SlotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:04x}", self.0)
    }
}

/// Digest of method, path and body, which a resend has to repeat.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestDigest(pub u128);

impl From<Digest> for RequestDigest {
    fn from(digest: Digest) -> Self {
        Self(truncate_to_u128(digest))
    }
}

/// Distinguishes the attempts to claim a key; drawn at random.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Nonce(pub u64);

/// One process of an entry host.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Holder {
    /// Host.
    pub host: HostName,
    /// Its incarnation.
    pub incarnation: Incarnation,
}

/// An answer kept with its claim.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Media type of the body.
    pub content_type: String,
    /// Body.
    pub body: Vec<u8>,
}

/// State of a claimed key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ClaimState {
    /// The holder may dispatch the call once.
    Claimed,
    /// The call was dispatched and its answer was lost.
    Unknown,
    /// The call was answered.
    Answered(StoredAnswer),
    /// The call was answered; the answer lies in the segment with this number.
    AnswerSealed(u64),
    /// The call was answered; the answer was too long to be kept.
    AnswerNotKept,
    /// The call was refused, was not run and will not be run.
    Tombstone(RefusalReason),
}

impl ClaimState {
    /// Returns the state that records `answer`, without it when its body is too long.
    pub fn answered(answer: StoredAnswer) -> Self {
        if answer.body.len() > MAX_KEPT_BODY_BYTES {
            return Self::AnswerNotKept;
        }
        Self::Answered(answer)
    }

    /// Returns how far the call has come; a record never goes back to a lower rank.
    pub fn rank(&self) -> u8 {
        match self {
            Self::Claimed => 0,
            Self::Unknown => 1,
            Self::AnswerNotKept => 2,
            Self::Answered(_) | Self::AnswerSealed(_) | Self::Tombstone(_) => 3,
        }
    }
}

/// What the store says of one key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Key.
    pub key: ClaimKey,
    /// Request that the key was used with.
    pub digest: RequestDigest,
    /// Process that holds the claim.
    pub holder: Holder,
    /// Its nonce.
    pub nonce: Nonce,
    /// Counts the claims of the key, from 1; it grows when an abandoned claim is replaced.
    pub generation: u32,
    /// When the record was written, since the Unix epoch.
    pub written: Millis,
    /// State.
    pub state: ClaimState,
}
