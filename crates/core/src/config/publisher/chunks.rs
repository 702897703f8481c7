//! Writes of the chunks, before the swap of the manifest and once more after it.

use super::change::PublishOutcome;
use super::plan::Plan;
use super::Publisher;
use super::State;
use crate::clock::Millis;
use crate::config::store_call::Step;
use crate::config::store_call::StoreAnswer;
use crate::config::ConfigError;
use crate::store::StoreError;

impl Publisher {
    /// Writes the next chunk, or swaps the manifest when all are written.
    pub(super) fn write_next_chunk(&mut self, plan: Plan) -> Step<PublishOutcome> {
        match plan.chunk_call() {
            Some(call) => {
                self.state = State::WritingChunks(plan);
                Step::call(call)
            }
            None => self.swap_manifest(plan, Millis::ZERO),
        }
    }

    /// Handles the answer to a write of a chunk.
    pub(super) fn on_chunk_written(
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

    /// Writes the chunks again that are absent from the store.
    ///
    /// The store may have been restored from an old copy after the chunks and before the manifest
    /// were written.
    pub(super) fn confirm_chunks(&mut self, mut plan: Plan) -> Step<PublishOutcome> {
        plan.chunks_written = 0;
        self.confirm_next_chunk(plan)
    }

    /// Handles the answer to the repeated write of a chunk.
    pub(super) fn on_chunk_confirmed(
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
}
