//! Upper bound of the tokens per second that also counts the slots held along a complete chain.
//!
//! A run holds a slot at each server of its chain until its answer is complete. The time for a
//! token is the sum over all servers of the chain, so the slots of a server are also held while the
//! token is at another server.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use yuccanotch_core::name::ModelName;

use crate::bound::max_flow_bound_for;
use crate::bound::min_link_us;
use crate::bound::WorkMix;
use crate::settings::EngineSettings;
use crate::settings::StandinSettings;

const US_PER_S: f64 = 1e6;

/// Returns the upper bound of the tokens per second of each model when each run holds a slot on all
/// of its stages at once; it never exceeds the bound of [`max_flow_bound_for`].
///
/// Every answer is assumed to need the prefill of `mix`. Of `L` layers, a chain takes `u` layers
/// from each of its servers, and the `u` of a chain add up to `L`. A token of that chain takes at
/// least the sum of its servers' `t`: one step with a batch of one, the prefill per token, and a
/// link. The Cauchy-Schwarz inequality gives
///
/// ```text
/// 1 / sum(t) <= sum((u / L)^2 / t) <= sum((len / L) * (u / L) / t)
/// ```
///
/// where `len` is the number of layers that the server holds. Summed over all runs, a server
/// contributes `(len / L) / t` times its share `m`, the sum of `u / L` over the runs that hold its
/// slots. The share is at most `len / L` times its number of slots, and all shares add up to the
/// number of runs, which is at most the number of slots of any single layer. The bound is the
/// largest such sum, which results from filling the servers in descending order of their factor.
/// It is reached when the servers of each chain take equal times and a step does not take longer
/// for a larger batch.
pub fn slot_bound_for(settings: &StandinSettings, mix: WorkMix) -> BTreeMap<ModelName, f64> {
    let mut bounds = max_flow_bound_for(settings, mix);
    for (name, bound) in &mut bounds {
        let layers = settings.models[name].layers;
        *bound = bound.min(slot_bound(settings, name, layers, mix));
    }
    bounds
}

fn slot_bound(settings: &StandinSettings, model: &ModelName, layers: u16, mix: WorkMix) -> f64 {
    let engines: Vec<&EngineSettings> =
        settings.engines.iter().filter(|engine| engine.model == *model).collect();
    let link_us = min_link_us(settings);
    let mut servers: Vec<(f64, f64)> = engines
        .iter()
        .map(|engine| {
            let layer_share = f64::from(engine.layers.len()) / f64::from(layers);
            let factor = layer_share * US_PER_S / min_token_us(engine, layers, link_us, mix);
            (factor, layer_share * f64::from(engine.behavior.slots))
        })
        .collect();
    servers.sort_by(|a, b| b.0.total_cmp(&a.0));
    let mut runs_left = min_layer_slots(&engines, layers);
    let mut sum = 0.0;
    for (factor, max_share) in servers {
        let share = max_share.min(runs_left);
        sum += factor * share;
        runs_left -= share;
    }
    sum
}

/// Returns the shortest time that a token takes at a server and over one link, in microseconds.
fn min_token_us(engine: &EngineSettings, layers: u16, link_us: f64, mix: WorkMix) -> f64 {
    let behavior = &engine.behavior;
    let prefill_us = f64::from(behavior.prefill_word_us) * mix.prefill_words_per_token;
    let step_us = f64::from(behavior.step_base_us) + f64::from(behavior.step_sequence_us);
    let is_whole = engine.layers.first == 0 && engine.layers.end == layers;
    // A chain of several servers has as many links as servers, including the one back to the first.
    let link_us = if is_whole { 0.0 } else { link_us };
    (step_us + prefill_us + link_us).max(1.0)
}

/// Returns the number of slots of the layer that has the fewest.
fn min_layer_slots(engines: &[&EngineSettings], layers: u16) -> f64 {
    let ends = engines.iter().flat_map(|engine| [engine.layers.first, engine.layers.end]);
    let starts: BTreeSet<u16> = ends.chain([0]).filter(|layer| *layer < layers).collect();
    let slots_at = |layer: &u16| {
        let holding = engines.iter().filter(|e| e.layers.first <= *layer && *layer < e.layers.end);
        holding.map(|engine| f64::from(engine.behavior.slots)).sum::<f64>()
    };
    starts.iter().map(slots_at).fold(f64::INFINITY, f64::min)
}
