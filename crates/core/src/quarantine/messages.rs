//! Messages between entry hosts.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::digest::Digest;
use crate::ids::RequestId;
use crate::name::ServerName;
use crate::name::TeamName;

/// What a request is recognised by under any key: its team and its body.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Fingerprint(pub u64, pub u64);

impl Fingerprint {
    /// Returns the fingerprint of a request.
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
    /// Server.
    pub server: ServerName,
    /// Its boot before the crash, so that all hosts name the crash alike.
    pub boot: u64,
}

/// The crashes at which a fingerprint was in flight.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CrashNotice {
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Crashes.
    pub crashes: SmallVec<[CrashId; 2]>,
}

/// A suspect that starts on a host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectStart {
    /// Request.
    pub request: RequestId,
    /// Fingerprint.
    pub fingerprint: Fingerprint,
    /// Servers that it runs on, with their boots.
    pub servers: SmallVec<[CrashId; 4]>,
}

/// A request of this slice to another entry host.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineMessage {
    /// Tells of suspects.
    Notices(Vec<CrashNotice>),
    /// Tells of a suspect that starts.
    Started(SuspectStart),
    /// Tells of the end of a suspect's attempt.
    Ended(RequestId),
}

/// The answer to a [`QuarantineMessage`].
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuarantineReply {
    /// The notices were taken.
    Taken,
}
