//! Plans which layers each model server holds.
//!
//! Each failure domain gets a chain of its own that spreads over its servers, since memory for
//! requests is exhausted before compute is. Later plans keep what servers hold: gaps are closed by
//! empty servers and by servers whose layers all have another holder, and one server at a time
//! moves to the layers with the least capacity.

use std::collections::BTreeMap;

use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::balance;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;

/// The token capacity that the servers of a group must have left, when they hold a whole model, for
/// the group to count as able to hold one.
const MIN_CAPACITY_TOKENS: f64 = 8_000.0;
/// The least token capacity of a server that closes a gap, as a ratio to the nominal capacity.
const GAP_CAPACITY_RATIO: f64 = 0.6;
/// The token capacity of a server that takes second copies of layers, as a ratio to the nominal
/// capacity.
const COPY_CAPACITY_RATIO: f64 = 1.2;
/// The token capacity that decides how many servers the first chain of a group spreads over, as a
/// ratio to the nominal capacity.
const CHAIN_CAPACITY_RATIO: f64 = 1.0;
/// The ratio to the nominal capacity that is added to the capacity of each layer, so that a layer
/// without capacity has a finite scarcity.
const SCARCITY_OFFSET_RATIO: f64 = 0.05;
/// The exponent of scarcity, which makes the scarcest layers weigh most by far.
const SCARCITY_EXPONENT: i32 = 3;
/// The number of bisection steps in the search for the highest common capacity.
const CAPACITY_SEARCH_STEPS: u32 = 40;

/// A backend server to which the planner may assign layers.
#[derive(Clone, Debug)]
pub struct ModelServer {
    /// The server.
    pub server: ServerName,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// The kind of its accelerator.
    pub kind: AcceleratorKind,
    /// The layers that it holds or is loading.
    pub holds: Option<LayerRange>,
}

/// The layers that each server is to hold, by server.
pub type Plan = BTreeMap<ServerName, LayerRange>;

/// Plans the layers of `servers`. The plan also contains servers that keep what they hold.
pub fn plan(profile: &EngineProfile, servers: &[ModelServer]) -> Plan {
    let mut out = Plan::new();
    for servers in group_by_domain(profile, servers) {
        let mut group = ServerGroup::new(profile, servers);
        group.assign_layers();
        group.write_to(&mut out);
    }
    balance::rebalance(profile, servers, &mut out);
    out
}

