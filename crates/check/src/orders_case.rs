//! Randomised case: the rollout of a new model version by successive order issuers.
//!
//! Reports are outdated, replies to orders are lost, loading a model takes long, and the lease
//! moves to new issuers.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use serde_json::Value;
use smallvec::smallvec;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::parse;
use yuccanotch_core::config::Declaration;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::OrderAction;
use yuccanotch_core::engine::Role;
use yuccanotch_core::ids::ConfigNumber;
use yuccanotch_core::ids::FencingNumber;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::HostName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::orders::serving_version;
use yuccanotch_core::orders::AddressedOrder;
use yuccanotch_core::orders::Issuer;
use yuccanotch_core::orders::IssuerScope;
use yuccanotch_core::orders::ServerState;
use yuccanotch_core::orders::Servers;
use yuccanotch_core::orders::TransitionList;

use crate::case::CaseResult;
use crate::trace::Trace;

const LAYERS: u16 = 8;
const STEPS: usize = 300;
const MAX_SERVERS_PER_RANGE: usize = 3;
const MAX_STEP_MS: u64 = 400;
const MAX_LOAD_MS: u64 = 3_000;

/// Loading of a layer range by a server.
struct ModelLoad {
    server: ServerName,
    holding: Holding,
    ends_at: Millis,
}

/// State of one run.
struct Simulation<'a> {
    rng: Pcg64Mcg,
    trace: &'a mut Trace,
    now: Millis,
    declaration: Declaration,
    /// Actual state of the servers.
    actual: Servers,
    /// State of the servers as last reported.
    reported: Servers,
    /// Loads in progress.
    loads: Vec<ModelLoad>,
    transition_list: TransitionList,
    issuer: Issuer,
    fencing: FencingNumber,
}

/// Checks that at all times the servers hold every layer of some version of each model.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut actual = Servers::new();
    let mut declared = serde_json::Map::new();
    for first in [0, LAYERS / 2] {
        for i in 0..rng.random_range(1..=MAX_SERVERS_PER_RANGE) {
            let name = format!("s-{first}-{i}");
            declared.insert(name.clone(), server_json(declared.len(), first));
            actual.insert(ServerName::new(&name), server_state(first));
        }
    }
    trace.add(format!("{} servers", actual.len()));
    let mut sim = Simulation {
        rng,
        trace,
        now: Millis(1_000),
        declaration: parse_declaration(&declared)?,
        reported: actual.clone(),
        actual,
        loads: Vec::new(),
        transition_list: TransitionList::default(),
        issuer: Issuer::new(),
        fencing: FencingNumber(1),
    };
    (0..STEPS).try_for_each(|_| sim.step())
}

fn server_json(number: usize, first: u16) -> Value {
    json!({"domain": "d", "address": format!("127.0.0.1:{}", number + 1), "use": {"engine": {
        "accelerator": "large", "model": "m", "version": "v2",
        "layers": {"first": first, "end": first + LAYERS / 2},
    }}})
}

fn parse_declaration(servers: &serde_json::Map<String, Value>) -> Result<Declaration, String> {
    let text = json!({
        "domains": {"d": {"region": "r"}},
        "models": {"m": {
            "layers": LAYERS, "version": "v2", "max_tokens": 9, "deadline_ms": 9,
            "weights_mb": 1_000,
        }},
        "servers": servers,
    });
    parse(text.to_string().as_bytes()).map_err(|findings| format!("{findings:?}"))
}

fn server_state(first: u16) -> ServerState {
    ServerState {
        domain: DomainName::new("d"),
        usable: true,
        measured_at: Millis(1_000),
        holdings: smallvec![Holding {
            model: ModelName::new("m"),
            version: ModelVersion::new("v1"),
            layers: LayerRange::new(first, first + LAYERS / 2),
            adapters: smallvec![],
        }],
        role: Role::Both,
    }
}

impl Simulation<'_> {
    fn step(&mut self) -> CaseResult {
        self.now = self.now + Millis(self.rng.random_range(1..MAX_STEP_MS));
        self.finish_loads();
        self.refresh_reports();
        if self.rng.random_bool(0.05) {
            self.trace.add("a new issuer takes over");
            self.issuer = Issuer::new();
            self.fencing = self.fencing.next();
        }
        self.issue_orders();
        self.check_served()
    }

    fn finish_loads(&mut self) {
        let now = self.now;
        let (ended, unfinished) =
            std::mem::take(&mut self.loads).into_iter().partition(|load| load.ends_at <= now);
        self.loads = unfinished;
        let ended: Vec<ModelLoad> = ended;
        for load in ended {
            if let Some(server) = self.actual.get_mut(&load.server) {
                server.holdings = smallvec![load.holding];
            }
        }
    }

    fn refresh_reports(&mut self) {
        for (name, server) in &self.actual {
            if self.rng.random_bool(0.5) {
                let report = ServerState { measured_at: self.now, ..server.clone() };
                self.reported.insert(name.clone(), report);
            }
        }
    }

    fn issue_orders(&mut self) {
        let scope = IssuerScope {
            host: HostName::new("entry-1"),
            domain: DomainName::new("d"),
            fencing: self.fencing,
            config: ConfigNumber(2),
        };
        let plan = self.issuer.plan(
            self.now,
            &scope,
            &self.declaration,
            &self.reported,
            &self.transition_list,
        );
        if let Some(transition_list) = plan.transition_list {
            self.transition_list = transition_list;
        }
        for order in &plan.orders {
            self.send_order(order);
        }
    }

    fn send_order(&mut self, order: &AddressedOrder) {
        let (arrives, answered) = (self.rng.random_bool(0.9), self.rng.random_bool(0.9));
        if arrives {
            self.accept_order(order);
        }
        if arrives && answered {
            self.issuer.on_order_taken(self.now, &order.server);
        } else {
            self.issuer.on_order_not_taken(&order.server);
        }
    }

    fn accept_order(&mut self, order: &AddressedOrder) {
        let OrderAction::Load(holding) = &order.order.action else { return };
        let Some(server) = self.actual.get_mut(&order.server) else { return };
        let is_loading = self.loads.iter().any(|load| load.server == order.server);
        if is_loading || server.holdings.contains(holding) {
            return;
        }
        self.trace.add(format!("{} loads at {}", order.server, self.now.0));
        server.holdings = SmallVec::new();
        let ends_at = self.now + Millis(self.rng.random_range(1..MAX_LOAD_MS));
        let holding = holding.clone();
        self.loads.push(ModelLoad { server: order.server.clone(), holding, ends_at });
    }

    fn check_served(&self) -> CaseResult {
        let served = self.declaration.models.iter().all(|(name, model)| {
            serving_version(name, model, &self.actual, &TransitionList::default()).is_some()
        });
        if served {
            Ok(())
        } else {
            Err(format!("no version is held with all layers at {}", self.now.0))
        }
    }
}
