//! Capacity and service time of the models.

use super::Router;
use crate::clock::Millis;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::route::messages::StageCapacity;

impl Router {
    /// Returns the slots and the load of the layer of a model version that has the fewest slots in
    /// total over its servers.
    pub fn narrowest_stage(
        &self,
        model: &ModelName,
        version: &ModelVersion,
        layers: u16,
    ) -> StageCapacity {
        let Some(groups) = self.table.groups(model, version) else {
            return StageCapacity::default();
        };
        let at_layer = |layer: u16| {
            let holding =
                groups.iter().filter(|(range, _)| range.first <= layer && layer < range.end);
            let servers = holding.flat_map(|(_, group)| group.servers.iter());
            let servers = servers.filter_map(|index| self.server(*index));
            servers.fold(StageCapacity::default(), |sum, server| StageCapacity {
                slots: sum.slots + server.slots,
                load: sum.load + server.load(),
            })
        };
        let boundaries = groups.keys().map(|range| range.first).filter(|first| *first < layers);
        let narrowest = boundaries.chain([0]).map(at_layer).min_by_key(|capacity| capacity.slots);
        narrowest.unwrap_or_default()
    }

    /// Returns the expected time to serve a request of at most `tokens` tokens without queueing;
    /// zero before the first complete answer.
    pub fn service_time(&self, model: &ModelName, tokens: u32) -> Millis {
        let stats = self.model_stats(model);
        if !stats.has_answers {
            return Millis::ZERO;
        }
        let share = u64::from(tokens).min(stats.answer_tokens);
        Millis(stats.slot_time_ms * share / stats.answer_tokens)
    }
}
