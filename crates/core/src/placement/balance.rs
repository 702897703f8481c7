//! Rebalances the plan when token capacity is spread unevenly over the layers.
//!
//! After permanent losses of servers, the servers left that hold a layer may have far less capacity
//! in total than those of the other layers.

use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;
use crate::placement::plan::ModelServer;
use crate::placement::plan::Plan;

/// The ratio to the mean capacity of a layer below which the scarcest layer triggers a move.
const SCARCE_CAPACITY_RATIO: f64 = 0.6;
/// The factor by which a move must raise the capacity of the scarcest layer.
const MIN_GAIN_FACTOR: f64 = 1.5;
/// The least token capacity of a server after a move, as a ratio to the nominal capacity.
const MIN_CAPACITY_RATIO_AFTER_MOVE: f64 = 0.6;

/// Moves one server to other layers in `plan`, if that raises the capacity of the scarcest layer by
/// [`MIN_GAIN_FACTOR`] at least.
pub fn rebalance(profile: &EngineProfile, servers: &[ModelServer], plan: &mut Plan) {
    let layer_capacities = layer_capacities(profile, servers, plan);
    let min_capacity = min_capacity(&layer_capacities);
    let mean = layer_capacities.iter().sum::<f64>() / layer_capacities.len().max(1) as f64;
    if layer_capacities.is_empty() || min_capacity >= SCARCE_CAPACITY_RATIO * mean {
        return;
    }
    let best = servers
        .iter()
        .filter_map(|model_server| {
            Some((model_server, best_move(profile, model_server, plan, &layer_capacities)?))
        })
        .max_by(|a, b| a.1.min_capacity.total_cmp(&b.1.min_capacity));
    if let Some((model_server, best)) = best {
        if best.min_capacity >= MIN_GAIN_FACTOR * min_capacity.max(1.0) {
            plan.insert(model_server.server.clone(), best.layers);
        }
    }
}

/// A move of one server to `layers`, and the capacity of the scarcest layer after it, in tokens.
struct CandidateMove {
    layers: LayerRange,
    min_capacity: f64,
}

fn min_capacity(layer_capacities: &[f64]) -> f64 {
    layer_capacities.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Returns the token capacity of each layer, summed over the servers that hold it.
fn layer_capacities(profile: &EngineProfile, servers: &[ModelServer], plan: &Plan) -> Vec<f64> {
    let mut layer_capacities = vec![0.0; usize::from(profile.layers)];
    for model_server in servers {
        if let Some(range) = plan.get(&model_server.server) {
            add_capacity(
                &mut layer_capacities,
                *range,
                profile.token_capacity(&model_server.kind, range.len()),
            );
        }
    }
    layer_capacities
}

fn add_capacity(layer_capacities: &mut [f64], range: LayerRange, capacity: f64) {
    let to = usize::from(range.to).min(layer_capacities.len());
    for layer in &mut layer_capacities[usize::from(range.from).min(to)..to] {
        *layer += capacity;
    }
}

/// Returns the move of `model_server` that raises the capacity of the scarcest layer most.
fn best_move(
    profile: &EngineProfile,
    model_server: &ModelServer,
    plan: &Plan,
    layer_capacities: &[f64],
) -> Option<CandidateMove> {
    let layer_count = profile.max_layers_for_tokens(
        &model_server.kind,
        MIN_CAPACITY_RATIO_AFTER_MOVE * profile.nominal_capacity_tokens,
    );
    if layer_count == 0 {
        return None;
    }
    let mut without_server = layer_capacities.to_vec();
    if let Some(range) = plan.get(&model_server.server) {
        add_capacity(
            &mut without_server,
            *range,
            -profile.token_capacity(&model_server.kind, range.len()),
        );
    }
    let scarcest = (0..without_server.len())
        .min_by(|&a, &b| without_server[a].total_cmp(&without_server[b]))?;
    let scarcest = scarcest as u16;
    let last = profile.layers - layer_count;
    let first = (scarcest + 1).saturating_sub(layer_count).min(last);
    (first..=scarcest.min(last))
        .map(|from| {
            let layers = LayerRange::new(from, from + layer_count);
            let mut after_move = without_server.clone();
            add_capacity(
                &mut after_move,
                layers,
                profile.token_capacity(&model_server.kind, layer_count),
            );
            CandidateMove { layers, min_capacity: min_capacity(&after_move) }
        })
        .max_by(|a, b| a.min_capacity.total_cmp(&b.min_capacity))
}
