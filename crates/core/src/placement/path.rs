//! Chooses the chain for a request: the cheapest path through all layers over servers that have
//! capacity left. Costs are in ms per generated token.

use std::net::SocketAddrV4;

use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::chain::Chain;
use crate::placement::chain::ChainStage;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;
use crate::placement::load::Load;

/// The cost of a hop to a stage in the same failure domain, in ms per token.
pub const SAME_DOMAIN_HOP_COST_MS: f64 = 0.6;
/// The cost of a hop between failure domains, in ms per token: traffic between domains is expensive
/// and shares one link.
const CROSS_DOMAIN_HOP_COST_MS: f64 = 4.0;
/// The cost of a first stage outside the host's failure domain, in ms per token.
const REMOTE_FIRST_STAGE_COST_MS: f64 = 2.5;
/// The cost of each recent fault of a server as the first stage, in ms per token.
const FAULT_COST_MS: f64 = 1.0;
/// The cost of a stage that a request does not have in its current chain, in ms per token: the new
/// server has to prefill all tokens so far.
const NEW_STAGE_COST_MS: f64 = 3.0;
/// The factor on the cost of a stage that a request keeps from its current chain.
const KEPT_STAGE_COST_FACTOR: f64 = 0.1;
/// The most requests whose prefill a server is assumed to run at the same time.
const MAX_CONCURRENT_PREFILLS: f64 = 8.0;
/// The most requests that other hosts are assumed to move to a server before this one hears of it.
/// With fewer, hosts that move requests at the same moment fill some servers and leave others empty.
const MAX_UNREPORTED_MOVES: f64 = 10.0;
/// The utilization at which the cost of a server would be infinite. It is above 1, so that a full
/// server has a finite cost, about 20 times that of an empty one.
const CONGESTION_LIMIT: f64 = 1.05;
/// The highest utilization of a server's memory at which it still gets new stages.
pub const MAX_MEMORY_UTILIZATION: f64 = 0.92;
/// The share of the first-stage slots of a server that chains may use.
const MAX_SLOT_UTILIZATION: f64 = 0.95;

/// A server that holds layers and may become a stage of a chain.
#[derive(Clone, Debug)]
pub struct LayerHolder {
    /// The server.
    pub server: ServerName,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// The kind of its accelerator.
    pub kind: AcceleratorKind,
    /// The layers that it holds.
    pub layers: LayerRange,
    /// The work in progress on it, over all hosts.
    pub load: Load,
    /// The factor by which it is slower than others of its kind; 1 or more.
    pub slowness: f64,
    /// The time that it still needs for the pending prefill of all hosts' requests, in ms.
    pub prefill_backlog_ms: f64,
    /// The number of answers that it corrupted or lost recently as the first stage; older ones
    /// count less.
    pub faults: f64,
    /// Whether a request of this host may begin at it.
    pub may_begin: bool,
}

impl LayerHolder {
    /// Returns how many tokens it prefills in a ms beside the work in progress on it.
    pub fn prefill_tokens_per_ms(&self, profile: &EngineProfile) -> f64 {
        let layers = self.layers.len();
        let context = f64::from(self.load.token_layers) / f64::from(layers.max(1));
        profile.prefill_tokens_per_ms(&self.kind, layers, f64::from(self.load.active), context)
    }
}

/// The requirements of a request on its chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainNeeds<'a> {
    /// The failure domain of the host that sends the request.
    pub domain: &'a DomainName,
    /// The number of tokens that the request is expected to have when it ends.
    pub tokens: f64,
    /// The chain that runs the request now, if it moves to another one. The first stage must stay
    /// the same; stages that are kept keep their KV cache.
    pub current: Option<&'a Chain>,
    /// The servers that may run the first stage; `None` allows all.
    pub allowed_first: Option<&'a [ServerName]>,
    /// Whether stages may be in different failure domains.
    pub may_cross: bool,
    /// The longest prefill backlog of a server that becomes a new stage, in ms, while another chain
    /// exists; `None` allows any.
    pub max_prefill_backlog_ms: Option<f64>,
    /// A random number for this choice, by which the prefill backlogs of servers are weighted. Hosts
    /// learn of each other's requests late, so hosts that compare exact backlogs all choose the same
    /// server until they do. `None` compares exact backlogs.
    pub spread_seed: Option<u64>,
}

