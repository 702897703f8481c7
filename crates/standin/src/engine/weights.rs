//! Loading of weights.

use yuccanotch_core::engine::Holding;

use crate::engine::cache::PrefixCache;
use crate::engine::simulation::Event;
use crate::engine::simulation::World;

impl World {
    /// Begins to load weights; what is held before is dropped for new runs at once.
    pub(crate) fn load(&mut self, now: u64, i: usize, holding: Holding) {
        let model = self.settings.models.get(&holding.model);
        let layers = model.map_or(1, |model| u64::from(model.layers.max(1)));
        let model_mb = model.map_or(0, |model| u64::from(model.weights_mb));
        let mb = model_mb * u64::from(holding.layers.len()) / layers;
        let rate = u64::from(self.settings.platform.weights_mb_per_s.max(1));
        let begin = now.max(self.weights_free_us);
        self.weights_free_us = begin + mb * 1_000_000 / rate;
        let engine = &mut self.engines[i];
        engine.holding = None;
        engine.load_number += 1;
        let number = engine.load_number;
        self.loads.push(holding);
        let holding = self.loads.len() - 1;
        let at = self.weights_free_us;
        self.schedule(at, Event::Loaded { engine: i, number, holding });
    }

    pub(super) fn loaded(&mut self, i: usize, number: u64, holding: usize) {
        let engine = &mut self.engines[i];
        if engine.load_number != number {
            return;
        }
        engine.cache = PrefixCache::new(engine.settings.behavior.cache_blocks);
        engine.kv.clear();
        engine.holding = Some(self.loads[holding].clone());
    }
}
