//! The state that routing decisions use: requests in progress, the health of servers and the retry
//! budgets.

mod crossings;
mod records;
mod reservations;
mod target;

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::SocketAddrV4;
use std::rc::Rc;

use rand::Rng;
use tokio::sync::Notify;
use yuccanotch_core::admit::reservation::Reservation;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::budget::RetryBudget;
use yuccanotch_core::forward::budget::RetryBudgetLimits;
use yuccanotch_core::forward::health::Health;
use yuccanotch_core::forward::pauses::Pauses;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerList;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::forward::waiting::WaitQueue;
use yuccanotch_core::limits::ServerLimits;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;
use yuccanotch_core::peering::observations::short_hash;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::crossing::CrossingBucket;
use yuccanotch_core::placement::engine::EngineProfile;
use yuccanotch_core::placement::load::PendingPrefill;
use yuccanotch_core::placement::load::ServerLoads;
use yuccanotch_core::placement::path::ChainNeeds;
use yuccanotch_core::placement::path::LayerHolder;
use yuccanotch_core::placement::shortage;
use yuccanotch_core::placement::shortage::NoChain;

use crate::event_log::EventLog;
use crate::links::Links;
use crate::pool::Pool;
pub use crate::routing::reservations::Ranked;
pub use crate::routing::target::Candidates;
pub use crate::routing::target::InProgress;
pub use crate::routing::target::RequestTokens;
pub use crate::routing::target::Target;
use crate::views::Views;

/// The extra cost of a plain server in another failure domain, in requests in progress.
const OTHER_DOMAIN_COST: f64 = 2.0;
/// The extra cost of a plain server for each recent fault, in requests in progress.
const FAULT_COST: f64 = 2.0;

/// The state that routing decisions of the host use.
pub struct RoutingState {
    clock: Clock,
    domain: DomainName,
    event_log: Rc<EventLog>,
    views: Rc<Views>,
    links: Rc<Links>,
    pool: Rc<Pool>,
    retry_limits: Cell<RetryBudgetLimits>,
    /// The loads of model servers, summed over all hosts.
    pub loads: RefCell<ServerLoads>,
    /// The health of servers as this host knows it.
    pub health: RefCell<Health>,
    /// The servers that have asked this host for a pause.
    pub pauses: RefCell<Pauses>,
    /// The rates that servers name.
    pub limits: RefCell<ServerLimits>,
    // Requests of this host in progress at each plain server.
    plain_active: RefCell<HashMap<ServerName, u32>>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    // The allowances for domain crossings, of services whose link is configured.
    crossings: RefCell<HashMap<ServiceName, CrossingBucket>>,
    waiting: RefCell<HashMap<ServiceName, WaitQueue>>,
    reservations: RefCell<HashMap<ServiceName, Reservation>>,
    // The number of hosts believed alive, this one included.
    hosts: Cell<usize>,
    // The failure domains of which nothing is heard.
    lost_domains: RefCell<BTreeSet<DomainName>>,
    /// Notified when a request ends or leaves a wait queue, since another one may now have room.
    pub capacity_freed: Notify,
}

impl RoutingState {
    /// Creates an empty state.
    pub fn new(
        clock: Clock,
        domain: DomainName,
        event_log: Rc<EventLog>,
        views: Rc<Views>,
        links: Rc<Links>,
        pool: Rc<Pool>,
        retry_limits: RetryBudgetLimits,
    ) -> Rc<Self> {
        Rc::new(Self {
            clock,
            domain,
            event_log,
            views,
            links,
            pool,
            retry_limits: Cell::new(retry_limits),
            loads: RefCell::default(),
            health: RefCell::default(),
            pauses: RefCell::default(),
            limits: RefCell::default(),
            plain_active: RefCell::default(),
            budgets: RefCell::default(),
            crossings: RefCell::default(),
            waiting: RefCell::default(),
            reservations: RefCell::default(),
            hosts: Cell::new(1),
            lost_domains: RefCell::default(),
            capacity_freed: Notify::new(),
        })
    }

