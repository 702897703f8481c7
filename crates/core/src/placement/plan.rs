//! Planner: which layers each model server holds.
//!
//! Each failure domain gets a chain of its own over all its servers, since room for requests binds
//! before speed does. Afterwards a plan keeps what servers hold; gaps are closed by empty servers and
//! by holders of second copies, and one server at a time moves to where the fleet lacks room.

use std::collections::BTreeMap;

use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::balance;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;

/// The least room with which a group counts as able to hold a whole model, in tokens.
const LEAST_TOKENS: f64 = 8_000.0;
/// The least room that a server keeps when it closes a gap, as a part of the usual.
const GAP_PART: f64 = 0.6;
/// The room that a server keeps when it takes a second copy, as a part of the usual.
const COPY_PART: f64 = 1.2;
/// The room that a chain is laid with at first, as a part of the usual.
const CHAIN_PART: f64 = 1.0;
/// What keeps the need of a layer without room finite, as a part of the usual room.
const NEED_MARGIN: f64 = 0.05;
/// The power by which a lack of room weighs: the tightest layers weigh most by far.
const NEED_POWER: i32 = 3;
/// Steps of the search for the room that fits.
const ROOM_STEPS: u32 = 40;

/// A server that may hold layers.
#[derive(Clone, Debug)]
pub struct ModelServer {
    /// The server.
    pub server: ServerName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its kind of accelerator.
    pub kind: AcceleratorKind,
    /// What it holds or is loading.
    pub holds: Option<LayerRange>,
}

/// The layers that each server is to hold.
pub type Plan = BTreeMap<ServerName, LayerRange>;

/// Plans the layers of `cards`; servers that keep what they hold are in the plan too.
pub fn plan(profile: &EngineProfile, cards: &[ModelServer]) -> Plan {
    let mut out = Plan::new();
    for cards in groups(profile, cards) {
        let mut group = Group::new(profile, cards);
        group.arrange();
        group.write(&mut out);
    }
    balance::rebalance(profile, cards, &mut out);
    out
}

/// Splits the cards by failure domain; domains that cannot hold a whole model are put together.
fn groups<'a>(profile: &EngineProfile, cards: &'a [ModelServer]) -> Vec<Vec<&'a ModelServer>> {
    let mut by_domain: BTreeMap<&DomainName, Vec<&ModelServer>> = BTreeMap::new();
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

fn layers_at(profile: &EngineProfile, group: &[&ModelServer], tokens: f64) -> u32 {
    group.iter().map(|c| u32::from(profile.max_layers_for_tokens(&c.kind, tokens))).sum()
}

/// The servers of one failure domain and what each is to hold.
struct Group<'a> {
    profile: &'a EngineProfile,
    cards: Vec<&'a ModelServer>,
    held: Vec<Option<LayerRange>>,
}

impl<'a> Group<'a> {
    fn new(profile: &'a EngineProfile, mut cards: Vec<&'a ModelServer>) -> Self {
        cards.sort_by(|a, b| {
            a.kind
                .step_time_factor
                .total_cmp(&b.kind.step_time_factor)
                .then_with(|| a.server.cmp(&b.server))
        });
        let held = cards.iter().map(|c| c.holds).collect();
        Self { profile, cards, held }
    }

    fn write(&self, out: &mut Plan) {
        for (card, range) in self.cards.iter().zip(&self.held) {
            if let Some(range) = range {
                out.insert(card.server.clone(), *range);
            }
        }
    }

    fn arrange(&mut self) {
        if self.held.iter().all(Option::is_none) {
            self.lay_chain();
        }
        self.close_gaps();
        self.lay_copies();
    }

    fn room(&self, index: usize, layers: u16) -> f64 {
        self.profile.token_capacity(&self.cards[index].kind, layers)
    }

    fn most_layers(&self, index: usize, tokens: f64) -> u16 {
        self.profile.max_layers_for_tokens(&self.cards[index].kind, tokens)
    }

    /// Lays one chain over the fastest cards with enough room, the same for each.
    fn lay_chain(&mut self) {
        let enough = CHAIN_PART * self.profile.nominal_capacity_tokens;
        let layers = u32::from(self.profile.layers);
        let count = (1..=self.cards.len())
            .find(|&n| layers_at(self.profile, &self.cards[..n], enough) >= layers)
            .unwrap_or(self.cards.len());
        let tokens = self.most_room(count);
        let mut widths: Vec<u16> = (0..count).map(|i| self.most_layers(i, tokens)).collect();
        self.trim(&mut widths);
        let mut at = 0;
        for (index, width) in widths.iter().enumerate() {
            self.held[index] = (*width > 0).then(|| LayerRange::new(at, at + width));
            at += width;
        }
    }

