//! Publishes a change of the configuration to the store by compare-and-swap.
//!
//! The chunks are written first, under keys that contain the patch's id. One compare-and-swap of
//! the manifest then makes the patch current. After a lost answer the publisher looks for the
//! patch's id in the manifest to find out whether the swap took effect.

use serde_json::Value;

use crate::clock::Millis;
use crate::config::chunk;
use crate::config::chunk::NewChunk;
use crate::config::document::Document;
use crate::config::manifest::first_number_of_next_epoch;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::manifest::PatchStatus;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::reader::Chunks;
use crate::config::reader::Reader;
use crate::config::reader::StoredConfig;
use crate::config::store_call::Procedure;
use crate::config::store_call::RetryBackoff;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::config::validate;
use crate::config::ConfigError;
use crate::finding::Finding;
use crate::ids::ConfigNumber;
use crate::ids::KeyVersion;
use crate::store::StoreError;
use crate::store::Versioned;

/// A change to publish.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ConfigChange {
    /// The first configuration of an empty store.
    First(Document),
    /// A JSON merge patch (RFC 7396) to the configuration with a given number.
    Patch {
        /// Number that the patch was made against.
        base: ConfigNumber,
        /// The patch.
        patch: Value,
    },
    /// The configuration that entry hosts have adopted, to recover a store that was restored from
    /// an old copy.
    Recovery {
        /// Highest number that any entry host has adopted.
        highest: ConfigNumber,
        /// Declaration with that number.
        document: Document,
    },
}

/// The outcome of a publication.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PublishOutcome {
    /// The change was accepted under this number.
    Accepted(ConfigNumber),
    /// The change has no effect on the configuration; nothing was written.
    Unchanged(ConfigNumber),
    /// The base is not the current number; the change was not and will not be accepted.
    Stale {
        /// Current number.
        current: ConfigNumber,
    },
    /// The changed declaration does not pass its checks; nothing was written.
    Invalid(Vec<Finding>),
    /// The store is behind the entry hosts and has to be recovered first.
    Behind {
        /// Number in the store.
        store: ConfigNumber,
        /// Number in the mark of an entry host.
        hosts: ConfigNumber,
    },
    /// The store holds no configuration to patch.
    Empty,
    /// The change may have been accepted; publishing it again with the same id finds out.
    Unknown,
    /// The change was not accepted because of this error.
    Failed(ConfigError),
}

/// The chunks and the manifest that publish the change, and the progress of the writes.
#[derive(Debug)]
struct Plan {
    manifest: Manifest,
    /// Version of the manifest's key that the swap expects.
    expect: KeyVersion,
    new_chunks: Vec<NewChunk>,
    /// Number of elements of `new_chunks` that have been written, or checked after the swap.
    chunks_written: usize,
}

impl Plan {
    fn chunk_call(&self) -> Option<StoreCall> {
        self.new_chunks.get(self.chunks_written).map(|new| StoreCall::Swap {
            key: new.chunk.key(),
            expect: KeyVersion(0),
            value: new.bytes.clone(),
        })
    }

    fn swap_call(&self) -> StoreCall {
        StoreCall::Swap {
            key: MANIFEST_KEY.to_owned(),
            expect: self.expect,
            value: self.manifest.encode(),
        }
    }
}

#[derive(Debug)]
enum State {
    /// Reading the current configuration.
    Reading(Reader),
    /// Reading the manifest alone, for a recovery of a store without some of its chunks.
    ReadingManifest,
    WritingChunks(Plan),
    SwappingManifest(Plan),
    /// Reading the manifest again after a swap that failed or whose answer was lost.
    RereadingManifest(Plan),
    /// Writing chunks again that may have been lost before the swap.
    ConfirmingChunks(Plan),
    Ended,
}

/// Publishes one change.
#[derive(Debug)]
pub struct Publisher {
    id: PatchId,
    change: ConfigChange,
    /// Whether an earlier publication with the same id ended with an unknown outcome.
    resumed: bool,
    backoff: RetryBackoff,
    /// Whether the answer to a swap of the manifest was lost.
    maybe_accepted: bool,
    /// Whether the store lacks chunks that its manifest refers to.
    chunks_missing: bool,
    state: State,
}

