//! Randomised case: choosing chains while backend servers restart, leave, fail or load other layers.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::smallvec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::route::ChainQuery;
use yuccanotch_core::route::Policy;
use yuccanotch_core::route::Router;
use yuccanotch_core::route::ServerInput;
use yuccanotch_core::route::Verdict;

use crate::case::CaseResult;
use crate::trace::Trace;

const STEPS: u32 = 60;
const LAYERS: u16 = 12;
/// Layer ranges that servers hold; they overlap and differ in length.
const RANGES: [(u16, u16); 8] = [(0, 4), (4, 8), (8, 12), (0, 6), (6, 12), (0, 3), (3, 8), (0, 12)];
const DOMAINS: [&str; 3] = ["d1", "d2", "d3"];

/// Backend server as the router sees it.
struct Server {
    name: ServerName,
    domain: DomainName,
    report: LoadReport,
    leaving: bool,
    suspected: bool,
}

/// State of one run.
struct Simulation {
    rng: Pcg64Mcg,
    now: Millis,
    router: Router,
    servers: Vec<Server>,
    /// Chains with a running request.
    running: Vec<Chain>,
    model: ModelName,
    versions: [ModelVersion; 2],
    domain: DomainName,
}

/// Checks that each chain covers every layer once with usable servers of one version, that a chain
/// is found whenever one exists, and that the router's count of running chains returns to zero.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let policy = Policy::ALL[rng.random_range(0..Policy::ALL.len())];
    let count = rng.random_range(1..24);
    trace.add(format!("{policy:?}, {count} servers"));
    let mut sim = Simulation {
        rng,
        now: Millis(1_000),
        router: Router::new(policy),
        servers: Vec::new(),
        running: Vec::new(),
        model: ModelName::new("m"),
        versions: [ModelVersion::new("v1"), ModelVersion::new("v2")],
        domain: DomainName::new(DOMAINS[0]),
    };
    for number in 0..count {
        let server = sim.random_server(number);
        sim.servers.push(server);
    }
    for _ in 0..STEPS {
        sim.step(trace)?;
    }
    sim.check_idle()
}

impl Simulation {
    fn random_server(&mut self, number: u32) -> Server {
        let name = ServerName::new(&format!("s{number}"));
        let holding = self.random_holding();
        let report = LoadReport {
            server: name.clone(),
            boot: 1,
            age_ms: Millis(self.rng.random_range(0..300)),
            running: 0,
            waiting: 0,
            slots: self.rng.random_range(1..16),
            step_us: self.rng.random_range(500..20_000),
            kv_percent: 0,
            leaving: false,
            holdings: smallvec![holding],
            role: Role::Both,
            fencing: None,
            links_us: Vec::new(),
        };
        let domain = DomainName::new(DOMAINS[self.rng.random_range(0..DOMAINS.len())]);
        Server { name, domain, report, leaving: false, suspected: false }
    }

    fn random_holding(&mut self) -> Holding {
        let (first, end) = RANGES[self.rng.random_range(0..RANGES.len())];
        let version = self.versions[usize::from(self.rng.random_bool(0.2))].clone();
        Holding {
            model: self.model.clone(),
            version,
            layers: LayerRange::new(first, end),
            adapters: smallvec![],
        }
    }

    fn step(&mut self, trace: &mut Trace) -> CaseResult {
        self.now = self.now + Millis(self.rng.random_range(1..200));
        match self.rng.random_range(0..10) {
            0 => self.change_server(trace),
            1 | 2 => self.update_router(),
            3 | 4 => self.end_random_chain(trace),
            _ => self.choose_chain(trace)?,
        }
        Ok(())
    }

    fn change_server(&mut self, trace: &mut Trace) {
        if self.servers.is_empty() {
            return;
        }
        let index = self.rng.random_range(0..self.servers.len());
        let change = self.rng.random_range(0..6);
        trace.add(format!("{}: change {change} of {}", self.now, self.servers[index].name));
        let holding = self.random_holding();
        let number = self.rng.random_range(0..40);
        let other = self.servers[self.rng.random_range(0..self.servers.len())].name.clone();
        let server = &mut self.servers[index];
        match change {
            0 => server.leaving = !server.leaving,
            1 => server.suspected = !server.suspected,
            2 => server.report.boot += 1,
            3 => server.report.holdings = smallvec![holding],
            4 => server.report.links_us = vec![(other, number * 1_000)],
            _ => {
                self.servers.swap_remove(index);
            }
        }
        self.update_router();
    }

    /// Gives the router reports with the current number of running requests on each server.
    fn update_router(&mut self) {
        for server in &mut self.servers {
            let runs_on_server = |chain: &&Chain| chain.iter().any(|hop| hop.server == server.name);
            server.report.running = self.running.iter().filter(runs_on_server).count() as u32;
            server.report.age_ms = Millis::ZERO;
        }
        let now = self.now;
        self.router.update(self.servers.iter().map(|server| ServerInput {
            name: &server.name,
            domain: &server.domain,
            address: "127.0.0.1:1",
            report: &server.report,
            reported_at: now,
            leaving: server.leaving,
            suspected: server.suspected,
        }));
    }

