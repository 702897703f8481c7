//! Moves layers between servers when the fleet's room is uneven: after lasting losses one layer may
//! have far less room over all its holders than the others.

use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;
use crate::placement::plan::ModelServer;
use crate::placement::plan::Plan;

/// The part of the mean room below which a layer counts as short of room.
const SHORT_PART: f64 = 0.6;
/// The factor by which a move must raise the least room.
const GAIN: f64 = 1.5;
/// The least room that a moved server keeps for requests, as a part of the usual.
const MOVED_PART: f64 = 0.6;

/// Moves one server, if that raises the room of the tightest layer well.
pub fn rebalance(profile: &EngineProfile, cards: &[ModelServer], plan: &mut Plan) {
    let rooms = rooms(profile, cards, plan);
    let least = least(&rooms);
    let mean = rooms.iter().sum::<f64>() / rooms.len().max(1) as f64;
    if rooms.is_empty() || least >= SHORT_PART * mean {
        return;
    }
    let best = cards
        .iter()
        .filter_map(|card| Some((card, best_move(profile, card, plan, &rooms)?)))
        .max_by(|a, b| a.1.least.total_cmp(&b.1.least));
    if let Some((card, best)) = best {
        if best.least >= GAIN * least.max(1.0) {
            plan.insert(card.server.clone(), best.layers);
        }
    }
}

struct Move {
    layers: LayerRange,
    least: f64,
}

fn least(rooms: &[f64]) -> f64 {
    rooms.iter().copied().fold(f64::INFINITY, f64::min)
}

/// Returns the room of each layer, over all its holders.
fn rooms(profile: &EngineProfile, cards: &[ModelServer], plan: &Plan) -> Vec<f64> {
    let mut rooms = vec![0.0; usize::from(profile.layers)];
    for card in cards {
        if let Some(range) = plan.get(&card.server) {
            add(&mut rooms, *range, profile.token_capacity(&card.kind, range.len()));
        }
    }
    rooms
}

fn add(rooms: &mut [f64], range: LayerRange, room: f64) {
    let to = usize::from(range.to).min(rooms.len());
    for layer in &mut rooms[usize::from(range.from).min(to)..to] {
        *layer += room;
    }
}

/// Finds where `card` would raise the least room most.
fn best_move(
    profile: &EngineProfile,
    card: &ModelServer,
    plan: &Plan,
    rooms: &[f64],
) -> Option<Move> {
    let width =
        profile.max_layers_for_tokens(&card.kind, MOVED_PART * profile.nominal_capacity_tokens);
    if width == 0 {
        return None;
    }
    let mut without = rooms.to_vec();
    if let Some(range) = plan.get(&card.server) {
        add(&mut without, *range, -profile.token_capacity(&card.kind, range.len()));
    }
    let tightest = (0..without.len()).min_by(|&a, &b| without[a].total_cmp(&without[b]))?;
    let tightest = tightest as u16;
    let last = profile.layers - width;
    let first = (tightest + 1).saturating_sub(width).min(last);
    (first..=tightest.min(last))
        .map(|from| {
            let layers = LayerRange::new(from, from + width);
            let mut with = without.clone();
            add(&mut with, layers, profile.token_capacity(&card.kind, width));
            Move { layers, least: least(&with) }
        })
        .max_by(|a, b| a.least.total_cmp(&b.least))
}