    /// Finds the most tokens for which the first `count` cards still hold all layers.
    fn most_room(&self, count: usize) -> f64 {
        let layers = u32::from(self.profile.layers);
        let mut low = 0.0;
        let mut high = 100.0 * self.profile.nominal_capacity_tokens.max(LEAST_TOKENS);
        for _ in 0..ROOM_STEPS {
            let middle = f64::midpoint(low, high);
            if layers_at(self.profile, &self.cards[..count], middle) >= layers {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Takes layers beyond one whole model off the servers with the least room.
    fn trim(&self, widths: &mut [u16]) {
        let total: u32 = widths.iter().map(|&w| u32::from(w)).sum();
        for _ in 0..total.saturating_sub(u32::from(self.profile.layers)) {
            let tightest = (0..widths.len())
                .filter(|&i| widths[i] > 0)
                .min_by(|&a, &b| self.room(a, widths[a]).total_cmp(&self.room(b, widths[b])));
            if let Some(index) = tightest {
                widths[index] -= 1;
            }
        }
    }

    fn close_gaps(&mut self) {
        let mut from = 0;
        while let Some(gap) = self.gap_after(from) {
            let closed = self.fill_with_empty(gap) || self.fill_with_copy_holder(gap);
            if !closed {
                from = gap.to;
            }
        }
    }

    fn gap_after(&self, from: u16) -> Option<LayerRange> {
        let holders = self.holders();
        let layers = self.profile.layers;
        let start = (from..layers).find(|&l| holders[usize::from(l)] == 0)?;
        let end = (start..layers).find(|&l| holders[usize::from(l)] > 0).unwrap_or(layers);
        Some(LayerRange::new(start, end))
    }

    fn holders(&self) -> Vec<u32> {
        let mut holders = vec![0; usize::from(self.profile.layers)];
        for range in self.held.iter().flatten() {
            for layer in range.from..range.to.min(self.profile.layers) {
                holders[usize::from(layer)] += 1;
            }
        }
        holders
    }

    /// Lets the empty server that covers most of the gap take it; the smallest of equal ones.
    fn fill_with_empty(&mut self, gap: LayerRange) -> bool {
        let empty = (0..self.cards.len()).filter(|&i| self.held[i].is_none());
        self.fill_with(gap, empty.collect())
    }

    /// Lets a server whose layers all have another holder take the gap.
    fn fill_with_copy_holder(&mut self, gap: LayerRange) -> bool {
        let holders = self.holders();
        let spare = |range: LayerRange| {
            (range.from..range.to.min(self.profile.layers)).all(|l| holders[usize::from(l)] > 1)
        };
        let spares = (0..self.cards.len()).filter(|&i| self.held[i].is_some_and(spare));
        self.fill_with(gap, spares.collect())
    }

    fn fill_with(&mut self, gap: LayerRange, indexes: Vec<usize>) -> bool {
        let tokens = GAP_PART * self.profile.nominal_capacity_tokens;
        let covers = |i: usize| self.most_layers(i, tokens).min(gap.len());
        let best = indexes.into_iter().filter(|&i| covers(i) > 0).max_by(|&a, &b| {
            let size = |i: usize| self.cards[i].kind.memory_mb;
            covers(a).cmp(&covers(b)).then_with(|| size(b).total_cmp(&size(a)))
        });
        let Some(index) = best else {
            return false;
        };
        self.held[index] = Some(LayerRange::new(gap.from, gap.from + covers(index)));
        true
    }

    /// Lets servers that are still empty hold second copies where room is tightest.
    fn lay_copies(&mut self) {
        for index in 0..self.cards.len() {
            if self.held[index].is_none() {
                let tokens = COPY_PART * self.profile.nominal_capacity_tokens;
                let width = self.most_layers(index, tokens).min(self.profile.layers);
                if width > 0 {
                    self.held[index] = Some(self.tightest_window(width));
                }
            }
        }
    }

    fn tightest_window(&self, width: u16) -> LayerRange {
        let need = self.layer_need();
        let weight =
            |from: u16| -> f64 { need[usize::from(from)..usize::from(from + width)].iter().sum() };
        let from = (0..=self.profile.layers - width)
            .max_by(|&a, &b| weight(a).total_cmp(&weight(b)).then(b.cmp(&a)))
            .unwrap_or(0);
        LayerRange::new(from, from + width)
    }

    /// Returns for each layer how much it lacks room; the tightest layers weigh most by far.
    fn layer_need(&self) -> Vec<f64> {
        let usual = self.profile.nominal_capacity_tokens.max(LEAST_TOKENS);
        let need = |room: f64| (usual / (room + NEED_MARGIN * usual)).powi(NEED_POWER);
        self.layer_rooms().into_iter().map(need).collect()
    }

    /// Returns the room of each layer, over all its holders.
    fn layer_rooms(&self) -> Vec<f64> {
        let mut rooms = vec![0.0; usize::from(self.profile.layers)];
        for (index, range) in self.held.iter().enumerate() {
            let Some(range) = range else {
                continue;
            };
            for layer in range.from..range.to.min(self.profile.layers) {
                rooms[usize::from(layer)] += self.room(index, range.len());
            }
        }
        rooms
    }
}
