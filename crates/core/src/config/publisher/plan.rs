//! Plan of a publication: what the store has to hold afterwards.

use super::change::ConfigChange;
use super::change::PublishOutcome;
use super::Publisher;
use crate::config::chunk;
use crate::config::chunk::NewChunk;
use crate::config::document::Document;
use crate::config::manifest::first_number_of_next_epoch;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchStatus;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::reader::StoredConfig;
use crate::config::store_call::StoreCall;
use crate::config::validate;
use crate::config::ConfigError;
use crate::ids::ConfigNumber;
use crate::ids::KeyVersion;

/// The chunks and the manifest that publish the change, and the progress of the writes.
#[derive(Debug)]
pub(super) struct Plan {
    pub(super) manifest: Manifest,
    /// Version of the manifest's key that the swap expects.
    pub(super) expect: KeyVersion,
    pub(super) new_chunks: Vec<NewChunk>,
    /// Number of elements of `new_chunks` that have been written, or checked after the swap.
    pub(super) chunks_written: usize,
}

impl Plan {
    /// Returns the call that writes the next chunk; `None` when all are written.
    pub(super) fn chunk_call(&self) -> Option<StoreCall> {
        self.new_chunks.get(self.chunks_written).map(|new| StoreCall::Swap {
            key: new.chunk.key(),
            expect: KeyVersion(0),
            value: new.bytes.clone(),
        })
    }

    /// Returns the call that swaps the manifest.
    pub(super) fn swap_call(&self) -> StoreCall {
        StoreCall::Swap {
            key: MANIFEST_KEY.to_owned(),
            expect: self.expect,
            value: self.manifest.encode(),
        }
    }
}

impl Publisher {
    /// Returns the outcome if the manifest in the store already determines it.
    pub(super) fn outcome_from_manifest(
        &self,
        stored: Option<&StoredConfig>,
    ) -> Option<PublishOutcome> {
        let Some(stored) = stored else {
            return match self.change {
                ConfigChange::Patch { .. } => Some(PublishOutcome::Empty),
                ConfigChange::First(_) | ConfigChange::Recovery { .. } => None,
            };
        };
        let manifest = &stored.manifest;
        let patch_status = manifest.patch_status(self.base(), self.id);
        if let PatchStatus::Accepted(number) = patch_status {
            return Some(PublishOutcome::Accepted(number));
        }
        match &self.change {
            ConfigChange::First(_) => {
                Some(PublishOutcome::Failed(ConfigError::Exists(manifest.number)))
            }
            ConfigChange::Patch { base, .. } => self.patch_outcome(manifest, *base, patch_status),
            ConfigChange::Recovery { highest, .. } => (*highest <= manifest.number
                && !self.chunks_missing)
                .then_some(PublishOutcome::Stale { current: manifest.number }),
        }
    }

    fn patch_outcome(
        &self,
        manifest: &Manifest,
        base: ConfigNumber,
        patch_status: PatchStatus,
    ) -> Option<PublishOutcome> {
        if let Some(hosts) = manifest.newer_host_number() {
            return Some(PublishOutcome::Behind { store: manifest.number, hosts });
        }
        if base == manifest.number {
            return None;
        }
        // The store may have accepted this patch and then been restored from an old copy. A host
        // that has adopted the patch then marks the store, and a resumed publication sees the mark.
        let is_outcome_unknown =
            self.maybe_accepted || (self.resumed && patch_status == PatchStatus::HistoryTooShort);
        let stale = PublishOutcome::Stale { current: manifest.number };
        Some(if is_outcome_unknown { PublishOutcome::Unknown } else { stale })
    }

    /// Returns the number and document to publish, or `None` if the change has no effect.
    pub(super) fn changed_document(
        &self,
        stored: Option<&StoredConfig>,
    ) -> Result<Option<(ConfigNumber, Document)>, ConfigError> {
        let (number, document) = match &self.change {
            ConfigChange::First(document) => (ConfigNumber(1), document.clone()),
            ConfigChange::Recovery { highest, document } => {
                let marked = stored.and_then(|stored| stored.manifest.newer_host_number());
                let number = stored.map(|stored| stored.manifest.number);
                let highest = marked.into_iter().chain(number).fold(*highest, ConfigNumber::max);
                (first_number_of_next_epoch(highest), document.clone())
            }
            ConfigChange::Patch { base, patch } => {
                let old = match stored {
                    Some(stored) => stored.document()?,
                    None => Document::new(),
                };
                let new = old.merged(patch).map_err(ConfigError::Invalid)?;
                if new == old {
                    return Ok(None);
                }
                (base.next(), new)
            }
        };
        validate::check_document(&document).map_err(ConfigError::Invalid)?;
        Ok(Some((number, document)))
    }

    /// Plans the publication of a document under a number.
    pub(super) fn split_document(
        &self,
        stored: Option<&StoredConfig>,
        number: ConfigNumber,
        document: &Document,
    ) -> Result<Plan, ConfigError> {
        let base = stored.map(|stored| &stored.manifest);
        // A recovery writes all chunks again, because the old copy may lack some of its chunks.
        let kept = base.filter(|_| matches!(self.change, ConfigChange::Patch { .. }));
        let split = chunk::split(document, kept, number, self.id).map_err(ConfigError::Invalid)?;
        Ok(Plan {
            manifest: Manifest::following(base, number, self.id, split.sections),
            expect: stored.map_or(KeyVersion(0), |stored| stored.version),
            new_chunks: split.new_chunks,
            chunks_written: 0,
        })
    }
}
