//! Times and limits of the quarantine.

use crate::clock::Millis;

/// Times and limits of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a fingerprint stays suspect after its last crash, in ms.
    pub suspect_ttl: Millis,
    /// How long a fingerprint stays quarantined after its last crash, in ms.
    pub quarantine_ttl: Millis,
    /// Two server losses less than this time apart may have a common cause.
    pub common_cause_window: Millis,
    /// How long a suspect counts as running on another host after the report of its start.
    pub remote_run_ttl: Millis,
    /// Most fingerprints that are kept.
    pub capacity: usize,
    /// Most crashes that are kept per fingerprint.
    pub max_crashes: usize,
    /// Crashes of a part less than this time apart count as one.
    pub part_window: Millis,
    /// How long an attempt must have produced an answer to refute that a part of its prompt crashes
    /// servers that begin to answer.
    pub progress_proof: Millis,
    /// How long an attempt whose connection broke may still be found to have been in flight at a
    /// crash.
    pub confirmation_ttl: Millis,
    /// How long the success of a request with a part is remembered.
    pub success_ttl: Millis,
    /// How long the success of a request itself is remembered.
    pub request_success_ttl: Millis,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            suspect_ttl: Millis(120_000),
            quarantine_ttl: Millis(900_000),
            common_cause_window: Millis(1_000),
            remote_run_ttl: Millis(30_000),
            capacity: 4_096,
            max_crashes: 32,
            part_window: Millis(300),
            progress_proof: Millis(1_000),
            confirmation_ttl: Millis(2_000),
            success_ttl: Millis(120_000),
            request_success_ttl: Millis(10_000),
        }
    }
}
