//! Messages about suspects between entry hosts.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::digest::Digest;
use crate::ids::RequestId;
use crate::name::ServerName;
use crate::name::TeamName;

/// Hash of a request's team and body, which identifies the request under any idempotency key.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64, pub u64);

impl Fingerprint {
    /// Computes the fingerprint of a request.
    pub fn new(team: &TeamName, body: &[u8]) -> Self {
        let mut buf = (team.as_str().len() as u64).to_le_bytes().to_vec();
        buf.extend_from_slice(team.as_str().as_bytes());
        buf.extend_from_slice(body);
        let digest = Digest::of(&buf).0;
        let word = |at: usize| {
            let mut word = [0; 8];
            word.copy_from_slice(&digest[at..at + 8]);
            u64::from_le_bytes(word)
        };
        Self(word(0), word(8))
    }
}

/// One crash of one server.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct CrashId {
    /// Server that crashed.
    pub server: ServerName,
    /// Boot of the server that ended with the crash, so that all hosts identify the crash alike.
    pub boot: u64,
}

/// A notice of the crashes at which a fingerprint was in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Fingerprint that was in flight.
    pub fingerprint: Fingerprint,
    /// Crashes that the sender knows.
    pub crashes: SmallVec<[CrashId; 2]>,
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