impl ChainNeeds<'_> {
    pub(super) fn may_be_first_stage(&self, holder: &LayerHolder) -> bool {
        let keeps_first = self.current.is_none_or(|chain| chain.first().address == holder.address);
        let may_begin = holder.may_begin || self.current.is_some();
        let is_allowed = self.allowed_first.is_none_or(|first| first.contains(&holder.server));
        keeps_first && may_begin && is_allowed
    }

    /// Returns whether `holder` has a longer prefill backlog than allowed and is not in the current
    /// chain.
    fn is_backlog_excessive(&self, holder: &LayerHolder) -> bool {
        let is_over =
            self.max_prefill_backlog_ms.is_some_and(|max| holder.prefill_backlog_ms > max);
        let is_current =
            || self.current.is_some_and(|c| c.stages().iter().any(|s| s.server == holder.server));
        is_over && !is_current()
    }

    /// Returns the prefill backlog that the cost of `holder` contains, in ms.
    ///
    /// With a seed it is a random part of twice the known backlog, and for a move also of what other
    /// hosts may be moving to the server at the same moment.
    fn weighted_backlog_ms(&self, profile: &EngineProfile, holder: &LayerHolder) -> f64 {
        let Some(seed) = self.spread_seed else {
            return holder.prefill_backlog_ms;
        };
        let hash = xxh3_64_with_seed(holder.server.as_str().as_bytes(), seed);
        let share = hash as f64 / u64::MAX as f64;
        let unreported_moves = if self.current.is_some() { MAX_UNREPORTED_MOVES } else { 0.0 };
        let unreported_ms = unreported_moves * self.tokens / holder.prefill_tokens_per_ms(profile);
        share * (2.0 * holder.prefill_backlog_ms + unreported_ms)
    }

    /// Returns whether the current chain has the stage of `holder` with exactly these `layers`.
    fn is_kept(&self, holder: &LayerHolder, layers: LayerRange) -> bool {
        self.current.is_some_and(|chain| {
            chain
                .stages()
                .iter()
                .any(|stage| stage.address == holder.address && stage.layers == layers)
        })
    }
}

/// The cheapest path found so far to a layer boundary that ends in a given failure domain.
///
/// `candidate` is the index of its last candidate, `from` the first layer of its last stage and
/// `predecessor` the index of the path without that stage, or `usize::MAX`.
#[derive(Clone, Copy)]
struct CheapestPath {
    cost: f64,
    candidate: usize,
    from: u16,
    predecessor: usize,
}

const NO_PATH: CheapestPath =
    CheapestPath { cost: f64::INFINITY, candidate: usize::MAX, from: 0, predecessor: usize::MAX };

/// Chooses the cheapest chain through `holders` that meets `need`, if there is one.
///
/// If no chain keeps to the bound on the prefill backlog, the cheapest one without that bound is
/// chosen: a late first event is better than none.
pub fn choose_chain(
    profile: &EngineProfile,
    holders: &[LayerHolder],
    need: ChainNeeds<'_>,
) -> Option<Chain> {
    let found = cheapest_chain(profile, holders, need);
    if found.is_some() || !holders.iter().any(|h| need.is_backlog_excessive(h)) {
        return found;
    }
    cheapest_chain(profile, holders, ChainNeeds { max_prefill_backlog_ms: None, ..need })
}

