//! The interface of the platform's key-value store.

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

/// A key that changed below a watched prefix.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyChange {
    /// The key.
    pub key: String,
    /// Version of the key; 0 when it was deleted.
    pub version: KeyVersion,
}

/// The changes below a watched prefix since a revision.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision of the store to continue the watch from.
    pub revision: u64,
    /// Changed keys, each listed once.
    pub changes: Vec<KeyChange>,
}

quick_error! {
    /// Reasons why a call to the store failed.
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
        /// The lease has expired; nothing was written.
        LeaseLapsed {
            display("the lease has expired")
        }
        /// The store refused the call before running it; nothing was written.
        Refused(status: u16) {
            display("the store refused the call with status {}", status)
        }
        /// The call could not be sent; nothing was written.
        Unreachable {
            display("the store cannot be reached")
        }
        /// No answer arrived; a write may have taken effect.
        AnswerLost {
            display("the store's answer was lost")
        }
    }
}

/// A client of the platform's key-value store.
pub trait Store: Send + Sync {
    /// Reads a key; `None` when it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrived.
    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes `value` if the key is at version `expect`, and returns the new version.
    ///
    /// A key that is written with a lease is deleted when the lease expires.
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
    /// Returns an error when no answer arrived.
    fn list(&self, prefix: &str) -> Result<Vec<(String, KeyVersion)>, StoreError>;

    /// Waits up to `wait` for changes below `prefix` that are later than `revision`.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrived.
    fn watch(&self, prefix: &str, revision: u64, wait: Millis) -> Result<WatchBatch, StoreError>;

    /// Requests a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// Returns an error when no answer arrived; a lease that was granted then expires by itself.
    fn grant_lease(&self, ttl: Millis) -> Result<LeaseId, StoreError>;

    /// Renews a lease for the `ttl` that it was granted with.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::LeaseLapsed`] when the lease has expired.
    fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}

/// The store's HTTP protocol, shared by the client and the stand-in of the store for tests.
///
/// - `GET /v1/kv/KEY`: 200 with the value as body and [`HEADER_VERSION`], or 404.
/// - `PUT /v1/kv/KEY` with [`HEADER_EXPECT`] (0 for an absent key), optional [`HEADER_LEASE`]:
///   200 with [`HEADER_VERSION`]; 409 with the current version; 410 for an expired lease; 413 for
///   a value that is too large.
/// - `DELETE /v1/kv/KEY` with [`HEADER_EXPECT`]: 200 or 409.
/// - `GET /v1/list?prefix=P`: JSON list of `[key, version]`.
/// - `GET /v1/watch?prefix=P&after=R&wait_ms=W`: JSON `{"revision", "changes": [[key, version]]}`.
/// - `POST /v1/lease?ttl_ms=T`: JSON `{"lease"}`; `POST /v1/lease/ID/renew`: 200 or 410.
/// - 429 above the rate limit, 503 in an outage; in both cases the call was not run.
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
