//! Work in progress, beliefs about servers and the budget of repeats, as routing needs them.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::Rng;
use tokio::sync::Notify;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::budget::RetryBudget;
use yuccanotch_core::forward::budget::RetryBudgetLimits;
use yuccanotch_core::forward::health::Health;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::forward::waiting::WaitQueue;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::engine::AcceleratorKind;
use yuccanotch_core::placement::engine::EngineProfile;
use yuccanotch_core::placement::engine::LayerRange;
use yuccanotch_core::placement::load::Load;
use yuccanotch_core::placement::load::ServerLoads;
use yuccanotch_core::placement::path;
use yuccanotch_core::placement::path::ChainNeeds;
use yuccanotch_core::placement::path::LayerHolder;
use yuccanotch_core::placement::path::NoChain;

use crate::journal::Journal;
use crate::views::Views;

/// The cost of a server in another failure domain, in requests in progress.
const AWAY_REQUESTS: f64 = 2.0;

/// Hosts that move requests off the same lost server at the same time, in the mean: each sees only
/// its own moves.
const MOVING_HOSTS: f64 = 3.0;
/// The cost of a recent fault of a server, in requests in progress.
const FAULT_REQUESTS: f64 = 2.0;

/// The servers that a request goes to.
#[derive(Clone, Debug)]
pub enum Target {
    /// One server.
    Server {
        /// The server.
        server: ServerName,
        /// Where it listens.
        address: SocketAddrV4,
    },
    /// A chain of model servers.
    Chain(Rc<Chain>),
}

impl Target {
    /// Returns the server that receives the request.
    pub fn server(&self) -> &ServerName {
        match self {
            Self::Server { server, .. } => server,
            Self::Chain(chain) => &chain.first().server,
        }
    }

    /// Returns where the request is sent.
    pub fn address(&self) -> SocketAddrV4 {
        match self {
            Self::Server { address, .. } => *address,
            Self::Chain(chain) => chain.first().address,
        }
    }
}

/// The servers that may get a request.
#[derive(Clone, Copy, Debug)]
pub enum Among<'a> {
    /// All of the service, those that it has been sent to last.
    All {
        /// Servers that it has been sent to.
        tried: &'a [ServerName],
    },
    /// Only those that it has been sent to.
    Known(&'a [ServerName]),
}

/// Routing state of the host.
pub struct Traffic {
    clock: Clock,
    domain: DomainName,
    journal: Rc<Journal>,
    views: Rc<Views>,
    repeats: Cell<RetryBudgetLimits>,
    /// Loads of model servers.
    pub loads: RefCell<ServerLoads>,
    /// Beliefs about servers.
    pub health: RefCell<Health>,
    plain: RefCell<HashMap<ServerName, u32>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    waiting: RefCell<HashMap<ServiceName, WaitQueue>>,
    /// Told when work ends.
    pub room: Notify,
}