    fn end_random_chain(&mut self, trace: &mut Trace) {
        if self.running.is_empty() {
            return;
        }
        let chain = self.running.swap_remove(self.rng.random_range(0..self.running.len()));
        let failed = chain[self.rng.random_range(0..chain.len())].server.clone();
        let verdict = match self.rng.random_range(0..4) {
            0 => Verdict::Failed(&failed),
            1 => Verdict::Silent,
            2 => Verdict::Inconclusive,
            _ => Verdict::Success,
        };
        trace.add(format!("{}: end with {verdict:?}", self.now));
        self.router.on_end(self.now, &chain, verdict);
        let pace_us = self.rng.random_range(1_000..200_000);
        self.router.on_token_interval(self.now, &self.model, &chain, pace_us);
    }

    fn choose_chain(&mut self, trace: &mut Trace) -> CaseResult {
        self.update_router();
        let version = self.versions[usize::from(self.rng.random_bool(0.2))].clone();
        let prefixes: Vec<u64> = (1..self.rng.random_range(1..6)).collect();
        let avoid: Vec<ServerName> = self.random_server_names();
        let penalized = self.random_server_names();
        let cache_holders = self.random_server_names();
        let query = ChainQuery {
            model: &self.model,
            version: &version,
            layers: LAYERS,
            domain: &self.domain,
            prefixes: &prefixes,
            prompt_words: 40,
            tokens: 32,
            avoid: &avoid,
            penalized: &penalized,
            cache_holders: &cache_holders,
        };
        let choice = self.router.choose(self.now, &query, &mut self.rng);
        let Some(choice) = choice else {
            return self.check_no_chain_exists(&version, &avoid);
        };
        let names: Vec<&str> = choice.chain.iter().map(|hop| hop.server.as_str()).collect();
        trace.add(format!("{}: {version} by {names:?}", self.now));
        self.check_chain(&choice.chain, &version, &avoid)?;
        self.router.on_start(self.now, &query, &choice.chain);
        self.running.push(choice.chain);
        Ok(())
    }

    fn random_server_names(&mut self) -> Vec<ServerName> {
        let names: Vec<ServerName> = self.servers.iter().map(|s| s.name.clone()).collect();
        names.into_iter().filter(|_| self.rng.random_bool(0.1)).collect()
    }

    fn is_usable(server: &Server, avoid: &[ServerName]) -> bool {
        !server.leaving && !server.suspected && !avoid.contains(&server.name)
    }

    fn check_chain(
        &self,
        chain: &Chain,
        version: &ModelVersion,
        avoid: &[ServerName],
    ) -> CaseResult {
        let mut next_layer = 0;
        for hop in chain {
            let server = self.servers.iter().find(|server| server.name == hop.server);
            let server = server
                .ok_or_else(|| format!("{} is in the chain but does not exist", hop.server))?;
            if !Self::is_usable(server, avoid) {
                return Err(format!("{} is in the chain but must not be used", hop.server));
            }
            let holds =
                |holding: &Holding| holding.version == *version && holding.layers == hop.layers;
            if !server.report.holdings.iter().any(holds) {
                return Err(format!("{} does not hold {:?} of {version}", hop.server, hop.layers));
            }
            if hop.layers.first != next_layer {
                return Err(format!("layer {next_layer} is followed by {:?}", hop.layers));
            }
            next_layer = hop.layers.end;
        }
        if next_layer != LAYERS {
            return Err(format!("the chain ends at layer {next_layer}"));
        }
        Ok(())
    }

    /// Checks that no chain exists. Policies other than the adaptive one may miss a chain of layer
    /// ranges that differ in length.
    fn check_no_chain_exists(&self, version: &ModelVersion, avoid: &[ServerName]) -> CaseResult {
        if self.router.policy() != Policy::Adaptive {
            return Ok(());
        }
        let mut reached = vec![false; usize::from(LAYERS) + 1];
        reached[0] = true;
        for layer in 0..LAYERS {
            let usable = self.servers.iter().filter(|server| Self::is_usable(server, avoid));
            for holding in usable.flat_map(|server| &server.report.holdings) {
                let begins = holding.version == *version && holding.layers.first == layer;
                if begins && reached[usize::from(layer)] {
                    reached[usize::from(holding.layers.end)] = true;
                }
            }
        }
        if reached[usize::from(LAYERS)] {
            return Err("no chain was found although one exists".to_owned());
        }
        Ok(())
    }

    fn check_no_load_counted(&self) -> CaseResult {
        let stage = self.router.narrowest_stage(&self.model, &self.versions[0], LAYERS);
        if stage.load == 0 {
            return Ok(());
        }
        Err(format!("{} running requests are counted although none runs", stage.load))
    }

    /// Ends all running chains and checks that the router counts none.
    fn check_idle(&mut self) -> CaseResult {
        for chain in std::mem::take(&mut self.running) {
            self.router.on_end(self.now, &chain, Verdict::Inconclusive);
        }
        self.check_no_load_counted()?;
        self.now = self.now + Millis(1);
        self.update_router();
        self.check_no_load_counted()
    }
}
