//! Describes an embedded deployment: domains, teams, models, services, servers and limits.

use std::collections::BTreeMap;

use yuccanotch_core::config::Accelerator;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::config::Domain;
use yuccanotch_core::config::Method;
use yuccanotch_core::config::Model;
use yuccanotch_core::config::Placement;
use yuccanotch_core::config::Priority;
use yuccanotch_core::config::Route;
use yuccanotch_core::config::Server;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::config::Service;
use yuccanotch_core::config::Team;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::Role;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::route::Policy;
use yuccanotch_entry::settings::Limits;
use yuccanotch_standin::EngineBehavior;
use yuccanotch_standin::EngineSettings;
use yuccanotch_standin::ModelSettings;
use yuccanotch_standin::ServiceSettings;
use yuccanotch_standin::StandinSettings;

const MODEL_DEADLINE_MS: u64 = 30_000;
const MODEL_MAX_TOKENS: u32 = 256;
const MODEL_VERSION: &str = "v1";
const LAYER_WEIGHTS_MB: u32 = 200;

/// Description of an embedded deployment, from which it is started.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of all random numbers of the entry hosts and stand-ins.
    pub seed: u64,
    /// Failure domains with their regions.
    pub domains: BTreeMap<DomainName, Domain>,
    /// Number of entry hosts in each failure domain.
    pub entries_per_domain: usize,
    /// Settings of the stand-ins for the platform and the backend servers.
    pub standin: StandinSettings,
    /// Teams of the configuration.
    pub teams: BTreeMap<TeamName, Team>,
    /// Bearer key that callers of each team present.
    pub team_keys: BTreeMap<TeamName, String>,
    /// Models of the configuration.
    pub models: BTreeMap<ModelName, Model>,
    /// Plain services of the configuration.
    pub services: BTreeMap<yuccanotch_core::name::ServiceName, Service>,
    /// Limits of the entry hosts.
    pub limits: Limits,
    /// Policy by which the entry hosts choose chains.
    pub routing: Policy,
}

impl Plan {
    /// Creates a plan without teams, models and servers.
    pub fn new(seed: u64, region: &str, domains: &[&str]) -> Self {
        let domains: BTreeMap<DomainName, Domain> = domains
            .iter()
            .map(|name| (DomainName::new(name), Domain { region: region.into() }))
            .collect();
        let mut standin = StandinSettings { seed, ..StandinSettings::default() };
        standin.platform.domains = domains.keys().cloned().collect();
        Self {
            seed,
            domains,
            entries_per_domain: 1,
            standin,
            teams: BTreeMap::new(),
            team_keys: BTreeMap::new(),
            models: BTreeMap::new(),
            services: BTreeMap::new(),
            limits: Limits { drain_grace: yuccanotch_core::clock::Millis(0), ..Limits::default() },
            routing: Policy::default(),
        }
    }

    /// Creates a plan of a small deployment of an order assistant with its ordering service.
    pub fn haddad(seed: u64) -> Self {
        let mut plan = Self::new(seed, "amman", &["sahab", "marka", "abdali"]);
        plan.add_team("retail", "retail-key", Priority::Urgent, 4);
        plan.add_team("bakeries", "bakeries-key", Priority::Normal, 2);
        plan.add_model("assistant", 24, 3, 2);
        plan.add_service(
            "ordering",
            &[
                (Method::Get, "/stock", true),
                (Method::Post, "/quotes", true),
                (Method::Post, "/confirmations", false),
            ],
        );
        plan
    }

    /// Creates a plan of a small deployment of a drafting model with its registration service.
    pub fn association(seed: u64) -> Self {
        let domains = ["zona-gaucha", "zona-parana", "zona-ilha"];
        let mut plan = Self::new(seed, "meridional", &domains);
        plan.add_team("estimators", "estimators-key", Priority::Normal, 2);
        plan.add_team("inspectors", "inspectors-key", Priority::Urgent, 4);
        plan.add_model("redacao", 32, 4, 2);
        plan.add_service(
            "registro",
            &[
                (Method::Get, "/batches", true),
                (Method::Post, "/batches", false),
                (Method::Post, "/invoices", false),
                (Method::Post, "/bookings", false),
            ],
        );
        plan
    }