impl Traffic {
    /// Creates an empty state.
    pub fn new(
        clock: Clock,
        domain: DomainName,
        journal: Rc<Journal>,
        views: Rc<Views>,
        repeats: RetryBudgetLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            domain,
            journal,
            views,
            repeats: Cell::new(repeats),
            loads: RefCell::default(),
            health: RefCell::default(),
            plain: RefCell::default(),
            budgets: RefCell::default(),
            waiting: RefCell::default(),
            room: Notify::new(),
        })
    }

    /// Chooses where a request of `service` goes; nothing when no server has room.
    ///
    /// `among` tells which servers may get it.
    pub fn choose(&self, service: &Service, tokens: f64, among: Among<'_>) -> Option<Target> {
        match &service.engine {
            Some(profile) => {
                let allowed_first = match among {
                    Among::All { .. } => None,
                    Among::Known(tried) => Some(tried),
                };
                let need =
                    ChainNeeds { domain: &self.domain, tokens, current: None, allowed_first };
                self.choose_chain(service, profile, need).map(|c| Target::Chain(Rc::new(c)))
            }
            None => self.choose_server(service, among),
        }
    }

    /// Returns whether one of `servers` takes requests.
    pub fn is_listed(&self, servers: &[ServerName]) -> bool {
        let list = self.views.servers();
        servers.iter().any(|s| list.get(s).is_some_and(|e| e.state == ServerState::Ready))
    }

    /// Chooses another chain for a request that has `now`, with the same first part.
    pub fn rechoose(&self, service: &Service, tokens: f64, now: &Chain) -> Option<Chain> {
        let profile = service.engine.as_ref()?;
        let need =
            ChainNeeds { domain: &self.domain, tokens, current: Some(now), allowed_first: None };
        self.choose_chain(service, profile, need).filter(|chain| chain != now)
    }

    fn choose_chain(
        &self,
        service: &Service,
        profile: &EngineProfile,
        need: ChainNeeds<'_>,
    ) -> Option<Chain> {
        let holders = self.holders(service, profile);
        path::choose_chain(profile, &holders, need)
    }

    /// Describes what keeps a request of `service` from being sent.
    pub fn lacking(&self, service: &Service, tokens: f64) -> String {
        let Some(profile) = &service.engine else {
            return "no server".to_owned();
        };
        let holders = self.holders(service, profile);
        let need = ChainNeeds { domain: &self.domain, tokens, current: None, allowed_first: None };
        match path::explain_no_chain(profile, &holders, need) {
            NoChain::LayerUnavailable { layer, holders } => {
                format!("layer {layer} of {holders} holders")
            }
            NoChain::FirstServerUnavailable { holders } => {
                format!("a free slot at {holders} first servers")
            }
            NoChain::RangesDoNotMeet => "ranges that meet".to_owned(),
        }
    }

    /// Notes that the servers of `new` that `old` does not have read a moved request anew.
    pub fn on_moved(&self, service: &Service, old: &Chain, new: &Chain, tokens: f64) {
        let Some(profile) = &service.engine else {
            return;
        };
        let now = self.clock.now();
        let servers = self.views.servers();
        let mut loads = self.loads.borrow_mut();
        for part in new.stages().iter().filter(|p| !old.stages().contains(p)) {
            let kind = servers.get(&part.server).and_then(|e| e.engine.as_ref());
            if let Some(kind) = kind.and_then(|e| profile.kind(&e.kind)) {
                let per_ms =
                    prefill_tokens_per_ms(profile, kind, part.layers, loads.total(&part.server));
                let tokens = tokens * MOVING_HOSTS;
                loads.add_prefill(now, &part.server, tokens, per_ms);
            }
        }
    }

    fn holders(&self, service: &Service, profile: &EngineProfile) -> Vec<LayerHolder> {
        let now = self.clock.now();
        let health = self.health.borrow();
        let loads = self.loads.borrow();
        let servers = self.views.servers();
        servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter(|e| health.is_usable(now, &e.id))
            .filter_map(|e| {
                let engine = e.engine.as_ref()?;
                let kind = profile.kind(&engine.kind)?;
                let layers = engine.layers?;
                let load = loads.total(&e.id);
                let per_ms = prefill_tokens_per_ms(profile, kind, layers, load);
                Some(LayerHolder {
                    server: e.id.clone(),
                    address: e.address,
                    domain: e.domain.clone(),
                    kind: kind.clone(),
                    layers,
                    load,
                    prefill_backlog_ms: loads.prefill_backlog(now, &e.id, per_ms) / per_ms,
                    slowness: health.slowness(now, &e.id),
                    faults: health.faults(now, &e.id),
                })
            })
            .collect()
    }

    fn choose_server(&self, service: &Service, among: Among<'_>) -> Option<Target> {
        let (tried, only_tried) = match among {
            Among::All { tried } => (tried, false),
            Among::Known(tried) => (tried, true),
        };
        let now = self.clock.now();
        let health = self.health.borrow();
        let plain = self.plain.borrow();
        let servers = self.views.servers();
        let mut rng = rand::rng();
        let cost = |e: &ServerEntry| {
            let active = f64::from(plain.get(&e.id).copied().unwrap_or(0));
            let away = if e.domain == self.domain { 0.0 } else { AWAY_REQUESTS };
            let suspect = if health.is_usable(now, &e.id) { 0.0 } else { 1e3 };
            let again = if tried.contains(&e.id) { 1e6 } else { 0.0 };
            let faults = FAULT_REQUESTS * health.faults(now, &e.id);
            active + away + suspect + again + faults
        };
        servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter(|e| !only_tried || tried.contains(&e.id))
            .map(|e| (cost(e) + rng.random::<f64>() * 0.5, e))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| Target::Server { server: e.id.clone(), address: e.address })
    }

    /// Counts a request in progress until the returned value is dropped.
    pub fn begin(self: &Rc<Self>, target: &Target, tokens: f64) -> InProgress {
        match target {
            Target::Chain(chain) => self.loads.borrow_mut().add_request(chain, tokens),
            Target::Server { server, .. } => {
                *self.plain.borrow_mut().entry(server.clone()).or_default() += 1;
            }
        }
        InProgress { traffic: self.clone(), target: target.clone(), tokens }
    }

    fn end(&self, target: &Target, tokens: f64) {
        match target {
            Target::Chain(chain) => self.loads.borrow_mut().remove_request(chain, tokens),
            Target::Server { server, .. } => {
                let mut plain = self.plain.borrow_mut();
                if let Some(active) = plain.get_mut(server) {
                    *active = active.saturating_sub(1);
                    if *active == 0 {
                        plain.remove(server);
                    }
                }
            }
        }
        self.room.notify_waiters();
    }

    /// Notes a failure of a server.
    pub fn suspect(&self, server: &ServerName, why: &str) {
        let now = self.clock.now();
        let was = !self.health.borrow().is_usable(now, server);
        let span = self.health.borrow_mut().on_failure(now, server);
        if !was {
            self.journal.line(
                Event::ServerSuspected,
                &[("server", server), ("why", &why), ("for_ms", &span.0)],
            );
        }
    }

    /// Notes a failure of the server at `address`.
    pub fn suspect_address(&self, address: SocketAddrV4, why: &str) {
        if let Some(id) = self.server_at(address) {
            self.suspect(&id, why);
        }
    }

    /// Notes that a server declined a request: the one at `at_fault`, or else the one asked.
    /// Returns which one it was.
    pub fn declined(&self, asked: &ServerName, at_fault: Option<SocketAddrV4>) -> ServerName {
        let id = at_fault.and_then(|a| self.server_at(a)).unwrap_or_else(|| asked.clone());
        self.health.borrow_mut().on_declined(self.clock.now(), &id);
        id
    }

    /// Notes by what factor the server at `address` says that it is slow.
    pub fn slowness(&self, address: SocketAddrV4, slowness: f64) {
        if let Some(id) = self.server_at(address) {
            let now = self.clock.now();
            self.health.borrow_mut().on_slowness(now, &id, slowness);
        }
    }

    fn server_at(&self, address: SocketAddrV4) -> Option<ServerName> {
        self.views.servers().iter().find(|e| e.address == address).map(|e| e.id.clone())
    }

    /// Notes that a server spoiled or lost an answer.
    pub fn fault(&self, server: &ServerName) {
        self.health.borrow_mut().on_fault(self.clock.now(), server);
    }

    /// Notes that the servers of a target did their work.
    pub fn sound_target(&self, target: &Target) {
        match target {
            Target::Server { server, .. } => self.sound(server),
            Target::Chain(chain) => chain.stages().iter().for_each(|p| self.sound(&p.server)),
        }
    }

    fn sound(&self, server: &ServerName) {
        if self.health.borrow_mut().on_success(self.clock.now(), server) {
            self.journal.line(Event::ServerCleared, &[("server", server)]);
        }
    }

    /// Replaces the bounds on repeats.
    pub fn set_repeats(&self, repeats: RetryBudgetLimits) {
        self.repeats.set(repeats);
        self.budgets.borrow_mut().values_mut().for_each(|b| b.set_limits(repeats));
    }

    /// Counts a request for the budget of repeats.
    pub fn on_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.budget(service, |b| b.on_request(now));
    }

    /// Takes one repeat out of the budget of `service`, shared by `hosts` hosts.
    pub fn take_repeat(&self, service: &ServiceName, hosts: usize) -> bool {
        let now = self.clock.now();
        self.budget(service, |b| b.try_take_retry(now, hosts))
    }

    fn budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget =
            budgets.entry(service.clone()).or_insert_with(|| RetryBudget::new(self.repeats.get()));
        f(budget)
    }

    /// Calls `f` with the requests of `service` that wait for room.
    pub fn waiting<T>(&self, service: &ServiceName, f: impl FnOnce(&mut WaitQueue) -> T) -> T {
        let mut waiting = self.waiting.borrow_mut();
        f(waiting.entry(service.clone()).or_default())
    }

    /// Lets the time pass.
    pub fn on_tick(&self, now: Millis) {
        self.loads.borrow_mut().on_tick(now);
    }
}

fn prefill_tokens_per_ms(
    profile: &EngineProfile,
    kind: &AcceleratorKind,
    layers: LayerRange,
    load: Load,
) -> f64 {
    let context = f64::from(load.token_layers) / f64::from(layers.len().max(1));
    profile.prefill_tokens_per_ms(kind, layers.len(), f64::from(load.active), context)
}

/// A request in progress at its target.
pub struct InProgress {
    traffic: Rc<Traffic>,
    target: Target,
    tokens: f64,
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.traffic.end(&self.target, self.tokens);
    }
}
