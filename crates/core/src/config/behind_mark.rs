//! Marks a store that is behind the entry hosts, so that no patch is accepted before a recovery.
//!
//! A store is behind after it was restored from an old copy: its configuration has a lower number
//! than one that a host has adopted.

use crate::config::manifest::BehindMark;
use crate::config::manifest::Manifest;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::store_call::Procedure;
use crate::config::store_call::RetryBackoff;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::ids::KeyVersion;
use crate::store::StoreError;

/// Writes the number that a host has adopted into the manifest of a store that is behind it.
///
/// The outcome is `true` if the manifest has the mark or needs none, `false` if the store failed or
/// its manifest is absent or cannot be decoded.
#[derive(Debug)]
pub struct BehindMarkWriter {
    mark: BehindMark,
    backoff: RetryBackoff,
}

impl BehindMarkWriter {
    /// Creates a procedure that writes `mark` unless the manifest has a number or mark at least as
    /// high.
    pub fn new(mark: BehindMark) -> Self {
        Self { mark, backoff: RetryBackoff::new() }
    }

    fn reread_manifest(&mut self) -> Step<bool> {
        match self.backoff.on_failure() {
            Some(pause) => Step::Call { call: StoreCall::Get(MANIFEST_KEY.to_owned()), pause },
            None => Step::Done(false),
        }
    }

    fn write_mark(&self, expect: KeyVersion, bytes: &[u8]) -> Step<bool> {
        let Ok(mut manifest) = Manifest::decode(bytes) else {
            return Step::Done(false);
        };
        let marked = manifest.floor.as_ref().map(|mark| mark.number);
        if marked.unwrap_or_default().max(manifest.number) >= self.mark.number {
            return Step::Done(true);
        }
        manifest.floor = Some(self.mark.clone());
        Step::call(StoreCall::Swap {
            key: MANIFEST_KEY.to_owned(),
            expect,
            value: manifest.encode(),
        })
    }
}

impl Procedure for BehindMarkWriter {
    type Outcome = bool;

    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<bool> {
        match answer {
            None => Step::call(StoreCall::Get(MANIFEST_KEY.to_owned())),
            Some(StoreAnswer::Value(Some(value))) => self.write_mark(value.version, &value.value),
            Some(StoreAnswer::Written(_)) => Step::Done(true),
            Some(StoreAnswer::Failed(StoreError::Conflict(_) | StoreError::AnswerLost)) => {
                self.reread_manifest()
            }
            Some(_) => Step::Done(false),
        }
    }
}
