//! The router of one host: keeps the state of the servers, chooses chains and learns from results.

use std::collections::HashMap;

use rand::Rng;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::engine::Chain;
use crate::engine::Hop;
use crate::engine::LayerRange;
use crate::engine::PREFIX_BLOCK_WORDS;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;

use super::fixed;
use super::fixed::Stages;
use super::messages::ChainChoice;
use super::messages::ChainQuery;
use super::messages::Policy;
use super::messages::ServerInput;
use super::messages::StageCapacity;
use super::messages::Verdict;
use super::outlier::Element;
use super::outlier::Outliers;
use super::path::links_of_cycle;
use super::path::shortest;
use super::path::Candidate;
use super::prefix::PrefixIndex;
use super::prefix::PrefixMatch;
use super::sample::draw_some;
use super::server::ServerState;
use super::stats::wait_us;
use super::stats::weighted_average;
use super::stats::ModelStats;
use super::stats::MAX_CORRECTION_PERCENT;
use super::stats::NEUTRAL_PERCENT;
use super::table::Group;
use super::table::Table;

/// The number of servers of the host's own domain that are sampled per layer range.
const SAMPLE_SAME_DOMAIN: usize = 4;

/// The number of servers of other domains that are sampled per layer range.
const SAMPLE_OTHER_DOMAINS: usize = 2;

/// The delay assumed for a link within a domain that no server has reported, in microseconds.
const SAME_DOMAIN_LINK_US: u64 = 300;

/// The delay assumed for a link between domains that no server has reported, in microseconds.
const CROSS_DOMAIN_LINK_US: u64 = 1_000;

/// The factor on the cost of a server that the query penalizes.
const PENALTY_FACTOR: u64 = 8;

/// The factor on the cost of a server whose load report is stale.
const STALE_REPORT_FACTOR: u64 = 2;

/// The load above which a server gets no credit for a cached prefix, in percent of the mean load of
/// the servers sampled from its group.
const PREFIX_CREDIT_LOAD_PERCENT: u32 = 125;

/// The number of words in one block of a cached prefix.
const BLOCK_WORDS: u32 = PREFIX_BLOCK_WORDS as u32;

/// The number of prompt words that a server processes in one step of the prefill.
const WORDS_PER_PREFILL_STEP: u64 = 16;

/// The inputs that the costs of all candidates of one choice share.
#[derive(Clone, Copy, Debug)]
struct CostContext<'a> {
    now: Millis,
    query: &'a ChainQuery<'a>,
    cached: &'a PrefixMatch<'a>,
    stats: ModelStats,
    tokens: u64,
}

/// Chooses chains of servers and learns from the results of attempts on them.
#[derive(Clone, Debug)]
pub struct Router {
    policy: Policy,
    servers: Vec<Option<ServerState>>,
    index: HashMap<ServerName, u16>,
    pub(super) table: Table,
    outliers: Outliers,
    prefixes: PrefixIndex,
    stats: HashMap<ModelName, ModelStats>,
}