impl Publisher {
    /// Creates a publication of `change` under `id`, which has not been used before.
    pub fn new(id: PatchId, change: ConfigChange) -> Self {
        Self {
            id,
            change,
            resumed: false,
            backoff: RetryBackoff::new(),
            maybe_accepted: false,
            chunks_missing: false,
            state: State::Reading(Reader::new(Chunks::new())),
        }
    }

    /// Creates a publication that repeats an earlier one with the same `id` and unknown outcome.
    pub fn resumed(id: PatchId, change: ConfigChange) -> Self {
        Self { resumed: true, ..Self::new(id, change) }
    }

    /// Returns the id that the change is published under.
    pub fn id(&self) -> PatchId {
        self.id
    }

    fn done(&mut self, outcome: PublishOutcome) -> Step<PublishOutcome> {
        self.state = State::Ended;
        Step::Done(outcome)
    }

    fn base(&self) -> ConfigNumber {
        match &self.change {
            ConfigChange::First(_) => ConfigNumber(0),
            ConfigChange::Patch { base, .. } => *base,
            ConfigChange::Recovery { highest, .. } => *highest,
        }
    }

    fn advance_reader(
        &mut self,
        mut reader: Reader,
        answer: Option<StoreAnswer>,
    ) -> Step<PublishOutcome> {
        match reader.next(answer) {
            Step::Call { call, pause } => {
                self.state = State::Reading(reader);
                Step::Call { call, pause }
            }
            Step::Done(Ok(stored)) => self.plan_change(stored),
            Step::Done(Err(ConfigError::MissingChunk(_))) if self.is_recovery() => {
                // A recovery writes all chunks again, so it needs none of those in the store.
                self.chunks_missing = true;
                self.read_manifest(Millis::ZERO)
            }
            Step::Done(Err(e)) if self.maybe_accepted || self.resumed => {
                log::debug!("the outcome of the publication is unknown: {e}");
                self.done(PublishOutcome::Unknown)
            }
            Step::Done(Err(e)) => self.done(PublishOutcome::Failed(e)),
        }
    }

    fn is_recovery(&self) -> bool {
        matches!(self.change, ConfigChange::Recovery { .. })
    }

    fn read_manifest(&mut self, pause: Millis) -> Step<PublishOutcome> {
        self.state = State::ReadingManifest;
        Step::Call { call: StoreCall::Get(MANIFEST_KEY.to_owned()), pause }
    }

    fn on_manifest_read(&mut self, answer: Option<StoreAnswer>) -> Step<PublishOutcome> {
        let e = match answer {
            Some(StoreAnswer::Value(None)) => return self.plan_change(None),
            Some(StoreAnswer::Value(Some(value))) => match Manifest::decode(&value.value) {
                Ok(manifest) => {
                    let (version, chunks) = (value.version, Chunks::new());
                    return self.plan_change(Some(StoredConfig { manifest, version, chunks }));
                }
                Err(e) => return self.done(PublishOutcome::Failed(e)),
            },
            Some(StoreAnswer::Failed(e)) => e,
            _ => StoreError::AnswerLost,
        };
        match self.backoff.on_failure() {
            Some(pause) => self.read_manifest(pause),
            None if self.maybe_accepted || self.resumed => self.done(PublishOutcome::Unknown),
            None => self.done(PublishOutcome::Failed(ConfigError::Store(e))),
        }
    }

    fn plan_change(&mut self, stored: Option<StoredConfig>) -> Step<PublishOutcome> {
        if let Some(ended) = self.outcome_from_manifest(stored.as_ref()) {
            return self.done(ended);
        }
        let planned = match self.changed_document(stored.as_ref()) {
            Ok(Some((number, document))) => self.split_document(stored.as_ref(), number, &document),
            Ok(None) => {
                return self.done(PublishOutcome::Unchanged(self.base()));
            }
            Err(e) => Err(e),
        };
        match planned {
            Ok(plan) => self.write_next_chunk(plan),
            Err(ConfigError::Invalid(findings)) => self.done(PublishOutcome::Invalid(findings)),
            Err(e) => self.done(PublishOutcome::Failed(e)),
        }
    }

