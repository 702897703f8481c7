//! Upper bound of the tokens per second that the engines can produce, from their step times.
//!
//! Each model is a maximum flow problem from its first layer to its last one. In each step, a busy
//! server produces one token for each sequence of its batch. A run holds its slot also while its
//! token is at the other stages, for at least the shortest time through them, so the mean batch of
//! a server is smaller than its number of slots.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;

use yuccanotch_core::name::ModelName;

use crate::settings::EngineSettings;
use crate::settings::StandinSettings;

/// Flow is an integer, in thousandths of a token per second.
const FLOW_UNITS_PER_TOKEN: f64 = 1000.0;
const US_PER_S: f64 = 1e6;
const BISECTION_STEPS: usize = 60;

/// The average work for a token of an answer in addition to its decode steps.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WorkMix {
    /// The number of prompt words that are not cached, per token of the answer.
    pub prefill_words_per_token: f64,
}

/// Returns the upper bound of the tokens per second of all models when prefill takes no time.
pub fn max_flow_bound(settings: &StandinSettings) -> f64 {
    max_flow_bound_for(settings, WorkMix::default()).values().sum()
}

/// Returns the upper bound of the tokens per second of each model for the work in `mix`.
pub fn max_flow_bound_for(settings: &StandinSettings, mix: WorkMix) -> BTreeMap<ModelName, f64> {
    let models = settings.models.iter();
    models
        .map(|(name, model)| (name.clone(), model_bound(settings, name, model.layers, mix)))
        .collect()
}

fn model_bound(settings: &StandinSettings, model: &ModelName, layers: u16, mix: WorkMix) -> f64 {
    let engines: Vec<&EngineSettings> =
        settings.engines.iter().filter(|engine| engine.model == *model).collect();
    let borders: BTreeSet<u16> = engines
        .iter()
        .flat_map(|engine| [engine.layers.first, engine.layers.end])
        .chain([0, layers])
        .collect();
    let borders: Vec<u16> = borders.into_iter().collect();
    let from_start_us = min_us_to_borders(&engines, &borders);
    let to_end_us = min_us_from_borders(&engines, &borders);
    let link_us = min_link_us(settings);
    let mut network = FlowNetwork::new(borders.len() + 2 * engines.len());
    for (i, engine) in engines.iter().enumerate() {
        let (input, output) = (borders.len() + 2 * i, borders.len() + 2 * i + 1);
        let at = |layer| borders.iter().position(|border| *border == layer).unwrap_or(0);
        let other_stages_us =
            from_start_us[at(engine.layers.first)] + to_end_us[at(engine.layers.end)];
        let other_stages_us =
            if other_stages_us > 0.0 { other_stages_us + 2.0 * link_us } else { 0.0 };
        let capacity = capacity_per_s(engine, mix, other_stages_us) * FLOW_UNITS_PER_TOKEN;
        network.add_edge(input, output, capacity as u64);
        for (node, border) in borders.iter().enumerate() {
            if engine.layers.first <= *border && *border < engine.layers.end {
                network.add_edge(node, input, u64::MAX / 4);
            }
            if engine.layers.first < *border && *border <= engine.layers.end {
                network.add_edge(output, node, u64::MAX / 4);
            }
        }
    }
    network.max_flow(0, borders.len() - 1) as f64 / FLOW_UNITS_PER_TOKEN
}

/// Returns the upper bound of the tokens per second of a server whose runs spend `other_stages_us`
/// of each token's time at other stages.
fn capacity_per_s(engine: &EngineSettings, mix: WorkMix, other_stages_us: f64) -> f64 {
    if other_stages_us.is_infinite() {
        return 0.0;
    }
    let behavior = &engine.behavior;
    let prefill_us = f64::from(behavior.prefill_word_us) * mix.prefill_words_per_token;
    let sequence_us = f64::from(behavior.step_sequence_us) + prefill_us;
    let step_us = |batch: f64| (f64::from(behavior.step_base_us) + sequence_us * batch).max(1.0);
    let slots = f64::from(behavior.slots.max(1));
    let mut low = 0.0;
    let mut high = slots;
    for _ in 0..BISECTION_STEPS {
        let batch = (low + high) / 2.0;
        if batch + batch * other_stages_us / step_us(batch) < slots {
            low = batch;
        } else {
            high = batch;
        }
    }
    // A batch has at least one sequence, so a step takes at least as long as for one.
    let single_sequence_bound = slots * US_PER_S / (step_us(1.0) + other_stages_us);
    single_sequence_bound.min(high * US_PER_S / step_us(high))
}

/// Returns the shortest one-way delay between any two engines, in microseconds.
pub(crate) fn min_link_us(settings: &StandinSettings) -> f64 {
    let links = &settings.links;
    let pairs = links.pairs.iter().map(|pair| pair.us);
    let least = pairs.chain([links.same_domain_us, links.cross_domain_us]).min();
    f64::from(least.unwrap_or(0))
}

/// Returns the shortest time from the first layer to each layer border, in microseconds, with
/// batches of one.
fn min_us_to_borders(engines: &[&EngineSettings], borders: &[u16]) -> Vec<f64> {
    let mut best = vec![f64::INFINITY; borders.len()];
    best[0] = 0.0;
    for at in 0..borders.len() {
        for engine in engines {
            let layers = engine.layers;
            if !(layers.first <= borders[at] && borders[at] < layers.end) {
                continue;
            }
            let reached = best[at] + single_step_us(engine);
            for next in at + 1..borders.len() {
                if borders[next] <= layers.end {
                    best[next] = best[next].min(reached);
                }
            }
        }
    }
    best
}

/// Returns the shortest time from each layer border to the last layer, in microseconds, with
/// batches of one.
fn min_us_from_borders(engines: &[&EngineSettings], borders: &[u16]) -> Vec<f64> {
    let mut best = vec![f64::INFINITY; borders.len()];
    best[borders.len() - 1] = 0.0;
    for at in (0..borders.len()).rev() {
        for engine in engines {
            let layers = engine.layers;
            if !(layers.first < borders[at] && borders[at] <= layers.end) {
                continue;
            }
            let reached = best[at] + single_step_us(engine);
            for before in 0..at {
                if layers.first <= borders[before] {
                    best[before] = best[before].min(reached);
                }
            }
        }
    }
    best
}

fn single_step_us(engine: &EngineSettings) -> f64 {
    f64::from(engine.behavior.step_base_us) + f64::from(engine.behavior.step_sequence_us)
}

/// The residual graph of a flow network; the maximum flow is found by shortest augmenting paths.
struct FlowNetwork {
    capacity: Vec<BTreeMap<usize, u64>>,
}

impl FlowNetwork {
    fn new(nodes: usize) -> Self {
        Self { capacity: vec![BTreeMap::new(); nodes] }
    }

    fn add_edge(&mut self, from: usize, to: usize, capacity: u64) {
        *self.capacity[from].entry(to).or_default() += capacity;
        self.capacity[to].entry(from).or_default();
    }

    fn max_flow(&mut self, source: usize, sink: usize) -> u64 {
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
        let mut predecessors = vec![None; self.capacity.len()];
        let mut queue = VecDeque::from([source]);
        while let Some(node) = queue.pop_front() {
            for (&next, &capacity) in &self.capacity[node] {
                if capacity > 0 && next != source && predecessors[next].is_none() {
                    predecessors[next] = Some(node);
                    queue.push_back(next);
                }
            }
        }
        let mut path = vec![sink];
        while let Some(node) = predecessors[*path.last()?] {
            path.push(node);
        }
        path.reverse();
        (path.len() > 1).then_some(path)
    }
}
