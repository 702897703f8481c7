//! In-memory store that can refuse all calls and be restored from a backup.

use std::collections::BTreeMap;

use yuccanotch_core::claim::StoreAnswer;
use yuccanotch_core::claim::StoreCall;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::Versioned;

type Values = BTreeMap<String, Versioned>;

/// Store in memory.
#[derive(Debug, Default)]
pub struct FakeStore {
    values: Values,
    backup: Values,
    /// Whether every call fails.
    pub unavailable: bool,
}

impl FakeStore {
    /// Executes a call and returns its answer.
    pub fn call(&mut self, call: StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get { key } => StoreAnswer::Got(self.get(&key)),
            StoreCall::Swap { key, expect, value } => {
                StoreAnswer::Swapped(self.swap(key, expect, value))
            }
            StoreCall::Delete { key } => {
                if !self.unavailable {
                    self.values.remove(&key);
                }
                StoreAnswer::Deleted
            }
        }
    }

    /// Saves a backup for [`FakeStore::restore`].
    pub fn back_up(&mut self) {
        self.backup = self.values.clone();
    }

    /// Replaces all values by those of the backup.
    pub fn restore(&mut self) {
        self.values = self.backup.clone();
    }

    fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        if self.unavailable {
            return Err(StoreError::Unreachable);
        }
        Ok(self.values.get(key).cloned())
    }

    fn swap(
        &mut self,
        key: String,
        expect: KeyVersion,
        value: Vec<u8>,
    ) -> Result<KeyVersion, StoreError> {
        if self.unavailable {
            return Err(StoreError::Refused(503));
        }
        let current = self.values.get(&key).map_or(KeyVersion(0), |found| found.version);
        if current != expect {
            return Err(StoreError::Conflict(current));
        }
        let version = current.next();
        self.values.insert(key, Versioned { version, value });
        Ok(version)
    }
}