    /// Returns the outcome if the manifest in the store already determines it.
    fn outcome_from_manifest(&self, stored: Option<&StoredConfig>) -> Option<PublishOutcome> {
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
            ConfigChange::Patch { base, .. } => {
                if let Some(hosts) = manifest.newer_host_number() {
                    return Some(PublishOutcome::Behind { store: manifest.number, hosts });
                }
                if *base == manifest.number {
                    return None;
                }
                // The store may have accepted this patch and then been restored from an old copy.
                // A host that has adopted the patch then marks the store, and a resumed publication
                // sees the mark.
                let is_outcome_unknown = self.maybe_accepted
                    || (self.resumed && patch_status == PatchStatus::HistoryTooShort);
                let stale = PublishOutcome::Stale { current: manifest.number };
                Some(if is_outcome_unknown { PublishOutcome::Unknown } else { stale })
            }
            ConfigChange::Recovery { highest, .. } => (*highest <= manifest.number
                && !self.chunks_missing)
                .then_some(PublishOutcome::Stale { current: manifest.number }),
        }
    }

    /// Returns the number and document to publish, or `None` if the change has no effect.
    fn changed_document(
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

    fn split_document(
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

    fn write_next_chunk(&mut self, plan: Plan) -> Step<PublishOutcome> {
        match plan.chunk_call() {
            Some(call) => {
                self.state = State::WritingChunks(plan);
                Step::call(call)
            }
            None => self.swap_manifest(plan, Millis::ZERO),
        }
    }

    fn on_chunk_written(
        &mut self,
        mut plan: Plan,
        answer: Option<StoreAnswer>,
    ) -> Step<PublishOutcome> {
        match answer {
            // The key contains this patch's id, so an existing value is an earlier write of the
            // same bytes.
            Some(StoreAnswer::Written(_)) | Some(StoreAnswer::Failed(StoreError::Conflict(_))) => {
                self.backoff.on_success();
                plan.chunks_written += 1;
                self.write_next_chunk(plan)
            }
            Some(StoreAnswer::Failed(e)) => match (self.backoff.on_failure(), plan.chunk_call()) {
                (Some(pause), Some(call)) => {
                    self.state = State::WritingChunks(plan);
                    Step::Call { call, pause }
                }
                _ if self.maybe_accepted => self.done(PublishOutcome::Unknown),
                _ => self.done(PublishOutcome::Failed(ConfigError::Store(e))),
            },
            _ => self.write_next_chunk(plan),
        }
    }

    fn swap_manifest(&mut self, plan: Plan, pause: Millis) -> Step<PublishOutcome> {
        let call = plan.swap_call();
        self.state = State::SwappingManifest(plan);
        Step::Call { call, pause }
    }

    fn on_manifest_swapped(
        &mut self,
        plan: Plan,
        answer: Option<StoreAnswer>,
    ) -> Step<PublishOutcome> {
        match answer {
            Some(StoreAnswer::Written(_)) => self.confirm_chunks(plan),
            Some(StoreAnswer::Failed(StoreError::Conflict(_))) => {
                self.reread_manifest(plan, Millis::ZERO)
            }
            Some(StoreAnswer::Failed(StoreError::AnswerLost)) => {
                self.maybe_accepted = true;
                self.retry_reread(plan, StoreError::AnswerLost)
            }
            Some(StoreAnswer::Failed(e)) if self.maybe_accepted => self.retry_reread(plan, e),
            Some(StoreAnswer::Failed(e)) => match self.backoff.on_failure() {
                Some(pause) => self.swap_manifest(plan, pause),
                None => self.done(PublishOutcome::Failed(ConfigError::Store(e))),
            },
            _ => self.reread_manifest(plan, Millis::ZERO),
        }
    }

    /// Writes the chunks again that are absent from the store.
    ///
    /// The store may have been restored from an old copy after the chunks and before the manifest
    /// were written.
    fn confirm_chunks(&mut self, mut plan: Plan) -> Step<PublishOutcome> {
        plan.chunks_written = 0;
        self.confirm_next_chunk(plan)
    }

    fn confirm_next_chunk(&mut self, plan: Plan) -> Step<PublishOutcome> {
        let number = plan.manifest.number;
        match plan.chunk_call() {
            Some(call) => {
                self.state = State::ConfirmingChunks(plan);
                Step::call(call)
            }
            None => self.done(PublishOutcome::Accepted(number)),
        }
    }

    fn on_chunk_confirmed(
        &mut self,
        mut plan: Plan,
        answer: Option<StoreAnswer>,
    ) -> Step<PublishOutcome> {
        let present = matches!(
            answer,
            Some(StoreAnswer::Written(_) | StoreAnswer::Failed(StoreError::Conflict(_)))
        );
        if present {
            self.backoff.on_success();
            plan.chunks_written += 1;
            return self.confirm_next_chunk(plan);
        }
        match (self.backoff.on_failure(), plan.chunk_call()) {
            (Some(pause), Some(call)) => {
                self.state = State::ConfirmingChunks(plan);
                Step::Call { call, pause }
            }
            // The swap made the patch current even if a chunk could not be confirmed.
            _ => self.done(PublishOutcome::Accepted(plan.manifest.number)),
        }
    }

    fn reread_manifest(&mut self, plan: Plan, pause: Millis) -> Step<PublishOutcome> {
        self.state = State::RereadingManifest(plan);
        Step::Call { call: StoreCall::Get(MANIFEST_KEY.to_owned()), pause }
    }

    fn retry_reread(&mut self, plan: Plan, e: StoreError) -> Step<PublishOutcome> {
        match self.backoff.on_failure() {
            Some(pause) => self.reread_manifest(plan, pause),
            None if self.maybe_accepted => self.done(PublishOutcome::Unknown),
            None => self.done(PublishOutcome::Failed(ConfigError::Store(e))),
        }
    }

    fn on_manifest_reread(
        &mut self,
        plan: Plan,
        answer: Option<StoreAnswer>,
    ) -> Step<PublishOutcome> {
        let value = match answer {
            Some(StoreAnswer::Value(value)) => value,
            Some(StoreAnswer::Failed(e)) => return self.retry_reread(plan, e),
            _ => return self.retry_reread(plan, StoreError::AnswerLost),
        };
        let version = value.as_ref().map_or(KeyVersion(0), |value| value.version);
        if version == plan.expect {
            // The swap may still take effect later; repeating it is safe, because only one of the
            // two can find the expected version.
            return match self.backoff.on_failure() {
                Some(pause) => self.swap_manifest(plan, pause),
                None if self.maybe_accepted => self.done(PublishOutcome::Unknown),
                None => self.done(PublishOutcome::Failed(StoreError::AnswerLost.into())),
            };
        }
        if version < plan.expect {
            // The store was restored from an old copy, which does not show whether the swap took
            // effect.
            return self.on_store_restored(value);
        }
        let manifest = value.as_ref().and_then(|value| Manifest::decode(&value.value).ok());
        let is_own = |status| matches!(status, PatchStatus::Accepted(number) if number == plan.manifest.number);
        if manifest.is_some_and(|manifest| is_own(manifest.patch_status(self.base(), self.id))) {
            return self.confirm_chunks(plan);
        }
        self.state = State::Ended;
        let reader = Reader::new(Chunks::new());
        self.advance_reader(reader, Some(StoreAnswer::Value(value)))
    }

    fn on_store_restored(&mut self, value: Option<Versioned>) -> Step<PublishOutcome> {
        if self.maybe_accepted {
            return self.done(PublishOutcome::Unknown);
        }
        let reader = Reader::new(Chunks::new());
        self.advance_reader(reader, Some(StoreAnswer::Value(value)))
    }
}

impl Procedure for Publisher {
    type Outcome = PublishOutcome;

    fn next(&mut self, answer: Option<StoreAnswer>) -> Step<PublishOutcome> {
        match std::mem::replace(&mut self.state, State::Ended) {
            State::Reading(reader) => self.advance_reader(reader, answer),
            State::ReadingManifest => self.on_manifest_read(answer),
            State::WritingChunks(plan) => self.on_chunk_written(plan, answer),
            State::SwappingManifest(plan) => self.on_manifest_swapped(plan, answer),
            State::RereadingManifest(plan) => self.on_manifest_reread(plan, answer),
            State::ConfirmingChunks(plan) => self.on_chunk_confirmed(plan, answer),
            State::Ended => Step::Done(PublishOutcome::Unknown),
        }
    }
}
