//! The platform's key-value service as seen by the slices.

use quick_error::quick_error;

use crate::clock::Millis;
use crate::ids::KeyVersion;
use crate::ids::LeaseId;

/// Largest value that the store accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// A value with the version of its last write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Versioned {
    /// Version of the key, at least 1.
    pub version: KeyVersion,
    /// The value, at most [`MAX_VALUE_BYTES`] bytes.
    pub value: Vec<u8>,
}

/// One changed key of a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Its version; 0 when the key was deleted.
    pub version: KeyVersion,
}

/// Changes below a prefix since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision to continue from.
    pub revision: u64,
    /// Changed keys, each once.
    pub changes: Vec<KeyChange>,
}

quick_error! {
    /// Why a call to the store did not succeed.
    #[derive(Clone, Debug, Eq, PartialEq)]
    pub enum StoreError {
        /// The key has another version than expected; nothing was written.
        Conflict(current: KeyVersion) {
            display("the key is at version {}", current)
        }
        /// The value is too large; nothing was written.
        TooLarge {
            display("the value exceeds {} bytes", MAX_VALUE_BYTES)
        }
        /// The lease has lapsed; nothing was written.
        LeaseLapsed {
            display("the lease has lapsed")
        }
        /// The store refused the call before running it; nothing was written.
        Refused(status: u16) {
            display("the store refused the call with status {}", status)
        }
        /// The call was not sent; nothing was written.
        Unreachable {
            display("the store cannot be reached")
        }
        /// No answer came; a write may have taken effect.
        AnswerLost {
            display("the store's answer was lost")
        }
    }
}

/// The platform's key-value service.
pub trait Store: Send + Sync {
    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes `value` if the key is at version `expect`, and returns the new version.
    ///
    /// A key that is written with a lease vanishes when the lease lapses.
    ///
    /// # Errors
    ///
    /// [`StoreError::AnswerLost`] leaves open whether the write took effect.
    fn swap(
        &self,
        key: &str,
        expect: KeyVersion,
        value: &[u8],
        lease: Option<LeaseId>,
    ) -> Result<KeyVersion, StoreError>;

    /// Deletes a key if it is at version `expect`.
    ///
    /// # Errors
    ///
    /// [`StoreError::AnswerLost`] leaves open whether the key was deleted.
    fn delete(&self, key: &str, expect: KeyVersion) -> Result<(), StoreError>;

    /// Lists keys that begin with `prefix`, with their versions, sorted.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    fn list(&self, prefix: &str) -> Result<Vec<(String, KeyVersion)>, StoreError>;

    /// Waits up to `wait` for changes below `prefix` after `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came.
    fn watch(&self, prefix: &str, revision: u64, wait: Millis) -> Result<WatchBatch, StoreError>;

    /// Grants a lease that lapses after `ttl` unless renewed.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer came; a lease that was granted then lapses by itself.
    fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its original span.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseLapsed`] when it has lapsed.
    fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// HTTP form of the store's protocol, shared by the client and the stand-in.
///
/// - `GET /v1/kv/KEY`: 200 with the value as body and [`HEADER_VERSION`], or 404.
/// - `PUT /v1/kv/KEY` with [`HEADER_EXPECT`] (0 for an absent key), optional [`HEADER_LEASE`]:
///   200 with [`HEADER_VERSION`]; 409 with the current version; 410 for a lapsed lease; 413.
/// - `DELETE /v1/kv/KEY` with [`HEADER_EXPECT`]: 200 or 409.
/// - `GET /v1/list?prefix=P`: JSON list of `[key, version]`.
/// - `GET /v1/watch?prefix=P&after=R&wait_ms=W`: JSON `{"revision", "changes": [[key, version]]}`.
/// - `POST /v1/lease?ttl_ms=T`: JSON `{"lease"}`; `POST /v1/lease/ID/renew`: 200 or 410.
/// - 429 when over the rate, 503 in an outage; neither runs the call.
///
/// Keys are paths of URL-safe characters and are not escaped.
pub mod http {
    /// Carries a key's version in answers.
    pub const HEADER_VERSION: &str = "x-version";
    /// Carries the expected version of a write.
    pub const HEADER_EXPECT: &str = "x-expect";
    /// Carries the lease that a key is bound to.
    pub const HEADER_LEASE: &str = "x-lease";
}
