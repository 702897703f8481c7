//! Choice of a chain: over a sample of the servers, or in rotation.

use rand::Rng;
use smallvec::SmallVec;

use super::cost::prefill_us;
use super::cost::CostContext;
use super::Router;
use crate::clock::Millis;
use crate::engine::Hop;
use crate::engine::LayerRange;
use crate::route::fixed;
use crate::route::fixed::Stages;
use crate::route::messages::ChainChoice;
use crate::route::messages::ChainQuery;
use crate::route::messages::Policy;
use crate::route::path::shortest;
use crate::route::path::Candidate;
use crate::route::sample::draw_some;
use crate::route::stats::wait_us;
use crate::route::stats::NEUTRAL_PERCENT;
use crate::route::table::Group;

/// The number of servers of the host's own domain that are sampled per layer range.
const SAMPLE_SAME_DOMAIN: usize = 4;

/// The number of servers of other domains that are sampled per layer range.
const SAMPLE_OTHER_DOMAINS: usize = 2;

impl Router {
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
}
