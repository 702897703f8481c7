//! Claims of calls that may not be repeated, kept in the platform's store.

use std::sync::Arc;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::ids::Incarnation;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::store::Store;
use yuccanotch_core::store::StoreError;

use crate::problem::Refusal;

const RETRY_AFTER: Millis = Millis(1_000);

/// A call that may not be repeated.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// Idempotency key given by the caller.
    pub key: String,
    /// Digest of method, path and body.
    pub digest: Digest,
    /// When the caller stops waiting.
    pub deadline: Millis,
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

/// Permission to dispatch one call once.
#[derive(Debug)]
pub struct Permit {
    key: String,
    version: KeyVersion,
    claim: StoredClaim,
}

/// How a call goes on after its claim was asked for.
#[derive(Debug)]
pub enum Begin {
    /// This host dispatches the call.
    Run(Permit),
    /// The call was answered before.
    Answer(StoredAnswer),
    /// The call is refused.
    Refuse(Refusal),
}

/// How a dispatched call ended.
#[derive(Clone, Debug)]
pub enum Finished {
    /// The backend server answered.
    Answer(StoredAnswer),
    /// A byte left and no answer came.
    Unknown,
    /// No byte left and none will.
    NotRun(RefusalReason),
}

#[derive(Clone, Debug, Deserialize, Serialize)]
struct StoredClaim {
    digest: Digest,
    host: HostName,
    incarnation: Incarnation,
    state: ClaimState,
}

#[derive(Clone, Debug, Deserialize, Serialize)]
enum ClaimState {
    Claimed,
    Done(StoredAnswer),
    Unknown,
    Tombstone,
}

/// Claims of one entry host.
pub struct Claims {
    store: Arc<dyn Store>,
    host: HostName,
    incarnation: Incarnation,
}

impl Claims {
    /// Creates the claims of one incarnation of a host.
    pub fn new(
        store: Arc<dyn Store>,
        _clock: Clock,
        host: HostName,
        incarnation: Incarnation,
    ) -> Self {
        Self { store, host, incarnation }
    }

    /// Claims a call for this host.
    pub fn begin(&self, req: &ClaimRequest) -> Begin {
        let name = format!("{}/{}/{}", req.team, req.service, req.key);
        let key = format!("claims/{}", Digest::of(name.as_bytes()));
        let claim = StoredClaim {
            digest: req.digest,
            host: self.host.clone(),
            incarnation: self.incarnation,
            state: ClaimState::Claimed,
        };
        let value = serde_json::to_vec(&claim).expect("a claim has only texts and numbers");
        match self.store.swap(&key, KeyVersion(0), &value, None) {
            Ok(version) => Begin::Run(Permit { key, version, claim }),
            Err(StoreError::Conflict(_)) => self.resume(&key, req),
            Err(e) => Begin::Refuse(
                Refusal::unknown(RefusalReason::StoreUnavailable, e.to_string())
                    .retry_after(RETRY_AFTER),
            ),
        }
    }

    fn resume(&self, key: &str, req: &ClaimRequest) -> Begin {
        let found = self.store.get(key).ok().flatten();
        let claim = found.and_then(|found| serde_json::from_slice(&found.value).ok());
        let Some(claim): Option<StoredClaim> = claim else {
            let text = "the claim cannot be read now; ask again with the same key";
            return Begin::Refuse(
                Refusal::unknown(RefusalReason::StoreUnavailable, text).retry_after(RETRY_AFTER),
            );
        };
        if claim.digest != req.digest {
            let text = "the idempotency key was used with another request";
            return Begin::Refuse(Refusal::not_run(RefusalReason::KeyReused, text));
        }
        match claim.state {
            ClaimState::Done(answer) => Begin::Answer(answer),
            ClaimState::Tombstone => Begin::Refuse(Refusal::not_run(
                RefusalReason::Tombstoned,
                "the call was refused before under this key and was not run",
            )),
            ClaimState::Claimed => Begin::Refuse(
                Refusal::unknown(RefusalReason::OutcomeUnknown, "the call may be running")
                    .retry_after(RETRY_AFTER),
            ),
            ClaimState::Unknown => Begin::Refuse(Refusal::unknown(
                RefusalReason::OutcomeUnknown,
                "the call was sent and its answer was lost; it is not repeated",
            )),
        }
    }

    /// Records how a dispatched call ended; returns whether the record is in the store.
    pub fn finish(&self, permit: Permit, finished: Finished) -> bool {
        let state = match finished {
            Finished::Answer(answer) => ClaimState::Done(answer),
            Finished::Unknown => ClaimState::Unknown,
            Finished::NotRun(_) => ClaimState::Tombstone,
        };
        let claim = StoredClaim { state, ..permit.claim };
        let value = serde_json::to_vec(&claim).expect("a claim has only texts and numbers");
        self.store.swap(&permit.key, permit.version, &value, None).is_ok()
    }
}