    /// Adds a team with its bearer key.
    pub fn add_team(&mut self, name: &str, key: &str, priority: Priority, weight: u32) {
        let team = Team {
            keys: [Digest::of(key.as_bytes())].into_iter().collect(),
            weight,
            requests_per_s: None,
            in_flight: None,
            priority,
        };
        self.teams.insert(name.into(), team);
        self.team_keys.insert(name.into(), key.to_owned());
    }

    /// Adds a model split into `stages` equal layer ranges, each on `replicas` engines spread over
    /// the failure domains.
    pub fn add_model(&mut self, name: &str, layers: u16, stages: u16, replicas: usize) {
        let weights_mb = u32::from(layers) * LAYER_WEIGHTS_MB;
        let model = Model {
            layers,
            version: MODEL_VERSION.into(),
            max_tokens: MODEL_MAX_TOKENS,
            deadline_ms: MODEL_DEADLINE_MS,
            weights_mb,
        };
        self.models.insert(name.into(), model);
        self.standin.models.insert(name.into(), ModelSettings { layers, weights_mb });
        let domains: Vec<DomainName> = self.domains.keys().cloned().collect();
        for stage in 0..stages {
            let range = LayerRange::new(layers * stage / stages, layers * (stage + 1) / stages);
            for replica in 0..replicas {
                let domain = &domains[(usize::from(stage) + replica) % domains.len()];
                let server = format!("{name}-{stage}-{replica}");
                let mut engine =
                    EngineSettings::new(&server, domain.as_str(), name, MODEL_VERSION, range);
                engine.behavior = EngineBehavior::default();
                self.standin.engines.push(engine);
            }
        }
    }

    /// Adds a plain service with one instance in each failure domain. A route is a method, a path
    /// and whether its calls may be repeated.
    pub fn add_service(&mut self, name: &str, routes: &[(Method, &str, bool)]) {
        let routes = routes.iter().map(|(method, path, repeatable)| Route {
            method: *method,
            path: (*path).to_owned(),
            repeatable: *repeatable,
            deadline_ms: 10_000,
        });
        self.services.insert(name.into(), Service { routes: routes.collect() });
        for domain in self.domains.keys() {
            let server = format!("{name}-{domain}");
            self.standin.services.push(ServiceSettings::new(&server, domain.as_str(), name));
        }
    }

    /// Returns the declaration of the configuration. `address` returns the address of a server by
    /// its name.
    pub fn declaration(&self, address: impl Fn(&str) -> String) -> Declaration {
        let engines = self.standin.engines.iter().map(|engine| {
            let placement = Placement {
                accelerator: accelerator_kind(engine),
                model: engine.model.clone(),
                version: engine.version.clone(),
                layers: engine.layers,
                role: Role::Both,
                adapters: engine.adapters.iter().cloned().collect(),
            };
            let server = Server {
                domain: engine.domain.clone(),
                address: address(engine.name.as_str()),
                used_for: ServerUse::Engine(placement),
                drain: false,
            };
            (engine.name.clone(), server)
        });
        let services = self.standin.services.iter().map(|service| {
            let server = Server {
                domain: service.domain.clone(),
                address: address(service.name.as_str()),
                used_for: ServerUse::Service(service.service.clone()),
                drain: false,
            };
            (service.name.clone(), server)
        });
        Declaration {
            domains: self.domains.clone(),
            teams: self.teams.clone(),
            models: self.models.clone(),
            services: self.services.clone(),
            servers: engines.chain(services).collect(),
            ..Declaration::default()
        }
    }
}

/// Returns the accelerator kind that corresponds to an engine's time for one step.
fn accelerator_kind(engine: &EngineSettings) -> Accelerator {
    match engine.behavior.step_base_us {
        0..=1_500 => Accelerator::Large,
        1_501..=3_000 => Accelerator::Medium,
        3_001..=6_000 => Accelerator::Small,
        6_001..=12_000 => Accelerator::Workstation,
        _ => Accelerator::Custom,
    }
}