/// Groups the servers by failure domain; all domains that cannot hold a whole model form one group.
fn group_by_domain<'a>(
    profile: &EngineProfile,
    servers: &'a [ModelServer],
) -> Vec<Vec<&'a ModelServer>> {
    let mut by_domain: BTreeMap<&DomainName, Vec<&ModelServer>> = BTreeMap::new();
    for model_server in servers {
        by_domain.entry(&model_server.domain).or_default().push(model_server);
    }
    let mut whole = Vec::new();
    let mut rest = Vec::new();
    for (_, group) in by_domain {
        if total_layers_for_tokens(profile, &group, MIN_CAPACITY_TOKENS)
            >= u32::from(profile.layers)
        {
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

/// Returns how many layers the servers of `group` hold in total if each has a capacity of `tokens`.
fn total_layers_for_tokens(profile: &EngineProfile, group: &[&ModelServer], tokens: f64) -> u32 {
    group
        .iter()
        .map(|model_server| u32::from(profile.max_layers_for_tokens(&model_server.kind, tokens)))
        .sum()
}

/// The servers of one group, fastest kind first, and the layers assigned to each.
struct ServerGroup<'a> {
    profile: &'a EngineProfile,
    servers: Vec<&'a ModelServer>,
    assigned: Vec<Option<LayerRange>>,
}

impl<'a> ServerGroup<'a> {
    fn new(profile: &'a EngineProfile, mut servers: Vec<&'a ModelServer>) -> Self {
        servers.sort_by(|a, b| {
            a.kind
                .step_time_factor
                .total_cmp(&b.kind.step_time_factor)
                .then_with(|| a.server.cmp(&b.server))
        });
        let held = |s: &&ModelServer| s.holds.filter(|range| profile.has_layers(*range));
        let assigned = servers.iter().map(held).collect();
        Self { profile, servers, assigned }
    }

    fn write_to(&self, out: &mut Plan) {
        for (model_server, range) in self.servers.iter().zip(&self.assigned) {
            if let Some(range) = range {
                out.insert(model_server.server.clone(), *range);
            }
        }
    }

    fn assign_layers(&mut self) {
        if self.assigned.iter().all(Option::is_none) {
            self.assign_chain();
        }
        self.close_gaps();
        self.assign_copies();
    }

    fn capacity(&self, index: usize, layers: u16) -> f64 {
        self.profile.token_capacity(&self.servers[index].kind, layers)
    }

    fn max_layers(&self, index: usize, tokens: f64) -> u16 {
        self.profile.max_layers_for_tokens(&self.servers[index].kind, tokens)
    }

    /// Assigns one chain to the fewest of the fastest servers that reach [`CHAIN_CAPACITY_RATIO`],
    /// all with about the same token capacity.
    fn assign_chain(&mut self) {
        let enough = CHAIN_CAPACITY_RATIO * self.profile.nominal_capacity_tokens;
        let layers = u32::from(self.profile.layers);
        let count = (1..=self.servers.len())
            .find(|&n| total_layers_for_tokens(self.profile, &self.servers[..n], enough) >= layers)
            .unwrap_or(self.servers.len());
        let tokens = self.max_common_capacity(count);
        let mut layer_counts: Vec<u16> = (0..count).map(|i| self.max_layers(i, tokens)).collect();
        self.trim_excess_layers(&mut layer_counts);
        let mut at = 0;
        for (index, layer_count) in layer_counts.iter().enumerate() {
            self.assigned[index] =
                (*layer_count > 0).then(|| LayerRange::new(at, at + layer_count));
            at += layer_count;
        }
    }

    /// Returns the highest token capacity, the same for each, with which the first `count` servers
    /// still hold all layers.
    fn max_common_capacity(&self, count: usize) -> f64 {
        let layers = u32::from(self.profile.layers);
        let mut low = 0.0;
        let mut high = 100.0 * self.profile.nominal_capacity_tokens.max(MIN_CAPACITY_TOKENS);
        for _ in 0..CAPACITY_SEARCH_STEPS {
            let middle = f64::midpoint(low, high);
            if total_layers_for_tokens(self.profile, &self.servers[..count], middle) >= layers {
                low = middle;
            } else {
                high = middle;
            }
        }
        low
    }

    /// Reduces `layer_counts` to one whole model, always at the server with the least capacity.
    fn trim_excess_layers(&self, layer_counts: &mut [u16]) {
        let total: u32 = layer_counts.iter().map(|&count| u32::from(count)).sum();
        for _ in 0..total.saturating_sub(u32::from(self.profile.layers)) {
            let scarcest =
                (0..layer_counts.len()).filter(|&i| layer_counts[i] > 0).min_by(|&a, &b| {
                    self.capacity(a, layer_counts[a]).total_cmp(&self.capacity(b, layer_counts[b]))
                });
            if let Some(index) = scarcest {
                layer_counts[index] -= 1;
            }
        }
    }

    /// Assigns layers that no server holds to empty servers or else to redundant ones.
    fn close_gaps(&mut self) {
        let mut from = 0;
        while let Some(gap) = self.next_gap(from) {
            let closed = self.fill_with_empty_server(gap) || self.fill_with_redundant_server(gap);
            if !closed {
                from = gap.to;
            }
        }
    }

    /// Returns the first run of layers at or after `from` that no server holds.
    fn next_gap(&self, from: u16) -> Option<LayerRange> {
        let holder_counts = self.holder_counts();
        let layers = self.profile.layers;
        let start = (from..layers).find(|&l| holder_counts[usize::from(l)] == 0)?;
        let end = (start..layers).find(|&l| holder_counts[usize::from(l)] > 0).unwrap_or(layers);
        Some(LayerRange::new(start, end))
    }

    /// Returns the number of holders of each layer.
    fn holder_counts(&self) -> Vec<u32> {
        let mut holder_counts = vec![0; usize::from(self.profile.layers)];
        for range in self.assigned.iter().flatten() {
            for layer in range.from..range.to.min(self.profile.layers) {
                holder_counts[usize::from(layer)] += 1;
            }
        }
        holder_counts
    }

    /// Assigns the gap to an empty server; returns whether there was one.
    fn fill_with_empty_server(&mut self, gap: LayerRange) -> bool {
        let empty = (0..self.servers.len()).filter(|&i| self.assigned[i].is_none());
        self.fill_with_best_of(gap, empty.collect())
    }

    /// Assigns the gap to a server whose layers all have another holder; returns whether there was
    /// one.
    fn fill_with_redundant_server(&mut self, gap: LayerRange) -> bool {
        let holder_counts = self.holder_counts();
        let is_redundant = |range: LayerRange| {
            (range.from..range.to.min(self.profile.layers))
                .all(|l| holder_counts[usize::from(l)] > 1)
        };
        let redundant =
            (0..self.servers.len()).filter(|&i| self.assigned[i].is_some_and(is_redundant));
        self.fill_with_best_of(gap, redundant.collect())
    }

    /// Assigns the gap, or as much of it from its first layer on as fits, to the one of the servers
    /// `indexes` that covers most of it; among equals, to the one with the least memory. Returns
    /// whether there was one.
    fn fill_with_best_of(&mut self, gap: LayerRange, indexes: Vec<usize>) -> bool {
        let tokens = GAP_CAPACITY_RATIO * self.profile.nominal_capacity_tokens;
        let covers = |i: usize| self.max_layers(i, tokens).min(gap.len());
        let best = indexes.into_iter().filter(|&i| covers(i) > 0).max_by(|&a, &b| {
            let size = |i: usize| self.servers[i].kind.memory_mb;
            covers(a).cmp(&covers(b)).then_with(|| size(b).total_cmp(&size(a)))
        });
        let Some(index) = best else {
            return false;
        };
        self.assigned[index] = Some(LayerRange::new(gap.from, gap.from + covers(index)));
        true
    }

    /// Assigns second copies of the scarcest layers to servers that are still empty.
    fn assign_copies(&mut self) {
        for index in 0..self.servers.len() {
            if self.assigned[index].is_none() {
                let tokens = COPY_CAPACITY_RATIO * self.profile.nominal_capacity_tokens;
                let layer_count = self.max_layers(index, tokens).min(self.profile.layers);
                if layer_count > 0 {
                    self.assigned[index] = Some(self.scarcest_range(layer_count));
                }
            }
        }
    }

    /// Returns the range of `layer_count` layers with the highest total scarcity, the first among
    /// equals.
    fn scarcest_range(&self, layer_count: u16) -> LayerRange {
        let scarcity = self.layer_scarcities();
        let weight = |from: u16| -> f64 {
            scarcity[usize::from(from)..usize::from(from + layer_count)].iter().sum()
        };
        let from = (0..=self.profile.layers - layer_count)
            .max_by(|&a, &b| weight(a).total_cmp(&weight(b)).then(b.cmp(&a)))
            .unwrap_or(0);
        LayerRange::new(from, from + layer_count)
    }

    /// Returns the scarcity of each layer, which rises with [`SCARCITY_EXPONENT`] as its capacity
    /// falls below the nominal one.
    fn layer_scarcities(&self) -> Vec<f64> {
        let nominal = self.profile.nominal_capacity_tokens.max(MIN_CAPACITY_TOKENS);
        let scarcity = |capacity: f64| {
            (nominal / (capacity + SCARCITY_OFFSET_RATIO * nominal)).powi(SCARCITY_EXPONENT)
        };
        self.layer_capacities().into_iter().map(scarcity).collect()
    }

    /// Returns the token capacity of each layer, summed over its holders.
    fn layer_capacities(&self) -> Vec<f64> {
        let mut capacities = vec![0.0; usize::from(self.profile.layers)];
        for (index, range) in self.assigned.iter().enumerate() {
            let Some(range) = range else {
                continue;
            };
            for layer in range.from..range.to.min(self.profile.layers) {
                capacities[usize::from(layer)] += self.capacity(index, range.len());
            }
        }
        capacities
    }
}