/// Returns the cheapest chain through `holders` that meets `need` in all points, if there is one.
///
/// Runs dynamic programming over the layer boundaries and, for each, over the failure domain of the
/// stage that ends there, since the cost of the next hop depends on it.
fn cheapest_chain(
    profile: &EngineProfile,
    holders: &[LayerHolder],
    need: ChainNeeds<'_>,
) -> Option<Chain> {
    let usable: SmallVec<[Candidate<'_>; 48]> = holders
        .iter()
        .filter(|h| !need.is_backlog_excessive(h))
        .filter_map(|h| Candidate::new(profile, h, need))
        .collect();
    let domains = distinct_domains(&usable);
    let boundaries = layer_boundaries(&usable, profile.layers, need);
    let domain_count = domains.len();
    if domain_count == 0 {
        return None;
    }
    let new_stage_cost = if need.current.is_some() { NEW_STAGE_COST_MS } else { 0.0 };
    let mut best = vec![NO_PATH; boundaries.len() * domain_count];
    for at in 0..boundaries.len() {
        for (index, candidate) in usable.iter().enumerate() {
            if candidate.layers.from > boundaries[at] || candidate.layers.to <= boundaries[at] {
                continue;
            }
            let Some((cost, predecessor)) =
                cheapest_predecessor(&best, at, domain_count, candidate, &domains, need)
            else {
                continue;
            };
            let domain = domain_index(&domains, candidate);
            for to in at + 1..boundaries.len() {
                if boundaries[to] > candidate.layers.to {
                    break;
                }
                let layers = LayerRange::new(boundaries[at], boundaries[to]);
                let is_kept = need.is_kept(candidate.holder, layers);
                if at == 0 && need.current.is_some() && !is_kept {
                    continue;
                }
                let stage_cost = candidate.cost(profile, layers.len(), at == 0);
                let total = cost
                    + if is_kept {
                        KEPT_STAGE_COST_FACTOR * stage_cost
                    } else {
                        stage_cost + new_stage_cost
                    };
                let entry = &mut best[to * domain_count + domain];
                if total < entry.cost {
                    *entry = CheapestPath {
                        cost: total,
                        candidate: index,
                        from: boundaries[at],
                        predecessor,
                    };
                }
            }
        }
    }
    let stages = trace_back(&best, &boundaries, domain_count, &usable)?;
    Chain::new(stages, profile.layers).ok()
}

/// Returns the cost of the cheapest path that `candidate` can extend at the boundary with index
/// `at`, the hop included, and the index of that path; at the first boundary, the cost of a start
/// there.
fn cheapest_predecessor(
    best: &[CheapestPath],
    at: usize,
    domain_count: usize,
    candidate: &Candidate<'_>,
    domains: &[&DomainName],
    need: ChainNeeds<'_>,
) -> Option<(f64, usize)> {
    if at == 0 {
        let remote_cost =
            if candidate.holder.domain == *need.domain { 0.0 } else { REMOTE_FIRST_STAGE_COST_MS };
        let remote_cost = remote_cost + FAULT_COST_MS * candidate.holder.faults;
        let may_be_first = candidate.may_be_first && need.may_be_first_stage(candidate.holder);
        return may_be_first.then_some((remote_cost, usize::MAX));
    }
    let mut found: Option<(f64, usize)> = None;
    for (d, domain) in domains.iter().enumerate() {
        let index = at * domain_count + d;
        let hop = if **domain == candidate.holder.domain {
            SAME_DOMAIN_HOP_COST_MS
        } else if need.may_cross {
            CROSS_DOMAIN_HOP_COST_MS
        } else {
            continue;
        };
        let cost = best[index].cost + hop;
        if cost.is_finite() && found.is_none_or(|(c, _)| cost < c) {
            found = Some((cost, index));
        }
    }
    found
}

/// Returns the stages of the cheapest path through all layers.
fn trace_back(
    best: &[CheapestPath],
    boundaries: &[u16],
    domain_count: usize,
    usable: &[Candidate<'_>],
) -> Option<SmallVec<[ChainStage; 12]>> {
    let last = (boundaries.len() - 1) * domain_count;
    let mut at =
        (last..last + domain_count).min_by(|&a, &b| best[a].cost.total_cmp(&best[b].cost))?;
    let mut stages = SmallVec::new();
    while at != usize::MAX {
        let path = best[at];
        let candidate = usable.get(path.candidate)?;
        stages.push(ChainStage {
            server: candidate.holder.server.clone(),
            address: candidate.holder.address,
            domain: candidate.holder.domain.clone(),
            layers: LayerRange::new(path.from, boundaries[at / domain_count]),
        });
        at = path.predecessor;
    }
    stages.reverse();
    merge_repeated_servers(&mut stages);
    Some(stages)
}

/// Merges the stages of a server that occurs more than once, together with those between them,
/// since a chain may name each server only once. The server holds the layers in between too.
fn merge_repeated_servers(stages: &mut SmallVec<[ChainStage; 12]>) {
    let mut first = 0;
    while first < stages.len() {
        let again =
            (first + 1..stages.len()).rfind(|&i| stages[i].address == stages[first].address);
        if let Some(last) = again {
            stages[first].layers.to = stages[last].layers.to;
            stages.drain(first + 1..=last);
        }
        first += 1;
    }
}

/// A holder with capacity left for the request, and the factors on its cost.
pub(super) struct Candidate<'a> {
    holder: &'a LayerHolder,
    layers: LayerRange,
    pub(super) may_be_first: bool,
    congestion_factor: f64,
    slot_congestion_factor: f64,
    prefill_backlog_ms: f64,
}

impl<'a> Candidate<'a> {
    pub(super) fn new(
        profile: &EngineProfile,
        holder: &'a LayerHolder,
        need: ChainNeeds<'_>,
    ) -> Option<Self> {
        if !profile.has_layers(holder.layers) {
            return None;
        }
        let capacity = profile.token_layer_capacity(&holder.kind, holder.layers.len());
        let per_layer = need.tokens.max(1.0);
        let free = capacity * MAX_MEMORY_UTILIZATION - f64::from(holder.load.token_layers);
        let free_layers = (free / per_layer).floor().max(0.0) as u16;
        let is_kept = need
            .current
            .is_some_and(|c| c.stages().iter().any(|stage| stage.server == holder.server));
        if free_layers == 0 && !is_kept {
            return None;
        }
        let utilization = f64::from(holder.load.token_layers) / capacity.max(1.0);
        let slots = f64::from(profile.first_stage_slots) * MAX_SLOT_UTILIZATION;
        Some(Self {
            holder,
            layers: holder.layers,
            may_be_first: is_kept || f64::from(holder.load.first) + 1.0 <= slots,
            congestion_factor: congestion_factor(utilization),
            slot_congestion_factor: congestion_factor(
                f64::from(holder.load.first) / slots.max(1.0),
            ),
            prefill_backlog_ms: need.weighted_backlog_ms(profile, holder),
        })
    }

    /// Returns the cost of a stage of `layers` layers, in ms per token; `first` states whether it
    /// is the first stage.
    fn cost(&self, profile: &EngineProfile, layers: u16, first: bool) -> f64 {
        let load = self.holder.load;
        let active = f64::from(load.active) + 1.0;
        let held = f64::from(self.holder.layers.len().max(1));
        let context = f64::from(load.token_layers) / held;
        let step = profile.decode_step_ms(&self.holder.kind, layers, active, context);
        let prefill_per_token =
            profile.prefill_ms(&self.holder.kind, layers, profile.mean_prompt_tokens)
                / profile.mean_answer_tokens.max(1.0);
        let congestion_factor =
            self.congestion_factor.max(if first { self.slot_congestion_factor } else { 1.0 });
        let backlog_ms_per_token = self.prefill_backlog_ms / profile.mean_answer_tokens.max(1.0);
        (step + prefill_per_token * active.min(MAX_CONCURRENT_PREFILLS))
            * self.holder.slowness
            * congestion_factor
            + backlog_ms_per_token
    }
}

/// Returns the factor on the cost of a server whose memory or slots are in use by the share
/// `utilization`, 0 to 1.
fn congestion_factor(utilization: f64) -> f64 {
    1.0 / (CONGESTION_LIMIT - utilization.clamp(0.0, 1.0))
}

fn distinct_domains<'a>(usable: &[Candidate<'a>]) -> SmallVec<[&'a DomainName; 8]> {
    let mut domains: SmallVec<[&DomainName; 8]> = SmallVec::new();
    for candidate in usable {
        if !domains.contains(&&candidate.holder.domain) {
            domains.push(&candidate.holder.domain);
        }
    }
    domains
}

fn domain_index(domains: &[&DomainName], candidate: &Candidate<'_>) -> usize {
    domains.iter().position(|d| **d == candidate.holder.domain).unwrap_or(0)
}

/// Returns the layers at which stages may begin or end, sorted: the bounds of the ranges that
/// servers hold and of the current stages.
fn layer_boundaries(
    usable: &[Candidate<'_>],
    layers: u16,
    need: ChainNeeds<'_>,
) -> SmallVec<[u16; 48]> {
    let mut boundaries: SmallVec<[u16; 48]> = SmallVec::new();
    boundaries.push(0);
    boundaries.push(layers);
    for candidate in usable {
        boundaries.push(candidate.layers.from);
        boundaries.push(candidate.layers.to.min(layers));
    }
    if let Some(chain) = need.current {
        boundaries.extend(chain.stages().iter().map(|stage| stage.layers.to));
    }
    boundaries.sort_unstable();
    boundaries.dedup();
    boundaries
}
