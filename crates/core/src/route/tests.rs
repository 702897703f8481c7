//! Tests of the router.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::smallvec;
use yare::parameterized;

use super::ChainChoice;
use super::ChainQuery;
use super::Policy;
use super::Router;
use super::ServerInput;
use super::Verdict;
use crate::clock::Millis;
use crate::engine::Holding;
use crate::engine::LayerRange;
use crate::engine::LoadReport;
use crate::engine::Role;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;

const NOW: Millis = Millis(10_000);
const LAYERS: u16 = 8;

struct Server {
    name: ServerName,
    domain: DomainName,
    report: LoadReport,
    leaving: bool,
    suspected: bool,
}

fn server(name: &str, first: u16, end: u16) -> Server {
    let holding = Holding {
        model: ModelName::new("m"),
        version: ModelVersion::new("v1"),
        layers: LayerRange::new(first, end),
        adapters: smallvec![],
    };
    let report = LoadReport {
        server: ServerName::new(name),
        boot: 1,
        age_ms: Millis::ZERO,
        running: 0,
        waiting: 0,
        slots: 8,
        step_us: 5_000,
        kv_percent: 0,
        leaving: false,
        holdings: smallvec![holding],
        role: Role::Both,
        fencing: None,
        links_us: Vec::new(),
    };
    let name = ServerName::new(name);
    Server { name, domain: DomainName::new("d1"), report, leaving: false, suspected: false }
}

/// Returns two servers for each half of the layers.
fn fleet() -> Vec<Server> {
    vec![server("a1", 0, 4), server("a2", 0, 4), server("b1", 4, 8), server("b2", 4, 8)]
}

fn update(router: &mut Router, fleet: &[Server], reported_at: Millis) {
    router.update(fleet.iter().map(|server| ServerInput {
        name: &server.name,
        domain: &server.domain,
        address: "127.0.0.1:1",
        report: &server.report,
        reported_at,
        leaving: server.leaving,
        suspected: server.suspected,
    }));
}

struct TestQuery {
    model: ModelName,
    version: ModelVersion,
    domain: DomainName,
    prefixes: Vec<u64>,
    avoid: Vec<ServerName>,
    penalized: Vec<ServerName>,
}

impl TestQuery {
    fn new() -> Self {
        Self {
            model: ModelName::new("m"),
            version: ModelVersion::new("v1"),
            domain: DomainName::new("d1"),
            prefixes: Vec::new(),
            avoid: Vec::new(),
            penalized: Vec::new(),
        }
    }

    fn query(&self) -> ChainQuery<'_> {
        ChainQuery {
            model: &self.model,
            version: &self.version,
            layers: LAYERS,
            domain: &self.domain,
            prefixes: &self.prefixes,
            prompt_words: 64,
            tokens: 32,
            avoid: &self.avoid,
            penalized: &self.penalized,
            cache_holders: &[],
        }
    }
}

fn names(choice: &ChainChoice) -> Vec<&str> {
    choice.chain.iter().map(|hop| hop.server.as_str()).collect()
}

fn choose(router: &mut Router, test_query: &TestQuery, seed: u64) -> Option<ChainChoice> {
    router.choose(NOW, &test_query.query(), &mut Pcg64Mcg::seed_from_u64(seed))
}

fn router(policy: Policy, fleet: &[Server]) -> Router {
    let mut router = Router::new(policy);
    update(&mut router, fleet, NOW);
    router
}

#[test]
fn new_requests_run_on_the_declared_version_once_chains_of_it_exist() {
    let mut fleet = fleet();
    let declared = ModelVersion::new("v2");
    let version = |fleet: &[Server]| {
        let router = router(Policy::Adaptive, fleet);
        router.version(&ModelName::new("m"), &declared, LAYERS).as_str().to_owned()
    };
    assert_eq!(version(&fleet), "v1");
    fleet[0].report.holdings[0].version = declared.clone();
    assert_eq!(version(&fleet), "v1", "layers 4 to 8 of v2 are missing");
    fleet[2].report.holdings[0].version = declared.clone();
    assert_eq!(version(&fleet), "v2");
    fleet[2].suspected = true;
    assert_eq!(version(&fleet), "v1", "no usable server holds layers 4 to 8 of v2");
    fleet[3].suspected = true;
    assert_eq!(version(&fleet), "v2", "no version has a usable server for all layers");
}

#[parameterized(
    adaptive = { Policy::Adaptive },
    fixed_pipelines = { Policy::FixedPipelines },
    round_robin = { Policy::RoundRobin },
)]
fn every_policy_tiles_all_layers_and_leaves_out_unusable_servers(policy: Policy) {
    let mut fleet = fleet();
    fleet[0].leaving = true;
    fleet[3].suspected = true;
    let mut router = router(policy, &fleet);
    for seed in 0..20 {
        let choice = choose(&mut router, &TestQuery::new(), seed).expect("a chain is left");
        assert_eq!(names(&choice), ["a2", "b1"]);
    }
    fleet[1].suspected = true;
    update(&mut router, &fleet, NOW);
    assert!(choose(&mut router, &TestQuery::new(), 0).is_none());
}

