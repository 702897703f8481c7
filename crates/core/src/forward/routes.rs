//! The operators' configuration of routes, services, teams and limits, as one immutable version
//! that is indexed for lookups.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::sync::Arc;

use smallvec::SmallVec;

use crate::admit::reservation::Ranks;
use crate::clock::Millis;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::placement::engine::EngineProfile;

/// Whether requests of a route may run more than once.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatPolicy {
    /// A request may run once at most.
    Never,
    /// A request is idempotent and may run more than once.
    Safe,
    /// A request may run more than once, and its stream may be resumed at another server after the
    /// last event delivered.
    Resumable,
}

impl RepeatPolicy {
    /// Returns whether a request may be sent again after it may have run.
    pub fn allows_rerun(self) -> bool {
        matches!(self, Self::Safe | Self::Resumable)
    }
}

/// A service behind a route and the share of the route's requests that it gets.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ServiceName,
    /// The weight of its share, relative to the other backends of the route.
    pub weight: u32,
}

/// A route: which requests go to which services, and with which limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The name in the configuration.
    pub name: Arc<str>,
    /// The virtual host that selects the route.
    pub host: Arc<str>,
    /// The path prefix that selects the route; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Whether requests may run more than once.
    pub repeat: RepeatPolicy,
    /// Whether the answer is a stream of events.
    pub streaming: bool,
    /// The longest time for which a request waits for its answer.
    pub timeout: Millis,
    /// The target latency of an answer; a later answer is worth less.
    pub target_latency: Millis,
    /// The target for the pauses between events; a stream with a longer pause is late.
    pub target_event_gap: Option<Millis>,
    /// The pause of a stream, also before its first event, after which its callers leave.
    pub max_stream_pause: Millis,
    /// The priority; 0 is the most urgent.
    pub priority: u8,
    /// The services to which requests go.
    pub backends: SmallVec<[Backend; 2]>,
    /// The most servers to which one request is sent.
    pub max_attempts: u8,
    /// Whether requests are accepted without a key.
    pub public: bool,
}

impl Route {
    /// Returns the service for a request whose identity has the hash `hash`, by the weights of the
    /// backends.
    pub fn service(&self, hash: u64) -> Option<&ServiceName> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|b| &b.service);
        }
        let mut point = hash % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if point < weight {
                return Some(&backend.service);
            }
            point -= weight;
        }
        None
    }

    /// Returns the services that requests of the route can go to.
    fn reached_services(&self) -> impl Iterator<Item = &ServiceName> {
        let has_weights = self.backends.iter().any(|b| b.weight > 0);
        let is_reached = move |(index, backend): &(usize, &Backend)| {
            backend.weight > 0 || (!has_weights && *index == 0)
        };
        self.backends.iter().enumerate().filter(is_reached).map(|(_, backend)| &backend.service)
    }
}

/// A service: a set of interchangeable backend servers.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// The name in the configuration.
    pub name: ServiceName,
    /// The performance figures of the engines, for a service of model engines.
    pub engine: Option<EngineProfile>,
    /// The path at which its servers answer health checks.
    pub health_path: Option<Arc<str>>,
}

/// Limits on the size and duration of what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Limits {
    /// The longest head of a request, in bytes.
    pub header_bytes: usize,
    /// The longest body of a request, in bytes.
    pub body_bytes: usize,
    /// The longest time from the first to the last byte of a head.
    pub header_timeout: Millis,
    /// The longest time for which a connection stays open without a request.
    pub idle_timeout: Millis,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 << 10,
            body_bytes: 4 << 20,
            header_timeout: Millis(3_000),
            idle_timeout: Millis(15_000),
        }
    }
}

/// A team and the keys by which its callers identify themselves.
#[derive(Clone, Debug, PartialEq)]
pub struct Team {
    /// The name.
    pub name: TeamName,
    /// The keys of its callers.
    pub keys: Vec<Arc<str>>,
    /// The priority, which overrides that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// One version of the configuration, indexed for lookups.
#[derive(Debug)]
pub struct Configuration {
    /// The version number; a higher version replaces a lower one.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    routes: Vec<Arc<Route>>,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    services: HashMap<ServiceName, Arc<Service>>,
    teams: Vec<Arc<Team>>,
    by_key: HashMap<Arc<str>, usize>,
    ranks: HashMap<ServiceName, Ranks>,
}

impl Configuration {
    /// Creates one version of the configuration and indexes it.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        teams: Vec<Team>,
    ) -> Self {
        let routes: Vec<Arc<Route>> = routes.into_iter().map(Arc::new).collect();
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, usize>> = HashMap::new();
        for (index, route) in routes.iter().enumerate() {
            by_host.entry(route.host.clone()).or_default().insert(route.prefix.clone(), index);
        }
        let teams: Vec<Arc<Team>> = teams.into_iter().map(Arc::new).collect();
        let mut by_key = HashMap::new();
        for (index, team) in teams.iter().enumerate() {
            for key in &team.keys {
                by_key.insert(key.clone(), index);
            }
        }
        let services: HashMap<ServiceName, Arc<Service>> =
            services.into_iter().map(|s| (s.name.clone(), Arc::new(s))).collect();
        let team_priorities = teams.iter().map(|team| team.priority).collect();
        let ranks = services
            .values()
            .filter(|service| service.engine.is_some())
            .filter_map(|s| Some((s.name.clone(), ranks_of(&s.name, &routes, &team_priorities)?)))
            .collect();
        Self { version, limits, routes, by_host, services, teams, by_key, ranks }
    }

    /// Returns the route of the virtual host `host` with the longest prefix of `path`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let prefixes = self.by_host.get(host)?;
        let mut end = path.len();
        while let Some(slash) = path[..end].rfind('/') {
            if let Some(&index) = prefixes.get(&path[..=slash]) {
                return Some(&self.routes[index]);
            }
            end = slash;
        }
        None
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Returns the service with the name `name`.
    pub fn service(&self, name: &ServiceName) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// Returns all services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// Returns the ranks of the requests of the service `name`; `None` unless it is a service of model
    /// servers whose requests have two or more distinct priorities.
    pub fn ranks(&self, name: &ServiceName) -> Option<&Ranks> {
        self.ranks.get(name)
    }

    /// Returns the team to which `key` belongs.
    pub fn team(&self, key: &str) -> Option<&Arc<Team>> {
        self.by_key.get(key).map(|&index| &self.teams[index])
    }
}

/// Returns the ranks of the requests that `routes` lead to `service`. A request has the priority of
/// its team, or else that of its route; requests of public routes have no team. `team_priorities` are
/// the distinct priorities of teams, `None` if a team has none.
fn ranks_of(
    service: &ServiceName,
    routes: &[Arc<Route>],
    team_priorities: &BTreeSet<Option<u8>>,
) -> Option<Ranks> {
    let leading = routes.iter().filter(|r| r.reached_services().any(|name| name == service));
    let priorities = leading.flat_map(|route| {
        let of_teams = team_priorities.iter().map(|p| p.unwrap_or(route.priority));
        let of_teams = of_teams.filter(|_| !route.public);
        of_teams.chain(route.public.then_some(route.priority))
    });
    Ranks::new(priorities)
}
