//! Faulty in-memory store of the configuration case.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::config::manifest::Manifest;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::manifest::MANIFEST_KEY;
use yuccanotch_core::config::store_call::StoreAnswer;
use yuccanotch_core::config::store_call::StoreCall;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::store::StoreError;
use yuccanotch_core::store::Versioned;

type Values = BTreeMap<String, Versioned>;

/// In-memory store that loses calls and answers; a lost call may take effect later.
#[derive(Default)]
pub struct FakeStore {
    /// Current values by key.
    pub values: Values,
    /// Backup of the values at an earlier time.
    pub backup: Option<Values>,
    /// Calls reported as lost that may still take effect.
    pub delayed_calls: Vec<StoreCall>,
    /// Whether the store refuses all calls.
    pub unavailable: bool,
    /// Number and patch of each manifest that was ever current.
    pub manifest_history: BTreeSet<(ConfigNumber, PatchId)>,
}

impl FakeStore {
    /// Executes a call without faults.
    pub fn apply(&mut self, call: &StoreCall) -> StoreAnswer {
        match call {
            StoreCall::Get(key) => StoreAnswer::Value(self.values.get(key).cloned()),
            StoreCall::List(prefix) => {
                let keys = self.values.iter().filter(|(key, _)| key.starts_with(prefix.as_str()));
                StoreAnswer::Keys(keys.map(|(key, found)| (key.clone(), found.version)).collect())
            }
            StoreCall::Delete { key, expect } => match self.check_version(key, *expect) {
                Ok(_) => {
                    self.values.remove(key);
                    StoreAnswer::Deleted
                }
                Err(e) => StoreAnswer::Failed(e),
            },
            StoreCall::Swap { key, expect, value } => match self.check_version(key, *expect) {
                Ok(current) => {
                    let version = current.next();
                    self.values.insert(key.clone(), Versioned { version, value: value.clone() });
                    self.record_manifest(key, value);
                    StoreAnswer::Written(version)
                }
                Err(e) => StoreAnswer::Failed(e),
            },
        }
    }

    fn check_version(&self, key: &str, expect: KeyVersion) -> Result<KeyVersion, StoreError> {
        let current = self.values.get(key).map_or(KeyVersion(0), |found| found.version);
        if current == expect {
            Ok(current)
        } else {
            Err(StoreError::Conflict(current))
        }
    }

    fn record_manifest(&mut self, key: &str, value: &[u8]) {
        if key == MANIFEST_KEY {
            if let Ok(manifest) = Manifest::decode(value) {
                self.manifest_history.insert((manifest.number, manifest.patch));
            }
        }
    }

    /// Executes a call; with `faults`, may lose the call, delay it or lose its answer.
    pub fn call(&mut self, call: &StoreCall, faults: bool, rng: &mut Pcg64Mcg) -> StoreAnswer {
        if !faults {
            return self.apply(call);
        }
        if self.unavailable {
            return StoreAnswer::Failed(StoreError::Refused(503));
        }
        match rng.random_range(0..100) {
            0..5 => StoreAnswer::Failed(StoreError::AnswerLost),
            5..10 => {
                self.delayed_calls.push(call.clone());
                StoreAnswer::Failed(StoreError::AnswerLost)
            }
            10..15 => {
                self.apply(call);
                StoreAnswer::Failed(StoreError::AnswerLost)
            }
            15..18 => StoreAnswer::Failed(StoreError::Unreachable),
            _ => self.apply(call),
        }
    }

    /// Returns the current manifest.
    pub fn manifest(&self) -> Option<Manifest> {
        Manifest::decode(&self.values.get(MANIFEST_KEY)?.value).ok()
    }
}