impl Router {
    /// Creates a router without servers.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            servers: Vec::new(),
            index: HashMap::new(),
            table: Table::default(),
            outliers: Outliers::default(),
            prefixes: PrefixIndex::default(),
            stats: HashMap::new(),
        }
    }

    /// Replaces the view of the servers; servers that are missing in `inputs` are removed.
    pub fn update<'a>(&mut self, inputs: impl Iterator<Item = ServerInput<'a>> + Clone) {
        let mut changed = false;
        let mut present = vec![false; self.servers.len()];
        for input in inputs.clone() {
            let index = self.index_of(&input);
            present.resize(self.servers.len(), false);
            present[usize::from(index)] = true;
            let server = self.servers[usize::from(index)].as_mut();
            changed |= server.is_some_and(|server| server.update(&input));
        }
        changed |= self.forget_missing(&present);
        inputs.for_each(|input| self.update_links(&input));
        if changed {
            self.table = Table::build(&self.servers);
        }
    }

    fn index_of(&mut self, input: &ServerInput<'_>) -> u16 {
        if let Some(index) = self.index.get(input.name) {
            return *index;
        }
        let free = self.servers.iter().position(Option::is_none);
        let place = free.unwrap_or_else(|| {
            self.servers.push(None);
            self.servers.len() - 1
        });
        let index = u16::try_from(place).expect("a deployment has fewer than 65,536 servers");
        self.servers[place] = Some(ServerState::new(input));
        self.index.insert(input.name.clone(), index);
        index
    }

    fn forget_missing(&mut self, present: &[bool]) -> bool {
        let mut any = false;
        for (slot, present) in self.servers.iter_mut().zip(present) {
            if let Some(server) = slot.take_if(|_| !present) {
                self.index.remove(&server.name);
                any = true;
            }
        }
        any
    }

    fn update_links(&mut self, input: &ServerInput<'_>) {
        let Some(place) = self.index.get(input.name) else {
            return;
        };
        let index = &self.index;
        let Some(server) = self.servers[usize::from(*place)].as_mut() else {
            return;
        };
        server.links.clear();
        let reported = input.report.links_us.iter();
        server.links.extend(reported.filter_map(|(to, us)| index.get(to).map(|to| (*to, *us))));
        server.links.sort_unstable();
    }

    /// Chooses a chain that tiles all layers of the model, if there is one.
    pub fn choose<R: Rng>(
        &mut self,
        now: Millis,
        query: &ChainQuery<'_>,
        rng: &mut R,
    ) -> Option<ChainChoice> {
        let stages = match self.policy {
            Policy::Adaptive => self.adaptive(now, query, rng)?,
            Policy::FixedPipelines | Policy::RoundRobin => self.rotated(now, query)?,
        };
        Some(self.describe_choice(now, query, &stages))
    }

    fn rotated(&mut self, now: Millis, query: &ChainQuery<'_>) -> Option<Stages> {
        let stats = self.stats.entry(query.model.clone()).or_default();
        stats.rotation = stats.rotation.wrapping_add(1);
        let rotation = stats.rotation;
        let groups = self.table.groups(query.model, query.version)?;
        let is_usable = |server| self.is_allowed(now, query, server, false);
        let any_usable = |server| self.is_allowed(now, query, server, true);
        if self.policy == Policy::FixedPipelines {
            fixed::pipeline(groups, query.layers, rotation, is_usable)
                .or_else(|| fixed::pipeline(groups, query.layers, rotation, any_usable))
        } else {
            fixed::round_robin(groups, query.layers, rotation, is_usable)
                .or_else(|| fixed::round_robin(groups, query.layers, rotation, any_usable))
        }
    }

    /// Tries servers that have not failed recently first, then also those that have.
    fn adaptive<R: Rng>(&self, now: Millis, query: &ChainQuery<'_>, rng: &mut R) -> Option<Stages> {
        self.cheapest_of_sample(now, query, false, rng)
            .or_else(|| self.cheapest_of_sample(now, query, true, rng))
    }

    fn cheapest_of_sample<R: Rng>(
        &self,
        now: Millis,
        query: &ChainQuery<'_>,
        with_failed: bool,
        rng: &mut R,
    ) -> Option<Stages> {
        let groups = self.table.groups(query.model, query.version)?;
        let cached = self.prefixes.find(query.prefixes);
        let stats = self.model_stats(query.model);
        let tokens = stats.answer_tokens.min(u64::from(query.tokens)).max(1);
        let cx = CostContext { now, query, cached: &cached, stats, tokens };
        let mut candidates: SmallVec<[Candidate; 64]> = SmallVec::new();
        for (layers, group) in groups {
            let drawn = self.draw(&cx, group, with_failed, rng);
            let mean_load = self.mean_load(&drawn);
            candidates.extend(drawn.iter().map(|server| {
                let cost = self.cost(&cx, *server, mean_load);
                Candidate { server: *server, layers: *layers, cost }
            }));
        }
        let link_cost = |from, to| tokens * self.link_us(now, from, to);
        let path = shortest(&candidates, query.layers, link_cost)?;
        Some(path.iter().map(|i| (candidates[*i].server, candidates[*i].layers)).collect())
    }

    /// Samples servers of a group: some of the own domain, some of others, and those that have the
    /// prefix or the KV cache of the request.
    fn draw<R: Rng>(
        &self,
        cx: &CostContext<'_>,
        group: &Group,
        with_failed: bool,
        rng: &mut R,
    ) -> SmallVec<[u16; 8]> {
        let CostContext { now, query, cached, .. } = *cx;
        let allowed = |server: &u16| self.is_allowed(now, query, *server, with_failed);
        let same_domain = group.in_domain(query.domain);
        let mut drawn = SmallVec::new();
        draw_some(same_domain, SAMPLE_SAME_DOMAIN, allowed, rng, &mut drawn);
        let missing = SAMPLE_SAME_DOMAIN - drawn.len().min(SAMPLE_SAME_DOMAIN);
        let goal = drawn.len() + SAMPLE_OTHER_DOMAINS + missing;
        draw_some(&group.servers, goal, allowed, rng, &mut drawn);
        let extra = cached.servers.iter().copied().chain(self.cache_holders_of(query));
        for server in extra {
            if group.servers.contains(&server) && !drawn.contains(&server) && allowed(&server) {
                drawn.push(server);
            }
        }
        drawn
    }

    fn cache_holders_of(&self, query: &ChainQuery<'_>) -> SmallVec<[u16; 4]> {
        query.cache_holders.iter().filter_map(|name| self.index.get(name).copied()).collect()
    }

    fn is_allowed(
        &self,
        now: Millis,
        query: &ChainQuery<'_>,
        server: u16,
        with_failed: bool,
    ) -> bool {
        let Some(server) = self.server(server) else {
            return false;
        };
        let may_use = with_failed || !server.is_avoided(now);
        may_use && !query.avoid.contains(&server.name)
    }

    fn mean_load(&self, servers: &[u16]) -> u32 {
        let loads = servers.iter().filter_map(|server| self.server(*server));
        let sum: u32 = loads.map(ServerState::load).sum();
        sum / (servers.len().max(1) as u32)
    }

    fn cost(&self, cx: &CostContext<'_>, index: u16, mean_load: u32) -> u64 {
        let CostContext { now, query, cached, stats, tokens } = *cx;
        let Some(server) = self.server(index) else {
            return u64::MAX / 4;
        };
        let step_us = server.step_us() + self.outliers.excess_us(now, Element::Server(index));
        let wait_us = wait_us(server, stats);
        let holds_cache = query.cache_holders.contains(&server.name);
        let limit = (mean_load + 1) * PREFIX_CREDIT_LOAD_PERCENT / 100;
        let has_prefix = cached.servers.contains(&index) && server.load() <= limit;
        let words = if holds_cache {
            0
        } else if has_prefix {
            query.prompt_words.saturating_sub(cached.blocks * BLOCK_WORDS)
        } else {
            query.prompt_words
        };
        let mut cost = tokens * step_us + wait_us + prefill_us(step_us, words);
        if server.is_stale(now) {
            cost *= STALE_REPORT_FACTOR;
        }
        if query.penalized.contains(&server.name) {
            cost *= PENALTY_FACTOR;
        }
        cost
    }

    fn link_us(&self, now: Millis, from: u16, to: u16) -> u64 {
        if from == to {
            return 0;
        }
        let excess = self.outliers.excess_us(now, Element::Link(from, to));
        excess + self.reported_link_us(from, to)
    }

    fn reported_link_us(&self, from: u16, to: u16) -> u64 {
        let (Some(a), Some(b)) = (self.server(from), self.server(to)) else {
            return CROSS_DOMAIN_LINK_US;
        };
        match a.links.binary_search_by_key(&to, |(server, _)| *server) {
            Ok(place) => u64::from(a.links[place].1),
            Err(_) if a.domain == b.domain => SAME_DOMAIN_LINK_US,
            Err(_) => CROSS_DOMAIN_LINK_US,
        }
    }

    fn describe_choice(&self, now: Millis, query: &ChainQuery<'_>, stages: &Stages) -> ChainChoice {
        let stats = self.model_stats(query.model);
        let indices: SmallVec<[u16; 4]> = stages.iter().map(|(server, _)| *server).collect();
        let reported_us = self.reported_step_us(&indices);
        let excess_us = self.corrected_step_us(now, &indices) - reported_us;
        let step_us = reported_us * stats.step_percent / NEUTRAL_PERCENT + excess_us;
        let first_token_us: u64 = indices
            .iter()
            .filter_map(|index| self.server(*index))
            .map(|server| wait_us(server, stats) + prefill_us(server.step_us(), query.prompt_words))
            .sum();
        let first_token_us = first_token_us * stats.first_token_percent / NEUTRAL_PERCENT + step_us;
        ChainChoice {
            chain: stages.iter().filter_map(|(index, layers)| self.hop(*index, *layers)).collect(),
            first_token: Millis(first_token_us.div_ceil(1000)),
            step_us: u32::try_from(step_us).unwrap_or(u32::MAX),
        }
    }

    fn hop(&self, index: u16, layers: LayerRange) -> Option<Hop> {
        let server = self.server(index)?;
        Some(Hop { server: server.name.clone(), address: server.address.clone(), layers })
    }

    /// Returns the time between tokens that follows from the reports, in microseconds.
    fn reported_step_us(&self, chain: &[u16]) -> u64 {
        let steps = chain.iter().filter_map(|index| self.server(*index));
        let links = links_of_cycle(chain).map(|(from, to)| self.reported_link_us(from, to));
        steps.map(ServerState::step_us).sum::<u64>() + links.sum::<u64>()
    }

    /// Returns the time between tokens that follows from the reports and the learned excess times,
    /// in microseconds.
    fn corrected_step_us(&self, now: Millis, chain: &[u16]) -> u64 {
        let servers = chain.iter().map(|s| self.outliers.excess_us(now, Element::Server(*s)));
        let links =
            links_of_cycle(chain).map(|(a, b)| self.outliers.excess_us(now, Element::Link(a, b)));
        self.reported_step_us(chain) + servers.sum::<u64>() + links.sum::<u64>()
    }

    /// Records that an attempt of this host began on a chain.
    pub fn on_start(&mut self, now: Millis, query: &ChainQuery<'_>, chain: &Chain) {
        let indices = self.indices(chain);
        self.count_own_runs(now, &indices, 1);
        self.prefixes.record(query.prefixes, &indices);
    }

    /// Records that an attempt of this host ended on a chain.
    pub fn on_end(&mut self, now: Millis, chain: &Chain, verdict: Verdict<'_>) {
        let indices = self.indices(chain);
        self.count_own_runs(now, &indices, -1);
        match verdict {
            Verdict::Success => {
                for index in indices {
                    if let Some(server) = self.server_mut(index) {
                        server.on_success();
                    }
                }
            }
            Verdict::Failed(name) => self.on_failure(now, name),
            Verdict::Silent | Verdict::Inconclusive => {}
        }
    }

    /// Records that a server failed, so that it is avoided for a while.
    pub fn on_failure(&mut self, now: Millis, name: &ServerName) {
        if let Some(server) = self.index.get(name).copied().and_then(|i| self.server_mut(i)) {
            server.on_failure(now);
        }
    }

    /// Updates the mean answer length and slot time of `model` from a complete answer of one
    /// attempt.
    pub fn on_answer(&mut self, model: &ModelName, tokens: u32, slot_time: Millis) {
        let stats = self.stats.entry(model.clone()).or_default();
        stats.answer_tokens = weighted_average(stats.answer_tokens, u64::from(tokens)).max(1);
        stats.slot_time_ms = weighted_average(stats.slot_time_ms, slot_time.0).max(1);
        stats.has_answers = true;
    }

    /// Updates the correction of the time to the first token from the expected and the observed
    /// time of an attempt.
    pub fn on_first_token(&mut self, model: &ModelName, expected: Millis, observed: Millis) {
        let stats = self.stats.entry(model.clone()).or_default();
        let raw = expected.0.max(1) * NEUTRAL_PERCENT / stats.first_token_percent;
        let percent = (observed.0 * NEUTRAL_PERCENT / raw.max(1)).clamp(20, MAX_CORRECTION_PERCENT);
        stats.first_token_percent = weighted_average(stats.first_token_percent, percent);
    }

    /// Updates the corrections of the time between tokens from `observed_us`, the mean time between
    /// the tokens of an attempt, in microseconds.
    pub fn on_token_interval(
        &mut self,
        now: Millis,
        model: &ModelName,
        chain: &Chain,
        observed_us: u64,
    ) {
        let indices = self.indices(chain);
        if indices.len() != chain.len() {
            return;
        }
        let reported_us = self.reported_step_us(&indices).max(1);
        let stats = self.stats.entry(model.clone()).or_default();
        let expected_us = reported_us * stats.step_percent / NEUTRAL_PERCENT;
        // Caps the sample near the present correction, so that an outlier does not become the norm.
        let cap = stats.step_percent * 5 / 4 + 1;
        let percent =
            (observed_us * NEUTRAL_PERCENT / reported_us).clamp(20, MAX_CORRECTION_PERCENT);
        stats.step_percent = weighted_average(stats.step_percent, percent.min(cap));
        self.outliers.observe(now, &indices, observed_us, expected_us);
    }

    /// Returns the slots and the load of the layer of a model version that has the fewest slots in
    /// total over its servers.
    pub fn narrowest_stage(
        &self,
        model: &ModelName,
        version: &ModelVersion,
        layers: u16,
    ) -> StageCapacity {
        let Some(groups) = self.table.groups(model, version) else {
            return StageCapacity::default();
        };
        let at_layer = |layer: u16| {
            let holding =
                groups.iter().filter(|(range, _)| range.first <= layer && layer < range.end);
            let servers = holding.flat_map(|(_, group)| group.servers.iter());
            let servers = servers.filter_map(|index| self.server(*index));
            servers.fold(StageCapacity::default(), |sum, server| StageCapacity {
                slots: sum.slots + server.slots,
                load: sum.load + server.load(),
            })
        };
        let boundaries = groups.keys().map(|range| range.first).filter(|first| *first < layers);
        let narrowest = boundaries.chain([0]).map(at_layer).min_by_key(|capacity| capacity.slots);
        narrowest.unwrap_or_default()
    }

    /// Returns the expected time to serve a request of at most `tokens` tokens without queueing;
    /// zero before the first complete answer.
    pub fn service_time(&self, model: &ModelName, tokens: u32) -> Millis {
        let stats = self.model_stats(model);
        if !stats.has_answers {
            return Millis::ZERO;
        }
        let share = u64::from(tokens).min(stats.answer_tokens);
        Millis(stats.slot_time_ms * share / stats.answer_tokens)
    }

    /// Returns the policy by which the router chooses chains.
    pub fn policy(&self) -> Policy {
        self.policy
    }

    /// Returns the number of servers in the view.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Returns whether the view has no server.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    /// Returns the memory that the router uses, in bytes, without allocator overhead.
    pub fn memory_bytes(&self) -> usize {
        let servers = self.servers.iter().flatten().map(ServerState::heap_bytes).sum::<usize>();
        servers
            + self.servers.capacity() * size_of::<Option<ServerState>>()
            + self.index.capacity() * size_of::<(ServerName, u16)>()
            + self.outliers.heap_bytes()
            + self.prefixes.heap_bytes()
    }

    fn count_own_runs(&mut self, now: Millis, indices: &[u16], change: i32) {
        for index in indices {
            if let Some(server) = self.server_mut(*index) {
                server.on_own_run(now, change);
            }
        }
    }

    fn indices(&self, chain: &Chain) -> SmallVec<[u16; 4]> {
        chain.iter().filter_map(|hop| self.index.get(&hop.server).copied()).collect()
    }

    fn model_stats(&self, model: &ModelName) -> ModelStats {
        self.stats.get(model).copied().unwrap_or_default()
    }

    fn server(&self, index: u16) -> Option<&ServerState> {
        self.servers.get(usize::from(index))?.as_ref()
    }

    fn server_mut(&mut self, index: u16) -> Option<&mut ServerState> {
        self.servers.get_mut(usize::from(index))?.as_mut()
    }
}

fn prefill_us(step_us: u64, words: u32) -> u64 {
    step_us * u64::from(words).div_ceil(WORDS_PER_PREFILL_STEP)
}
