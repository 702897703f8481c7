//! Planner: which layers each model server holds.
//!
//! Each failure domain gets a chain of its own out of its fastest servers; the others hold second
//! copies of the ranges that are slowest to replace. A plan keeps what servers hold already, and
//! changes it only where a layer has no holder.

use std::collections::BTreeMap;

use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::engine::CardKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;

/// The least room for requests that a chain is planned with, in tokens.
const LEAST_TOKENS: f64 = 8_000.0;
/// Steps of the search for the room that fits.
const ROOM_STEPS: u32 = 40;

/// A server that may hold layers.
#[derive(Clone, Debug)]
pub struct Card {
    /// The server.
    pub server: ServerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its kind of accelerator.
    pub kind: CardKind,
    /// What it holds or is loading.
    pub holds: Option<LayerRange>,
}

/// The layers that each server is to hold.
pub type Plan = BTreeMap<ServerName, LayerRange>;

/// Plans the layers of `cards`; servers that keep what they hold are in the plan too.
pub fn plan(profile: &EngineProfile, cards: &[Card]) -> Plan {
    let mut out = Plan::new();
    for group in groups(profile, cards) {
        plan_group(profile, &group, &mut out);
    }
    out
}

/// Splits the cards by failure domain; domains that cannot hold a whole model are put together.
fn groups<'a>(profile: &EngineProfile, cards: &'a [Card]) -> Vec<Vec<&'a Card>> {
    let mut by_domain: BTreeMap<&DomainName, Vec<&Card>> = BTreeMap::new();
    for card in cards {
        by_domain.entry(&card.domain).or_default().push(card);
    }
    let mut whole = Vec::new();
    let mut rest = Vec::new();
    for (_, group) in by_domain {
        if layers_at(profile, &group, LEAST_TOKENS) >= u32::from(profile.layers) {
            whole.push(group);
        } else {
            rest.extend(group);
        }
    }
    if !rest.is_empty() {
        whole.push(rest);
    }
    whole
}

fn layers_at(profile: &EngineProfile, group: &[&Card], tokens: f64) -> u32 {
    group.iter().map(|c| u32::from(profile.layers_with_room(&c.kind, tokens))).sum()
}

fn plan_group(profile: &EngineProfile, group: &[&Card], out: &mut Plan) {
    let mut cards: Vec<&Card> = group.to_vec();
    cards.sort_by(|a, b| a.kind.pace.total_cmp(&b.kind.pace).then_with(|| a.server.cmp(&b.server)));
    let mut held: Vec<Option<LayerRange>> = cards.iter().map(|c| c.holds).collect();
    if held.iter().all(Option::is_none) {
        lay_chain(profile, &cards, &mut held);
    } else {
        fill_gaps(profile, &cards, &mut held);
    }
    lay_copies(profile, &cards, &mut held);
    for (card, range) in cards.iter().zip(held) {
        if let Some(range) = range {
            out.insert(card.server.clone(), range);
        }
    }
}

/// Lays one chain over the fastest cards that have the usual room.
fn lay_chain(profile: &EngineProfile, cards: &[&Card], held: &mut [Option<LayerRange>]) {
    let layers = u32::from(profile.layers);
    let count = (1..=cards.len())
        .find(|&n| layers_at(profile, &cards[..n], profile.usual_tokens) >= layers)
        .unwrap_or(cards.len());
    let chosen = &cards[..count];
    let tokens = most_room(profile, chosen);
    let mut widths: Vec<u16> =
        chosen.iter().map(|c| profile.layers_with_room(&c.kind, tokens)).collect();
    trim(profile, chosen, &mut widths);
    let mut at = 0;
    for (index, width) in widths.iter().enumerate() {
        if *width > 0 {
            held[index] = Some(LayerRange::new(at, at + width));
            at += width;
        }
    }
}

/// Finds the most tokens for which the cards still hold all layers.
fn most_room(profile: &EngineProfile, cards: &[&Card]) -> f64 {
    let layers = u32::from(profile.layers);
    let mut low = 0.0;
    let mut high = 100.0 * profile.usual_tokens.max(LEAST_TOKENS);
    for _ in 0..ROOM_STEPS {
        let middle = f64::midpoint(low, high);
        if layers_at(profile, cards, middle) >= layers {
            low = middle;
        } else {
            high = middle;
        }
    }
    low
}

