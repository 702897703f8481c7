//! Publishes a change of the configuration to the store by compare-and-swap.
//!
//! The chunks are written first, under keys that contain the patch's id. One compare-and-swap of
//! the manifest then makes the patch current. After a lost answer the publisher looks for the
//! patch's id in the manifest to find out whether the swap took effect.

mod change;
mod chunks;
mod plan;
mod swap;

use crate::clock::Millis;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchId;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::reader::Chunks;
use crate::config::reader::Reader;
use crate::config::reader::StoredConfig;
use crate::config::store_call::Procedure;
use crate::config::store_call::RetryBackoff;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::config::ConfigError;
use crate::ids::ConfigNumber;
use crate::store::StoreError;

use self::plan::Plan;

pub use self::change::ConfigChange;
pub use self::change::PublishOutcome;

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
