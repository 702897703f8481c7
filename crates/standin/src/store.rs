//! In-memory key-value store of the platform stand-in, with versions, revisions and leases.

use std::collections::BTreeMap;
use std::collections::HashMap;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::ids::LeaseId;
use yuccanotch_core::store::KeyChange;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::Versioned;
use yuccanotch_core::store::WatchBatch;
use yuccanotch_core::store::MAX_VALUE_BYTES;

#[derive(Clone, Debug)]
struct Entry {
    version: KeyVersion,
    revision: u64,
    /// `None` for a deleted key; its version number continues when it is written again.
    value: Option<Vec<u8>>,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl: Millis,
    expires_at: Millis,
}

/// All values of the store with their versions and the revision.
#[derive(Clone, Debug, Default)]
pub(crate) struct Snapshot {
    entries: BTreeMap<String, Entry>,
    revision: u64,
}

/// The state of the store.
#[derive(Debug, Default)]
pub(crate) struct StoreState {
    content: Snapshot,
    leases: HashMap<LeaseId, Lease>,
    last_lease: LeaseId,
}

impl StoreState {
    /// Returns the value and version of a key, or `None` when it does not exist.
    pub(crate) fn get(&self, key: &str) -> Option<Versioned> {
        let entry = self.content.entries.get(key)?;
        let value = entry.value.clone()?;
        Some(Versioned { version: entry.version, value })
    }

    /// Writes a key if its version is `expect`, and binds it to `lease`; returns the new version.
    pub(crate) fn swap(
        &mut self,
        key: &str,
        expect: KeyVersion,
        value: Vec<u8>,
        lease: Option<LeaseId>,
    ) -> Result<KeyVersion, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge);
        }
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            return Err(StoreError::LeaseLapsed);
        }
        self.check_version(key, expect)?;
        Ok(self.write(key, Some(value), lease))
    }

    /// Deletes a key if its version is `expect`.
    pub(crate) fn delete(&mut self, key: &str, expect: KeyVersion) -> Result<(), StoreError> {
        self.check_version(key, expect)?;
        self.write(key, None, None);
        Ok(())
    }

    fn current_version(&self, key: &str) -> KeyVersion {
        let entry = self.content.entries.get(key);
        entry.filter(|entry| entry.value.is_some()).map_or(KeyVersion(0), |entry| entry.version)
    }

    fn check_version(&self, key: &str, expect: KeyVersion) -> Result<(), StoreError> {
        let current = self.current_version(key);
        if current == expect {
            Ok(())
        } else {
            Err(StoreError::Conflict(current))
        }
    }

    fn write(&mut self, key: &str, value: Option<Vec<u8>>, lease: Option<LeaseId>) -> KeyVersion {
        self.content.revision += 1;
        let last = self.content.entries.get(key).map(|entry| entry.version).unwrap_or_default();
        let version = last.next();
        let entry = Entry { version, revision: self.content.revision, value, lease };
        self.content.entries.insert(key.to_owned(), entry);
        version
    }

    /// Returns the keys that begin with a prefix, with their versions.
    pub(crate) fn list(&self, prefix: &str) -> Vec<(String, KeyVersion)> {
        self.entries_below(prefix)
            .filter(|(_, entry)| entry.value.is_some())
            .map(|(key, entry)| (key.clone(), entry.version))
            .collect()
    }

    fn entries_below<'a>(
        &'a self,
        prefix: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a Entry)> {
        let from = self.content.entries.range(prefix.to_owned()..);
        from.take_while(move |(key, _)| key.starts_with(prefix))
    }

    /// Returns the changes after the revision `after` to keys that begin with a prefix.
    ///
    /// When `after` is newer than the store, as after the restore of an old snapshot, all keys are
    /// returned.
    pub(crate) fn changes(&self, prefix: &str, after: u64) -> WatchBatch {
        let after = if after > self.content.revision { 0 } else { after };
        let changed = self.entries_below(prefix).filter(|(_, entry)| entry.revision > after);
        let changes = changed
            .map(|(key, entry)| KeyChange {
                key: key.clone(),
                version: if entry.value.is_some() { entry.version } else { KeyVersion(0) },
            })
            .collect();
        WatchBatch { revision: self.content.revision, changes }
    }

    /// Returns the revision of the last write.
    pub(crate) fn revision(&self) -> u64 {
        self.content.revision
    }

    /// Grants a lease with the time to live `ttl`.
    pub(crate) fn grant_lease(&mut self, now: Millis, ttl: Millis) -> LeaseId {
        self.last_lease = self.last_lease.next();
        self.leases.insert(self.last_lease, Lease { ttl, expires_at: now + ttl });
        self.last_lease
    }

    /// Renews a lease for its time to live.
    pub(crate) fn renew_lease(&mut self, now: Millis, lease: LeaseId) -> Result<(), StoreError> {
        let lease = self.leases.get_mut(&lease).ok_or(StoreError::LeaseLapsed)?;
        lease.expires_at = now + lease.ttl;
        Ok(())
    }

    /// Removes expired leases and their keys; returns whether a key was removed.
    pub(crate) fn expire(&mut self, now: Millis) -> bool {
        let expired: Vec<LeaseId> =
            self.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        let mut any_removed = false;
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<String> = self
                .content
                .entries
                .iter()
                .filter(|(_, entry)| entry.lease == Some(lease) && entry.value.is_some())
                .map(|(key, _)| key.clone())
                .collect();
            for key in keys {
                self.write(&key, None, None);
                any_removed = true;
            }
        }
        any_removed
    }

    /// Returns a snapshot of all values.
    pub(crate) fn snapshot(&self) -> Snapshot {
        self.content.clone()
    }

    /// Replaces all values by those of an earlier snapshot and ends all leases.
    pub(crate) fn restore(&mut self, snapshot: Snapshot) {
        self.content = snapshot;
        self.leases.clear();
    }
}