/// Takes layers beyond one whole model off the servers with the least room.
fn trim(profile: &EngineProfile, cards: &[&Card], widths: &mut [u16]) {
    let mut extra =
        widths.iter().map(|&w| u32::from(w)).sum::<u32>().saturating_sub(u32::from(profile.layers));
    while extra > 0 {
        let tightest = (0..cards.len()).filter(|&i| widths[i] > 0).min_by(|&a, &b| {
            let room = |i: usize| profile.room(&cards[i].kind, widths[i]);
            room(a).total_cmp(&room(b))
        });
        let Some(index) = tightest else {
            return;
        };
        widths[index] -= 1;
        extra -= 1;
    }
}

/// Gives layers without a holder to empty servers first, then to holders of second copies.
fn fill_gaps(profile: &EngineProfile, cards: &[&Card], held: &mut [Option<LayerRange>]) {
    while let Some(gap) = first_gap(profile, held) {
        let Some(index) = best_for_gap(profile, cards, held, gap) else {
            return;
        };
        let width = most_layers(profile, &cards[index].kind).min(gap.len());
        held[index] = Some(LayerRange::new(gap.from, gap.from + width));
    }
}

fn most_layers(profile: &EngineProfile, kind: &CardKind) -> u16 {
    let usual = profile.layers_with_room(kind, profile.usual_tokens);
    usual.max(profile.layers_with_room(kind, LEAST_TOKENS).min(1))
}

fn first_gap(profile: &EngineProfile, held: &[Option<LayerRange>]) -> Option<LayerRange> {
    let holders = holders_by_layer(profile, held);
    let from = holders.iter().position(|&n| n == 0)?;
    let len = holders[from..].iter().take_while(|&&n| n == 0).count();
    Some(LayerRange::new(from as u16, (from + len) as u16))
}

fn holders_by_layer(profile: &EngineProfile, held: &[Option<LayerRange>]) -> Vec<u32> {
    let mut holders = vec![0; usize::from(profile.layers)];
    for range in held.iter().flatten() {
        for layer in range.from..range.to.min(profile.layers) {
            holders[usize::from(layer)] += 1;
        }
    }
    holders
}

fn best_for_gap(
    profile: &EngineProfile,
    cards: &[&Card],
    held: &[Option<LayerRange>],
    gap: LayerRange,
) -> Option<usize> {
    let holders = holders_by_layer(profile, held);
    let spare = |i: usize| match held[i] {
        None => true,
        Some(r) => (r.from..r.to.min(profile.layers)).all(|l| holders[usize::from(l)] > 1),
    };
    (0..cards.len()).filter(|&i| spare(i) && most_layers(profile, &cards[i].kind) > 0).min_by_key(
        |&i| {
            let short = gap.len().saturating_sub(most_layers(profile, &cards[i].kind));
            (held[i].is_some(), short, i)
        },
    )
}

/// Lets servers that are still empty hold second copies, of the widest single holders first.
fn lay_copies(profile: &EngineProfile, cards: &[&Card], held: &mut [Option<LayerRange>]) {
    for index in 0..cards.len() {
        if held[index].is_some() {
            continue;
        }
        let width = most_layers(profile, &cards[index].kind);
        if width == 0 {
            continue;
        }
        if let Some(range) = weakest_range(profile, held, width) {
            held[index] = Some(range);
        }
    }
}

/// Finds the range whose layers have the fewest holders, and among these the one in the widest part.
fn weakest_range(
    profile: &EngineProfile,
    held: &[Option<LayerRange>],
    width: u16,
) -> Option<LayerRange> {
    let holders = holders_by_layer(profile, held);
    let widest = held
        .iter()
        .flatten()
        .filter(|r| (r.from..r.to).any(|l| holders.get(usize::from(l)) == Some(&1)))
        .max_by_key(|r| (r.len(), std::cmp::Reverse(r.from)))?;
    let from = (widest.from..widest.to).find(|&l| holders[usize::from(l)] == 1)?;
    let to = (from + width).min(widest.to);
    Some(LayerRange::new(from, to))
}
