//! Loading of model weights from the weight store, which serves one load at a time.

use yuccanotch_core::engine::Holding;

use crate::engine::cache::PrefixCache;
use crate::engine::event::Event;
use crate::engine::simulation::Simulation;

impl Simulation {
    /// Begins to load weights; new runs can no longer use the earlier weights from now on.
    pub(crate) fn begin_load(&mut self, now: u64, i: usize, holding: Holding) {
        let model = self.settings.models.get(&holding.model);
        let layers = model.map_or(1, |model| u64::from(model.layers.max(1)));
        let model_mb = model.map_or(0, |model| u64::from(model.weights_mb));
        let size_mb = model_mb * u64::from(holding.layers.len()) / layers;
        let mb_per_s = u64::from(self.settings.platform.weights_mb_per_s.max(1));
        let begins_us = now.max(self.weight_store_free_us);
        self.weight_store_free_us = begins_us + size_mb * 1_000_000 / mb_per_s;
        let engine = &mut self.engines[i];
        engine.holding = None;
        engine.load_number += 1;
        let number = engine.load_number;
        self.load_targets.push(holding);
        let holding = self.load_targets.len() - 1;
        let ends_us = self.weight_store_free_us;
        self.schedule(ends_us, Event::LoadEnds { engine: i, number, holding });
    }

    pub(super) fn finish_load(&mut self, i: usize, number: u64, holding: usize) {
        let engine = &mut self.engines[i];
        if engine.load_number != number {
            return;
        }
        engine.cache = PrefixCache::new(engine.settings.behavior.cache_blocks);
        engine.kv.clear();
        engine.holding = Some(self.load_targets[holding].clone());
    }
}