    /// Chooses the server or chain that a request of `service` is sent to; returns `None` when no
    /// server has room for it.
    ///
    /// `tokens` are the tokens of the request, `target_latency` that of its route, and `candidates` the
    /// servers that may receive it.
    pub fn choose_target(
        &self,
        service: &Service,
        tokens: RequestTokens,
        target_latency: Millis,
        candidates: Candidates<'_>,
    ) -> Option<Target> {
        match &service.engine {
            Some(profile) => {
                let allowed_first = match candidates {
                    Candidates::All { .. } | Candidates::Untried { .. } => None,
                    Candidates::Tried(tried) => Some(tried),
                };
                // Behind a longer backlog the first event is late at any rate.
                let max_prefill_backlog_ms = Some(target_latency.0 as f64);
                let needs = ChainNeeds {
                    allowed_first,
                    max_prefill_backlog_ms,
                    ..self.chain_needs(tokens)
                };
                let mut holders = self.collect_holders(service, profile, None);
                if let Candidates::Untried { tried } = candidates {
                    holders.iter_mut().for_each(|h| h.may_begin &= !tried.contains(&h.server));
                }
                let chain = self.with_chooser(service, profile, &holders, tokens, |chooser| {
                    chooser.choose(needs)
                });
                chain.map(|c| Target::Chain(Rc::new(c)))
            }
            None => self.choose_server(service, candidates),
        }
    }

    /// Returns whether one of `servers` is listed as ready.
    pub fn is_listed(&self, servers: &[ServerName]) -> bool {
        let list = self.views.servers();
        servers.iter().any(|s| list.get(s).is_some_and(|e| e.state == ServerState::Ready))
    }

    /// Returns whether a server at which requests of `service` may begin is listed beside those in
    /// `tried`.
    pub fn lists_other(&self, service: &Service, tried: &[ServerName]) -> bool {
        let servers = self.views.servers();
        let mut first = self.first_servers(&servers, service);
        first.any(|entry| !tried.contains(&entry.id))
    }

    /// Chooses another chain for a request that runs on the chain `now`. The first server stays the
    /// same. No prefill backlog excludes a server: a detour over other failure domains costs a
    /// stream more than the wait, which is part of the cost.
    pub fn choose_other_chain(
        &self,
        service: &Service,
        tokens: RequestTokens,
        now: &Chain,
    ) -> Option<Chain> {
        let profile = service.engine.as_ref()?;
        let needs = self.chain_needs(tokens);
        let holders = self.collect_holders(service, profile, Some(now));
        let chain = self.with_chooser(service, profile, &holders, tokens, |chooser| {
            chooser.choose_other(needs, now)
        });
        chain.filter(|chain| chain != now)
    }

