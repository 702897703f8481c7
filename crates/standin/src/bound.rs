//! Upper bound of the tokens per second that the engines of some settings can give.
//!
//! Each model is a flow from its first layer to its last one. A server lets through at most one
//! token per sequence and step, and at most its slots per shortest cycle through the model.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use yuccanotch_core::name::ModelName;

use crate::settings::EngineSettings;
use crate::settings::StandinSettings;

/// Flow is counted in thousandths of a token per second.
const MILLI: f64 = 1000.0;
const US_PER_S: f64 = 1e6;

/// Work beside the decode steps that each token of an answer costs on average.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkMix {
    /// Words of prompt that are not cached, per token of the answer.
    pub prefill_words_per_token: f64,
}

/// Returns the most tokens per second that the engines can give when prefill costs nothing.
pub fn max_flow_bound(settings: &StandinSettings) -> f64 {
    max_flow_bound_for(settings, WorkMix::default()).values().sum()
}

/// Returns the most tokens per second of each model for a mix of work.
pub fn max_flow_bound_for(settings: &StandinSettings, mix: WorkMix) -> BTreeMap<ModelName, f64> {
    let models = settings.models.iter();
    models.map(|(name, model)| (name.clone(), bound(settings, name, model.layers, mix))).collect()
}

fn bound(settings: &StandinSettings, model: &ModelName, layers: u16, mix: WorkMix) -> f64 {
    let engines: Vec<&EngineSettings> =
        settings.engines.iter().filter(|engine| engine.model == *model).collect();
    let borders: BTreeSet<u16> = engines
        .iter()
        .flat_map(|engine| [engine.layers.first, engine.layers.end])
        .chain([0, layers])
        .collect();
    let borders: Vec<u16> = borders.into_iter().collect();
    let Some(cycle_us) = shortest_cycle_us(settings, &engines, &borders) else { return 0.0 };
    let mut flow = Flow::new(borders.len() + 2 * engines.len());
    for (i, engine) in engines.iter().enumerate() {
        let (input, output) = (borders.len() + 2 * i, borders.len() + 2 * i + 1);
        let capacity = capacity_per_s(engine, mix, cycle_us) * MILLI;
        flow.add(input, output, capacity as u64);
        for (node, border) in borders.iter().enumerate() {
            if engine.layers.first <= *border && *border < engine.layers.end {
                flow.add(node, input, u64::MAX / 4);
            }
            if engine.layers.first < *border && *border <= engine.layers.end {
                flow.add(output, node, u64::MAX / 4);
            }
        }
    }
    flow.max(0, borders.len() - 1) as f64 / MILLI
}

fn capacity_per_s(engine: &EngineSettings, mix: WorkMix, cycle_us: f64) -> f64 {
    let behavior = &engine.behavior;
    let slots = f64::from(behavior.slots.max(1));
    let base_us = f64::from(behavior.step_base_us) / slots;
    let prefill_us = f64::from(behavior.prefill_word_us) * mix.prefill_words_per_token;
    let token_us = base_us + f64::from(behavior.step_sequence_us) + prefill_us;
    let by_step = US_PER_S / token_us.max(f64::MIN_POSITIVE);
    let by_slots = slots * US_PER_S / cycle_us.max(f64::MIN_POSITIVE);
    by_step.min(by_slots)
}

/// Returns the least time of one token through all layers and back to the first server.
fn shortest_cycle_us(
    settings: &StandinSettings,
    engines: &[&EngineSettings],
    borders: &[u16],
) -> Option<f64> {
    let mut best = vec![(f64::INFINITY, 0u32); borders.len()];
    best[0] = (0.0, 0);
    for at in 0..borders.len() {
        let (so_far, hops) = best[at];
        if so_far.is_infinite() {
            continue;
        }
        for engine in engines {
            if !(engine.layers.first <= borders[at] && borders[at] < engine.layers.end) {
                continue;
            }
            let behavior = &engine.behavior;
            let step_us = f64::from(behavior.step_base_us) + f64::from(behavior.step_sequence_us);
            let ends = borders.iter().position(|border| *border == engine.layers.end)?;
            if so_far + step_us < best[ends].0 {
                best[ends] = (so_far + step_us, hops + 1);
            }
        }
    }
    let (steps_us, hops) = *best.last()?;
    let links = &settings.links;
    let link_us = f64::from(links.same_domain_us.min(links.cross_domain_us));
    let links_us = if hops > 1 { f64::from(hops) * link_us } else { 0.0 };
    steps_us.is_finite().then_some(steps_us + links_us)
}

/// Residual graph for a maximum flow by shortest augmenting paths.
struct Flow {
    capacity: Vec<BTreeMap<usize, u64>>,
}

impl Flow {
    fn new(nodes: usize) -> Self {
        Self { capacity: vec![BTreeMap::new(); nodes] }
    }

    fn add(&mut self, from: usize, to: usize, capacity: u64) {
        *self.capacity[from].entry(to).or_default() += capacity;
        self.capacity[to].entry(from).or_default();
    }

    fn max(&mut self, source: usize, sink: usize) -> u64 {
        let mut total = 0;
        while let Some(path) = self.shortest_path(source, sink) {
            let steps = || path.windows(2).map(|pair| (pair[0], pair[1]));
            let least = steps().map(|(from, to)| self.capacity[from][&to]).min().unwrap_or(0);
            for (from, to) in steps() {
                *self.capacity[from].entry(to).or_default() -= least;
                *self.capacity[to].entry(from).or_default() += least;
            }
            total += least;
        }
        total
    }

    fn shortest_path(&self, source: usize, sink: usize) -> Option<Vec<usize>> {
        let mut came_from = vec![None; self.capacity.len()];
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for (&next, &capacity) in &self.capacity[node] {
                if capacity > 0 && next != source && came_from[next].is_none() {
                    came_from[next] = Some(node);
                    queue.push_back(next);
                }
            }
        }
        let mut path = vec![sink];
        while let Some(node) = came_from[*path.last()?] {
            path.push(node);
        }
        path.reverse();
        (path.len() > 1).then_some(path)
    }
}
