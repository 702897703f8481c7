//! Requests in flight.

use smallvec::SmallVec;

use super::messages::CrashId;
use super::messages::Fingerprint;
use super::messages::Fingerprints;
use crate::clock::Millis;

/// A request in flight and the servers that its attempt runs on.
#[derive(Debug)]
pub(super) struct RunningRequest {
    pub(super) fingerprints: Fingerprints,
    /// When the attempt was sent to its servers; `None` while it is only reserved.
    pub(super) started: Option<Millis>,
    /// The servers that the attempt runs on, each as the id of the crash that would end its boot.
    pub(super) servers: SmallVec<[CrashId; 4]>,
    /// When the attempt produced its first answer.
    pub(super) progressing_since: Option<Millis>,
    /// Whether the attempt has refuted that a part of its prompt crashes servers.
    pub(super) refutes_parts: bool,
}

impl RunningRequest {
    pub(super) fn new(
        fingerprints: &[Fingerprint],
        started: Option<Millis>,
        servers: impl IntoIterator<Item = CrashId>,
    ) -> Self {
        Self {
            fingerprints: fingerprints.into(),
            started,
            servers: servers.into_iter().collect(),
            progressing_since: None,
            refutes_parts: false,
        }
    }

    /// Returns the fingerprints that may be the cause of a crash of the attempt's server.
    pub(super) fn possible_causes(&self) -> impl Iterator<Item = Fingerprint> + '_ {
        self.fingerprints.iter().copied().filter(|f| !(f.is_part() && self.refutes_parts))
    }
}
