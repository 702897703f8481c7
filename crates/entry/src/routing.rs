//! Router of this host, kept up to date with the view of the servers, and retry policy of callers'
//! requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::retry::FailedAttempt;
use yuccanotch_core::retry::RetryDecision;
use yuccanotch_core::retry::RetryPolicy;
use yuccanotch_core::retry::RetrySettings;
use yuccanotch_core::route::ChainChoice;
use yuccanotch_core::route::ChainQuery;
use yuccanotch_core::route::Policy;
use yuccanotch_core::route::Router;
use yuccanotch_core::route::ServerInput;
use yuccanotch_core::route::StageCapacity;
use yuccanotch_core::route::Verdict;

use crate::fleet::FleetView;

/// Shortest time between two updates of the router from the view of the servers.
const MIN_UPDATE_INTERVAL: Millis = Millis(20);

/// Base of the backoff before an answer is resumed: the longest wait before the `n`th resumption is
/// this times 2^`n`; the first one does not wait.
const RESUME_BACKOFF: Millis = Millis(20);

/// Longest wait before any resumption of an answer.
const MAX_RESUME_BACKOFF: Millis = Millis(500);

/// The router and the retry policy of one host, behind a lock.
#[derive(Debug)]
pub struct Routing {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    router: Router,
    retry: RetryPolicy,
    rng: Pcg64Mcg,
    view: Option<Arc<FleetView>>,
    updated_at: Millis,
}

/// Result of an attempt, from which the router learns.
#[derive(Clone, Copy, Debug)]
pub struct AttemptResult<'a> {
    /// Model.
    pub model: &'a ModelName,
    /// Chain on which the attempt ran.
    pub chain: &'a Chain,
    /// What the result says about the servers of the chain.
    pub verdict: Verdict<'a>,
    /// Mean time between tokens in microseconds, if there were enough tokens.
    pub pace_us: Option<u64>,
    /// Number of tokens and duration, if this attempt alone produced a complete answer.
    pub complete_answer: Option<(u32, Millis)>,
}

impl Routing {
    /// Creates a router that knows no servers yet.
    pub fn new(policy: Policy, seed: u64) -> Self {
        let state = State {
            router: Router::new(policy),
            retry: RetryPolicy::new(RetrySettings::default()),
            rng: Pcg64Mcg::seed_from_u64(seed),
            view: None,
            updated_at: Millis::ZERO,
        };
        Self { state: Mutex::new(state) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a new request towards the retry budget.
    pub fn on_request(&self, now: Millis) {
        self.lock().retry.on_request(now);
    }

    /// Decides whether to retry after a failed attempt, when no token of the answer was released.
    pub fn on_failed_attempt(&self, now: Millis, failed: FailedAttempt) -> RetryDecision {
        let state = &mut *self.lock();
        state.retry.on_failure(now, failed, &mut state.rng)
    }

    /// Returns a random wait before the `number`th resumption of an answer, counted from 1.
    pub fn resume_wait(&self, number: u32) -> Millis {
        if number <= 1 {
            return Millis::ZERO;
        }
        let max_wait = Millis(RESUME_BACKOFF.0 << number.min(8)).min(MAX_RESUME_BACKOFF);
        Millis(self.lock().rng.random_range(0..=max_wait.0))
    }

    /// Chooses a chain for an attempt; returns `None` if no chain covers the model.
    pub fn choose(
        &self,
        now: Millis,
        view: Arc<FleetView>,
        query: &ChainQuery<'_>,
    ) -> Option<ChainChoice> {
        let state = &mut *self.lock();
        state.update(now, view);
        state.router.choose(now, query, &mut state.rng)
    }

    /// Records the start of an attempt.
    pub fn on_start(&self, now: Millis, query: &ChainQuery<'_>, chain: &Chain) {
        self.lock().router.on_start(now, query, chain);
    }

    /// Updates the router's estimates from the time to the first token.
    pub fn on_first_token(&self, model: &ModelName, expected: Millis, observed: Millis) {
        self.lock().router.on_first_token(model, expected, observed);
    }

    /// Updates the router's estimates from the pace of a slow chain whose attempt still runs.
    pub fn on_slow_chain(&self, now: Millis, model: &ModelName, chain: &Chain, pace_us: u64) {
        self.lock().router.on_token_interval(now, model, chain, pace_us);
    }

    /// Records the result of an attempt.
    pub fn on_end(&self, now: Millis, result: &AttemptResult<'_>) {
        let router = &mut self.lock().router;
        router.on_end(now, result.chain, result.verdict);
        if let Some(pace_us) = result.pace_us {
            router.on_token_interval(now, result.model, result.chain, pace_us);
        }
        if let Some((tokens, duration)) = result.complete_answer {
            router.on_answer(result.model, tokens, duration);
        }
    }

    /// Returns the version that new requests to a model run on.
    pub fn version(
        &self,
        now: Millis,
        view: Arc<FleetView>,
        model: &ModelName,
        declared: &ModelVersion,
        layers: u16,
    ) -> ModelVersion {
        let state = &mut *self.lock();
        state.update(now, view);
        state.router.version(model, declared, layers)
    }

    /// Returns the capacity of the stage of a model version that can run the fewest requests.
    pub fn places(
        &self,
        now: Millis,
        view: Arc<FleetView>,
        model: &ModelName,
        version: &ModelVersion,
        layers: u16,
    ) -> StageCapacity {
        let state = &mut *self.lock();
        state.update(now, view);
        state.router.narrowest_stage(model, version, layers)
    }

    /// Returns the expected time to serve a request that does not wait in a queue.
    pub fn service_time(&self, model: &ModelName, tokens: u32) -> Millis {
        self.lock().router.service_time(model, tokens)
    }

    /// Records that a server failed outside of an attempt.
    pub fn on_failure(&self, now: Millis, server: &ServerName) {
        self.lock().router.on_failure(now, server);
    }
}

impl State {
    fn update(&mut self, now: Millis, view: Arc<FleetView>) {
        let is_same = self.view.as_ref().is_some_and(|seen| Arc::ptr_eq(seen, &view));
        let is_early = self.view.is_some() && now.since(self.updated_at) < MIN_UPDATE_INTERVAL;
        if is_same || is_early {
            return;
        }
        let engines = view.servers.values().filter_map(|server| {
            Some(ServerInput {
                name: &server.name,
                domain: &server.domain,
                address: &server.address,
                report: server.report.as_ref()?,
                reported_at: server.reported_at,
                leaving: server.leaving,
                suspected: server.suspected,
            })
        });
        self.router.update(engines);
        self.view = Some(view);
        self.updated_at = now;
    }
}
