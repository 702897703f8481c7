//! Messages about suspects between entry hosts.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::digest::Digest;
use crate::ids::RequestId;
use crate::name::PromptPart;
use crate::name::ServerName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// Identifies what requests that may crash servers have in common: a hash of its content.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Fingerprint {
    /// A request with its team and body, under any idempotency key.
    Request(u64, u64),
    /// A part of a prompt, whichever request contains it.
    PromptPart(u64, u64),
}

/// The fingerprints of one request.
pub type Fingerprints = SmallVec<[Fingerprint; 4]>;

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(team: &TeamName, body: &[u8]) -> Self {
        let (first, second) = hash_fields(&[team.as_str().as_bytes(), body]);
        Self::Request(first, second)
    }

    /// Computes the fingerprint of a request by its team, path and body.
    pub fn of_call(team: &str, path: &str, body: &[u8]) -> Self {
        let (first, second) = hash_fields(&[team.as_bytes(), path.as_bytes(), body]);
        Self::Request(first, second)
    }

    /// Computes the fingerprint of a part of prompts for the servers of `service`.
    pub fn of_part(service: &ServiceName, part: &PromptPart) -> Self {
        let (first, second) = hash_fields(&[service.as_str().as_bytes(), part.as_str().as_bytes()]);
        Self::PromptPart(first, second)
    }

    /// Returns whether this is a part of prompts, which other requests may share.
    pub fn is_part(self) -> bool {
        matches!(self, Self::PromptPart(..))
    }
}

/// Returns the fingerprints of a request of `team` for the servers of `service`.
///
/// The last of its prompt's `parts` belongs to the request alone, so it identifies nothing that other
/// requests share.
pub fn fingerprints(
    team: &str,
    path: &str,
    body: &[u8],
    service: &ServiceName,
    parts: &[PromptPart],
) -> Fingerprints {
    let shared = parts.split_last().map_or(&[][..], |(_, shared)| shared);
    let parts = shared.iter().map(|part| Fingerprint::of_part(service, part));
    std::iter::once(Fingerprint::of_call(team, path, body)).chain(parts).collect()
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Request(first, _) => write!(f, "request-{first:016x}"),
            Self::PromptPart(first, _) => write!(f, "part-{first:016x}"),
        }
    }
}

/// Returns two words of a digest of `fields`; all but the last one are preceded by their length.
fn hash_fields(fields: &[&[u8]]) -> (u64, u64) {
    let mut buf = Vec::new();
    for (i, field) in fields.iter().enumerate() {
        if i + 1 < fields.len() {
            buf.extend_from_slice(&(field.len() as u64).to_le_bytes());
        }
        buf.extend_from_slice(field);
    }
    let digest = Digest::of(&buf).0;
    let word = |at: usize| {
        let mut word = [0; 8];
        word.copy_from_slice(&digest[at..at + 8]);
        u64::from_le_bytes(word)
    };
    (word(0), word(8))
}

/// One crash of one server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// Server that crashed.
    pub server: ServerName,
    /// Boot of the server that ended with the crash, so that all hosts identify the crash alike.
    pub boot: u64,
}

/// A crash at which a fingerprint was in flight, as one host tells it to another.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashReport {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash became known, in ms.
    pub age: Millis,
    /// Time from the start of the last attempt on the server until the crash, in ms.
    pub ran_for: Millis,
}

/// What a host knows about a fingerprint that was in flight at crashes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Fingerprint that was in flight.
    pub fingerprint: Fingerprint,
    /// Crashes since the last success.
    pub crashes: SmallVec<[CrashReport; 2]>,
    /// Time since the last success of a request with the fingerprint, in ms, if one is known.
    pub success_age: Option<Millis>,
    /// Whether the crashes cannot be a mere outage of the servers.
    pub stands_out: bool,
}

/// The start of an attempt of a suspect on the sending host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectStart {
    /// Request that the attempt belongs to.
    pub request: RequestId,
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Servers that the attempt runs on, with their current boots.
    pub servers: SmallVec<[CrashId; 4]>,
}

/// A request about suspects, sent to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineMessage {
    /// Reports the crashes of fingerprints.
    Notices(Vec<CrashNotice>),
    /// Reports the start of a suspect's attempt.
    Started(SuspectStart),
    /// Reports the end of a suspect's attempt.
    Ended(RequestId),
}

/// The answer to a [`QuarantineMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineReply {
    /// The message was processed.
    Taken,
}
