//! Requests in flight.

use smallvec::SmallVec;

use super::messages::CrashId;
use super::messages::Fingerprint;
use super::messages::Fingerprints;
use crate::clock::Millis;

/// A request in flight and the servers that its attempt runs on.
#[derive(Clone, Debug)]
pub(super) struct RunningRequest {
    pub(super) fingerprints: Fingerprints,
    /// When the attempt was sent to its servers; `None` while it is only reserved.
    pub(super) started: Option<Millis>,
    /// The servers that the attempt runs on, each as the id of the crash that would end its boot.
    pub(super) servers: SmallVec<[CrashId; 4]>,
    /// When the attempt produced its first answer.
    pub(super) progressing_since: Option<Millis>,
    /// Whether the answer has gone on for so long that the request does not crash servers.
    pub(super) has_progressed: bool,
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
            has_progressed: false,
        }
    }

    /// Returns the fingerprints that may be the cause of a crash of one of the attempt's servers: none
    /// once its answer has gone on for some time.
    pub(super) fn possible_causes(&self) -> &[Fingerprint] {
        if self.has_progressed {
            &[]
        } else {
            &self.fingerprints
        }
    }
}
