//! Choice of the chain for the next attempt, and the wait for one.

use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::reason::RefusalReason;
use yuccanotch_core::route::ChainChoice;
use yuccanotch_core::route::ChainQuery;
use yuccanotch_core::stream::Event;

use super::Runner;
use crate::fleet::ServerView;

/// Time between two tries to choose a chain while none is available.
const CHAIN_POLL_INTERVAL: Millis = Millis(50);

/// Longest wait for a chain while no attempt of the request may have run.
const MAX_CHAIN_WAIT: Millis = Millis(1_000);

/// Longest wait for a chain while a server that holds layers of the model does not answer, and no
/// attempt of the request may have run.
const MAX_RESTART_WAIT: Millis = Millis(5_000);

/// Longest wait for a chain after an attempt that may have run.
const MAX_RESUME_WAIT: Millis = Millis(15_000);

impl Runner<'_> {
    /// Starts an attempt; waits for a chain when none is available.
    pub(super) fn start_attempt(&mut self) {
        let started = self.now();
        loop {
            let now = self.now();
            if self.tracker.is_quarantined() {
                return self.give_up(RefusalReason::Quarantined);
            }
            if let Some(choice) = self.choose_chain(now) {
                if self.tracker.try_start(servers_of(&choice.chain)) {
                    return self.start_attempt_on(self.now(), choice);
                }
            }
            if self.switch_to_serving_version() {
                continue;
            }
            if let Some(reason) = self.chain_wait_refusal(now, started) {
                return self.give_up(reason);
            }
            std::thread::sleep(CHAIN_POLL_INTERVAL.to_duration());
            if self.sink.is_gone() {
                return self.handle(Event::CallerGone);
            }
        }
    }

    /// Chooses a chain, without the servers that failed this request if possible.
    pub(super) fn choose_chain(&self, now: Millis) -> Option<ChainChoice> {
        let view = self.host.fleet.view();
        let choose = |avoid: &[ServerName]| {
            let query = ChainQuery { avoid, ..self.query() };
            self.host.routing.choose(now, view.clone(), &query)
        };
        // Servers that failed this request are used again when there is no other chain. Servers
        // that the quarantine excludes are not, since a request that is suspected of crashing
        // servers must not run beside another such request, and an attempt on a crashed server is
        // lost.
        let excluded: Vec<ServerName> = self.tracker.excluded_servers().into_iter().collect();
        let avoid: Vec<ServerName> = self.failed_servers.iter().chain(&excluded).cloned().collect();
        choose(&avoid).or_else(|| choose(&excluded))
    }

    /// Returns the query for the chain of the next attempt.
    pub(super) fn query(&self) -> ChainQuery<'_> {
        let released = self.stream.released().len() as u32;
        ChainQuery {
            model: &self.job.model,
            version: self.stream.version(),
            layers: self.job.layers,
            domain: &self.host.settings.domain,
            prefixes: &self.prefixes,
            prompt_words: self.prompt_words + released,
            tokens: self.job.max_tokens.saturating_sub(released),
            avoid: &self.failed_servers,
            penalized: &self.penalized_servers,
            cache_holders: self.stream.kv_sources(),
        }
    }

    /// Returns why the wait for a chain that began at `started` has to end now, if it has to.
    fn chain_wait_refusal(&self, now: Millis, started: Millis) -> Option<RefusalReason> {
        if now >= self.job.deadline {
            return Some(RefusalReason::DeadlineExceeded);
        }
        let has_begun = !self.stream.released().is_empty();
        let (limit, reason) = if has_begun {
            (MAX_RESUME_WAIT, RefusalReason::VersionGone)
        } else if self.may_have_run {
            // The servers of a crashed stage need time to restart.
            (MAX_RESUME_WAIT, RefusalReason::NoChain)
        } else if self.has_silent_server() {
            (MAX_RESTART_WAIT, RefusalReason::NoChain)
        } else {
            (MAX_CHAIN_WAIT, RefusalReason::NoChain)
        };
        (now.since(started) >= limit).then_some(reason)
    }

    /// Returns whether a server that holds layers of the request's model version crashed lately or is
    /// suspected not to answer.
    fn has_silent_server(&self) -> bool {
        let holds_model = |holding: &Holding| {
            holding.model == self.job.model && holding.version == *self.stream.version()
        };
        let view = self.host.fleet.view();
        let crashed = self.tracker.crashed_servers();
        let is_silent = |server: &&ServerView| server.suspected || crashed.contains(&server.name);
        view.servers.values().filter(is_silent).any(|server| {
            server.report.as_ref().is_some_and(|report| report.holdings.iter().any(holds_model))
        })
    }

    /// Switches to the version on which new requests run now, unless a token was released; returns
    /// whether the version changed.
    fn switch_to_serving_version(&mut self) -> bool {
        let Some(active) = self.host.configuration.current() else {
            return false;
        };
        let Some(model) = active.declaration.models.get(&self.job.model) else {
            return false;
        };
        let version = self.host.serving_version(&self.job.model, model);
        let is_other = *self.stream.version() != version;
        is_other && model.layers == self.job.layers && self.stream.change_version(&version)
    }
}

/// Returns the servers of a chain in order.
pub(super) fn servers_of(chain: &Chain) -> impl Iterator<Item = ServerName> + '_ {
    chain.iter().map(|hop| hop.server.clone())
}
