//! Costs of servers and links, from load reports and from what the router has learned.

use super::Router;
use crate::clock::Millis;
use crate::engine::PREFIX_BLOCK_WORDS;
use crate::route::messages::ChainQuery;
use crate::route::outlier::Element;
use crate::route::path::links_of_cycle;
use crate::route::prefix::PrefixMatch;
use crate::route::server::ServerState;
use crate::route::stats::wait_us;
use crate::route::stats::ModelStats;

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
pub(super) struct CostContext<'a> {
    pub(super) now: Millis,
    pub(super) query: &'a ChainQuery<'a>,
    pub(super) cached: &'a PrefixMatch<'a>,
    pub(super) stats: ModelStats,
    pub(super) tokens: u64,
}

impl Router {
    /// Returns the cost of a server for a request, in microseconds.
    pub(super) fn cost(&self, cx: &CostContext<'_>, index: u16, mean_load: u32) -> u64 {
        let CostContext { now, query, cached, stats, tokens } = *cx;
        let Some(server) = self.server(index) else {
            return u64::MAX / 4;
        };
        let step_us = server.step_us() + self.outliers.excess_us(now, Element::Server(index));
        let wait_us = wait_us(server, stats);
        let limit = (mean_load + 1) * PREFIX_CREDIT_LOAD_PERCENT / 100;
        let words = if query.cache_holders.contains(&server.name) {
            0
        } else if cached.servers.contains(&index) && server.load() <= limit {
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

    /// Returns the mean load of servers.
    pub(super) fn mean_load(&self, servers: &[u16]) -> u32 {
        let loads = servers.iter().filter_map(|server| self.server(*server));
        let sum: u32 = loads.map(ServerState::load).sum();
        sum / (servers.len().max(1) as u32)
    }

    /// Returns the delay of a link, the learned excess included, in microseconds.
    pub(super) fn link_us(&self, now: Millis, from: u16, to: u16) -> u64 {
        if from == to {
            return 0;
        }
        let excess = self.outliers.excess_us(now, Element::Link(from, to));
        excess + self.reported_link_us(from, to)
    }

    /// Returns the time between tokens that follows from the reports, in microseconds.
    pub(super) fn reported_step_us(&self, chain: &[u16]) -> u64 {
        let steps = chain.iter().filter_map(|index| self.server(*index));
        let links = links_of_cycle(chain).map(|(from, to)| self.reported_link_us(from, to));
        steps.map(ServerState::step_us).sum::<u64>() + links.sum::<u64>()
    }

    /// Returns the time between tokens that follows from the reports and the learned excess times,
    /// in microseconds.
    pub(super) fn corrected_step_us(&self, now: Millis, chain: &[u16]) -> u64 {
        let servers = chain.iter().map(|s| self.outliers.excess_us(now, Element::Server(*s)));
        let links =
            links_of_cycle(chain).map(|(a, b)| self.outliers.excess_us(now, Element::Link(a, b)));
        self.reported_step_us(chain) + servers.sum::<u64>() + links.sum::<u64>()
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
}

/// Returns the time to process `words` words of a prompt, in microseconds.
pub(super) fn prefill_us(step_us: u64, words: u32) -> u64 {
    step_us * u64::from(words).div_ceil(WORDS_PER_PREFILL_STEP)
}
