//! Swap of the manifest, and the reading that finds out whether it took effect.

use super::change::PublishOutcome;
use super::plan::Plan;
use super::Publisher;
use super::State;
use crate::clock::Millis;
use crate::config::manifest::Manifest;
use crate::config::manifest::PatchStatus;
use crate::config::manifest::MANIFEST_KEY;
use crate::config::reader::Chunks;
use crate::config::reader::Reader;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::store_call::StoreCall;
use crate::config::ConfigError;
use crate::ids::KeyVersion;
use crate::store::StoreError;
use crate::store::Versioned;

impl Publisher {
    /// Swaps the manifest after a pause.
    pub(super) fn swap_manifest(&mut self, plan: Plan, pause: Millis) -> Step<PublishOutcome> {
        let call = plan.swap_call();
        self.state = State::SwappingManifest(plan);
        Step::Call { call, pause }
    }

    /// Handles the answer to the swap.
    pub(super) fn on_manifest_swapped(
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

    /// Handles the answer to the reading of the manifest after a swap.
    pub(super) fn on_manifest_reread(
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

    fn on_store_restored(&mut self, value: Option<Versioned>) -> Step<PublishOutcome> {
        if self.maybe_accepted {
            return self.done(PublishOutcome::Unknown);
        }
        let reader = Reader::new(Chunks::new());
        self.advance_reader(reader, Some(StoreAnswer::Value(value)))
    }
}
