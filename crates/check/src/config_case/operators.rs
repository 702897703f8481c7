//! Operators, which publish changes of the configuration.

use rand::Rng;
use serde_json::json;
use yuccanotch_core::config::manifest::PatchId;
use yuccanotch_core::config::publisher::ConfigChange;
use yuccanotch_core::config::publisher::PublishOutcome;
use yuccanotch_core::config::publisher::Publisher;
use yuccanotch_core::config::store_call::Procedure;
use yuccanotch_core::config::store_call::Step;
use yuccanotch_core::config::store_call::StoreAnswer;
use yuccanotch_core::ids::ConfigNumber;

use super::Simulation;
use crate::case::CaseResult;

/// Maximum number of operators that publish at the same time.
const MAX_OPERATORS: usize = 4;

/// Operator that publishes one change.
pub(super) struct Operator {
    pub(super) publisher: Publisher,
    /// Answer of the store that the publisher has not processed yet.
    pub(super) store_answer: Option<StoreAnswer>,
}

impl Simulation<'_> {
    /// Starts an operator with a patch, unless enough of them publish.
    pub(super) fn start_operator(&mut self) {
        if self.operators.len() >= MAX_OPERATORS {
            return;
        }
        let id = self.allocate_patch_id();
        let current = self.store.manifest().map_or(0, |manifest| manifest.number.0);
        let lag = if self.rng.random_bool(0.2) { 1 } else { 0 };
        let base = ConfigNumber(current.saturating_sub(lag));
        let patch = json!({"domains": {format!("d-{id}"): {"region": "r"}, "d-x": null}});
        self.trace.add(format!("operator {id} patches {base}"));
        let publisher = Publisher::new(id, ConfigChange::Patch { base, patch });
        self.operators.push(Operator { publisher, store_answer: None });
    }

    /// Advances the publication of a random operator by one call to the store.
    pub(super) fn step_operator(&mut self) -> CaseResult {
        if self.operators.is_empty() {
            return Ok(());
        }
        let i = self.rng.random_range(0..self.operators.len());
        let operator = &mut self.operators[i];
        match operator.publisher.next(operator.store_answer.take()) {
            Step::Call { call, .. } => {
                let answer = self.store.call(&call, self.faults_enabled, &mut self.rng);
                operator.store_answer = Some(answer);
                Ok(())
            }
            Step::Done(outcome) => {
                let id = operator.publisher.id();
                self.operators.swap_remove(i);
                self.on_publish_end(id, &outcome)
            }
        }
    }

    /// Publishes a change without faults; it has to be accepted.
    pub(super) fn publish_to_completion(&mut self, change: ConfigChange) -> CaseResult {
        let id = self.allocate_patch_id();
        let outcome = self.run_procedure(Publisher::new(id, change));
        self.on_publish_end(id, &outcome)?;
        match outcome {
            PublishOutcome::Accepted(_) => Ok(()),
            other => Err(format!("a patch without faults ended with {other:?}")),
        }
    }

    fn allocate_patch_id(&mut self) -> PatchId {
        self.next_id += 1;
        PatchId(self.next_id)
    }

    fn on_publish_end(&mut self, id: PatchId, outcome: &PublishOutcome) -> CaseResult {
        self.trace.add(format!("operator {id} ends with {outcome:?}"));
        match outcome {
            PublishOutcome::Accepted(number)
                if !self.store.manifest_history.contains(&(*number, id)) =>
            {
                Err(format!(
                    "patch {id} was reported as accepted as {number}, but the store never held it"
                ))
            }
            PublishOutcome::Stale { .. }
            | PublishOutcome::Failed(_)
            | PublishOutcome::Invalid(_)
            | PublishOutcome::Behind { .. }
            | PublishOutcome::Empty
            | PublishOutcome::Unchanged(_) => {
                self.rejected_patches.insert(id);
                Ok(())
            }
            PublishOutcome::Accepted(_) | PublishOutcome::Unknown => Ok(()),
        }
    }
}