    /// Returns the requirements of a request that begins anywhere and may cross domains.
    fn chain_needs(&self, tokens: RequestTokens) -> ChainNeeds<'_> {
        ChainNeeds {
            domain: &self.domain,
            tokens: tokens.held,
            current: None,
            allowed_first: None,
            may_cross: true,
            max_prefill_backlog_ms: None,
            spread_seed: Some(rand::random()),
        }
    }

    /// Returns whether a request may begin at the server as far as this host's links and the rate
    /// that the server names tell.
    fn may_begin(&self, server: &ServerName, address: SocketAddrV4) -> bool {
        let links = self.links.state();
        let is_reached =
            !links.is_cut(server) || links.may_begin(server, self.pool.has_idle(address));
        let hash = short_hash(server.as_str());
        is_reached && self.limits.borrow().may_send(self.clock.now(), hash)
    }

    /// Returns the ready servers at which requests of `service` may begin.
    fn first_servers<'a>(
        &self,
        servers: &'a ServerList,
        service: &'a Service,
    ) -> impl Iterator<Item = &'a ServerEntry> {
        servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter(|e| e.begins_requests())
    }

    /// Returns whether all servers at which a request of `service` could begin name a rate of which
    /// this host has no share.
    pub fn lacks_share(&self, service: &Service) -> bool {
        let limits = self.limits.borrow();
        if limits.count() == 0 {
            return false;
        }
        let servers = self.views.servers();
        let mut first = self.first_servers(&servers, service).peekable();
        first.peek().is_some() && !first.any(|e| limits.has_share(short_hash(e.id.as_str())))
    }

    /// Returns whether this host reaches no server at which a request of `service` could begin: all
    /// links to them fail, or all links of the host do.
    pub fn reaches_none(&self, service: &Service) -> bool {
        let now = self.clock.now();
        let links = self.links.state();
        if links.is_cut_off(now) {
            return true;
        }
        let health = self.health.borrow();
        let servers = self.views.servers();
        let is_reached = |e: &ServerEntry| {
            let has_idle = self.pool.has_idle(e.address);
            let fails = links.is_failing(&e.id) && !health.is_usable(now, &e.id) && !has_idle;
            links.may_begin(&e.id, has_idle) && !fails
        };
        let mut ready = self.first_servers(&servers, service).peekable();
        ready.peek().is_some() && !ready.any(is_reached)
    }

    /// Describes which resource is missing for a request of `service`: the layer without a holder,
    /// the free slot, the matching layer ranges or the allowance to cross domains.
    pub fn describe_shortage(&self, service: &Service, tokens: RequestTokens) -> String {
        let Some(profile) = &service.engine else {
            return "no server".to_owned();
        };
        let holders = self.collect_holders(service, profile, None);
        let may_cross =
            self.with_chooser(service, profile, &holders, tokens, |chooser| chooser.may_cross());
        let needs = ChainNeeds { may_cross, ..self.chain_needs(tokens) };
        match shortage::explain_no_chain(profile, &holders, needs) {
            NoChain::LayerUnavailable { layer, holders } => {
                format!("layer {layer} of {holders} holders")
            }
            NoChain::FirstServerUnavailable { holders } => {
                format!("a free slot at {holders} first servers")
            }
            NoChain::RangesDoNotMeet => "ranges that meet".to_owned(),
            NoChain::OnlyAcrossDomains => {
                self.record_crossing_refused(&service.name, tokens);
                "allowance to cross domains".to_owned()
            }
        }
    }

    /// Returns the servers that may be stages of a chain. One that is in a pause may only stay a
    /// stage of the chain `current`.
    fn collect_holders(
        &self,
        service: &Service,
        profile: &EngineProfile,
        current: Option<&Chain>,
    ) -> Vec<LayerHolder> {
        let now = self.clock.now();
        let health = self.health.borrow();
        let pauses = self.pauses.borrow();
        let is_current = |id: &ServerName| {
            current.is_some_and(|chain| chain.stages().iter().any(|s| s.server == *id))
        };
        let loads = self.loads.borrow();
        let servers = self.views.servers();
        servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter(|e| health.is_usable(now, &e.id))
            .filter(|e| !pauses.includes(now, &e.id) || is_current(&e.id))
            .filter_map(|e| {
                let engine = e.engine.as_ref()?;
                let kind = profile.kind(&engine.kind)?;
                let layers = engine.layers?;
                let mut holder = LayerHolder {
                    server: e.id.clone(),
                    address: e.address,
                    domain: e.domain.clone(),
                    kind: kind.clone(),
                    layers,
                    load: loads.total(&e.id),
                    prefill_backlog_ms: 0.0,
                    slowness: health.slowness(now, &e.id),
                    faults: health.faults(now, &e.id),
                    may_begin: self.may_begin(&e.id, e.address),
                };
                let pending = loads.pending_prefill(&e.id) as f64;
                holder.prefill_backlog_ms = pending / holder.prefill_tokens_per_ms(profile);
                Some(holder)
            })
            .collect()
    }

    fn choose_server(&self, service: &Service, candidates: Candidates<'_>) -> Option<Target> {
        let is_candidate = |e: &ServerEntry| match candidates {
            Candidates::All { .. } => true,
            Candidates::Untried { tried } => !tried.contains(&e.id),
            Candidates::Tried(tried) => tried.contains(&e.id),
        };
        let tried = candidates.tried();
        let now = self.clock.now();
        let health = self.health.borrow();
        let pauses = self.pauses.borrow();
        let plain_active = self.plain_active.borrow();
        let servers = self.views.servers();
        let mut rng = rand::rng();
        // Suspicion outweighs any usual number of requests in progress, and having received the
        // request outweighs suspicion. A random term spreads requests over servers of equal cost.
        let cost = |e: &ServerEntry| {
            let active = f64::from(plain_active.get(&e.id).copied().unwrap_or(0));
            let other_domain = if e.domain == self.domain { 0.0 } else { OTHER_DOMAIN_COST };
            let suspect = if health.is_usable(now, &e.id) { 0.0 } else { 1e3 };
            let again = if tried.contains(&e.id) { 1e6 } else { 0.0 };
            let faults = FAULT_COST * health.faults(now, &e.id);
            active + other_domain + suspect + again + faults
        };
        servers
            .iter()
            .filter(|e| e.service == service.name && e.state == ServerState::Ready)
            .filter(|e| is_candidate(e))
            .filter(|e| !pauses.includes(now, &e.id))
            .filter(|e| self.may_begin(&e.id, e.address))
            .map(|e| (cost(e) + rng.random::<f64>() * 0.5, e))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, e)| Target::Server { server: e.id.clone(), address: e.address })
    }

    /// Counts a request as in progress at `target` until the returned value is dropped, and its
    /// `pending` prefill until [`InProgress::on_event`] or that drop.
    pub fn begin(
        self: &Rc<Self>,
        target: &Target,
        tokens: f64,
        pending: PendingPrefill,
    ) -> InProgress {
        match target {
            Target::Chain(chain) => {
                let mut loads = self.loads.borrow_mut();
                loads.add_request(chain, tokens);
                loads.add_prefill(&pending);
            }
            Target::Server { server, .. } => {
                *self.plain_active.borrow_mut().entry(server.clone()).or_default() += 1;
            }
        }
        InProgress { routing: self.clone(), target: target.clone(), tokens, pending }
    }

    fn end(&self, target: &Target, tokens: f64) {
        match target {
            Target::Chain(chain) => self.loads.borrow_mut().remove_request(chain, tokens),
            Target::Server { server, .. } => {
                let mut plain = self.plain_active.borrow_mut();
                if let Some(active) = plain.get_mut(server) {
                    *active = active.saturating_sub(1);
                    if *active == 0 {
                        plain.remove(server);
                    }
                }
            }
        }
        self.capacity_freed.notify_waiters();
    }

    /// Replaces the limits of the retry budgets.
    pub fn set_retry_limits(&self, retry_limits: RetryBudgetLimits) {
        self.retry_limits.set(retry_limits);
        self.budgets.borrow_mut().values_mut().for_each(|b| b.set_limits(retry_limits));
    }

    /// Counts a request of a caller, which adds to the retry budget of `service`.
    pub fn on_request(&self, service: &ServiceName) {
        let now = self.clock.now();
        self.budget(service, |b| b.on_request(now));
    }

    /// Takes one retry from the budget of `service`, which `hosts` hosts share; returns whether
    /// there was one left.
    pub fn take_retry(&self, service: &ServiceName, hosts: usize) -> bool {
        let now = self.clock.now();
        self.budget(service, |b| b.try_take_retry(now, hosts))
    }

    /// Returns whether the budget of `service`, which `hosts` hosts share, has a retry left.
    pub fn has_retry(&self, service: &ServiceName, hosts: usize) -> bool {
        let now = self.clock.now();
        self.budget(service, |b| b.has_retry(now, hosts))
    }

    fn budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(self.retry_limits.get()));
        f(budget)
    }

    /// Calls `f` with the queue of requests of `service` that wait for room.
    pub fn waiting<T>(&self, service: &ServiceName, f: impl FnOnce(&mut WaitQueue) -> T) -> T {
        let mut waiting = self.waiting.borrow_mut();
        f(waiting.entry(service.clone()).or_default())
    }

    /// Removes the loads of hosts that have been silent for too long, and pauses that are over, and
    /// fills the allowances for domain crossings, which `hosts` hosts share.
    pub fn on_tick(&self, now: Millis, hosts: usize) {
        self.fill_crossings(now, hosts);
        self.loads.borrow_mut().on_tick(now);
        self.pauses.borrow_mut().on_tick(now);
        self.update_reservations();
    }
}