#[test]
fn layer_ranges_that_overlap_or_leave_gaps_are_never_joined() {
    let fleet = [server("a", 0, 5), server("b", 4, 8), server("c", 0, 3), server("d", 3, 8)];
    let mut router = router(Policy::Adaptive, &fleet);
    let choice = choose(&mut router, &TestQuery::new(), 1).expect("c and d tile the layers");
    assert_eq!(names(&choice), ["c", "d"]);
}

#[test]
fn a_slow_link_is_avoided() {
    let mut fleet = fleet();
    fleet[0].report.links_us =
        vec![(ServerName::new("b1"), 90_000), (ServerName::new("b2"), 90_000)];
    let mut router = router(Policy::Adaptive, &fleet);
    for seed in 0..20 {
        let choice = choose(&mut router, &TestQuery::new(), seed).expect("a chain");
        assert_eq!(names(&choice)[0], "a2");
    }
}

#[test]
fn own_runs_are_counted_before_a_report_shows_them() {
    let fleet = fleet();
    let mut router = router(Policy::Adaptive, &fleet);
    let test_query = TestQuery::new();
    let mut used = std::collections::BTreeMap::<String, u32>::new();
    for seed in 0..16 {
        let choice = choose(&mut router, &test_query, seed).expect("a chain");
        router.on_start(NOW + Millis(1), &test_query.query(), &choice.chain);
        choice.chain.iter().for_each(|hop| *used.entry(hop.server.to_string()).or_default() += 1);
    }
    assert!(used.values().all(|count| *count == 8), "{used:?}");
}

#[test]
fn servers_with_a_cached_prefix_are_preferred_until_they_are_loaded() {
    let fleet = fleet();
    let mut router = router(Policy::Adaptive, &fleet);
    let test_query = TestQuery { prefixes: (1..=8).collect(), ..TestQuery::new() };
    let first = choose(&mut router, &test_query, 1).expect("a chain");
    router.on_start(NOW, &test_query.query(), &first.chain);
    router.on_end(NOW, &first.chain, Verdict::Success);
    for seed in 0..10 {
        let choice = choose(&mut router, &test_query, seed).expect("a chain");
        assert_eq!(names(&choice), names(&first));
    }
    for _ in 0..8 {
        router.on_start(NOW, &TestQuery::new().query(), &first.chain);
    }
    let choice = choose(&mut router, &test_query, 3).expect("a chain");
    assert!(names(&choice).iter().all(|name| !names(&first).contains(name)));
}

#[test]
fn a_failed_server_is_avoided_for_a_while_unless_no_other_is_left() {
    let fleet = fleet();
    let mut router = router(Policy::Adaptive, &fleet);
    router.on_failure(NOW, &ServerName::new("a1"));
    for seed in 0..10 {
        let choice = choose(&mut router, &TestQuery::new(), seed).expect("a chain");
        assert_eq!(names(&choice)[0], "a2");
    }
    let test_query = TestQuery { avoid: vec![ServerName::new("a2")], ..TestQuery::new() };
    let choice = choose(&mut router, &test_query, 1).expect("a chain");
    assert_eq!(names(&choice)[0], "a1");
}

#[test]
fn a_penalized_server_is_not_used_while_another_can_be() {
    let fleet = fleet();
    let mut router = router(Policy::Adaptive, &fleet);
    let test_query = TestQuery { penalized: vec![ServerName::new("b1")], ..TestQuery::new() };
    for seed in 0..10 {
        let choice = choose(&mut router, &test_query, seed).expect("a chain");
        assert_eq!(names(&choice)[1], "b2");
    }
}

#[test]
fn a_server_slower_than_it_reports_is_found_from_the_token_intervals_of_its_chains() {
    let fleet = fleet();
    let mut router = router(Policy::Adaptive, &fleet);
    let test_query = TestQuery::new();
    for seed in 0..40 {
        let choice = choose(&mut router, &test_query, seed).expect("a chain");
        let is_slow = names(&choice)[0] == "a1";
        let interval_us = if is_slow { 80_000 } else { 10_600 };
        router.on_token_interval(NOW, &test_query.model, &choice.chain, interval_us);
    }
    for seed in 100..120 {
        let choice = choose(&mut router, &test_query, seed).expect("a chain");
        assert_eq!(names(&choice)[0], "a2");
    }
}

#[test]
fn the_capacity_is_that_of_the_narrowest_stage() {
    let mut fleet = fleet();
    fleet[2].leaving = true;
    let router = router(Policy::Adaptive, &fleet);
    let (model, version) = (ModelName::new("m"), ModelVersion::new("v1"));
    assert_eq!(router.narrowest_stage(&model, &version, LAYERS).slots, 8);
    assert_eq!(router.narrowest_stage(&model, &ModelVersion::new("v2"), LAYERS).slots, 0);
}

#[test]
fn a_chain_never_mixes_versions() {
    let mut fleet = fleet();
    fleet[2].report.holdings[0].version = ModelVersion::new("v2");
    fleet[3].report.holdings[0].version = ModelVersion::new("v2");
    let mut router = router(Policy::Adaptive, &fleet);
    assert!(choose(&mut router, &TestQuery::new(), 1).is_none());
}
