//! `yuccanotch-check route-figures`: measures routing, frame checks and admission.

use std::hint::black_box;
use std::time::Instant;

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use smallvec::smallvec;
use yuccanotch_core::admit::AdmissionController;
use yuccanotch_core::admit::AdmissionSettings;
use yuccanotch_core::admit::Arrival;
use yuccanotch_core::admit::Event as AdmitEvent;
use yuccanotch_core::admit::Pool;
use yuccanotch_core::admit::RequestKey;
use yuccanotch_core::admit::TeamTerms;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::Priority;
use yuccanotch_core::engine::Frame;
use yuccanotch_core::engine::Holding;
use yuccanotch_core::engine::Hop;
use yuccanotch_core::engine::LayerRange;
use yuccanotch_core::engine::LayerReceipt;
use yuccanotch_core::engine::LoadReport;
use yuccanotch_core::engine::Role;
use yuccanotch_core::engine::TokenFrame;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::TeamName;
use yuccanotch_core::route::ChainQuery;
use yuccanotch_core::route::Policy;
use yuccanotch_core::route::Router;
use yuccanotch_core::route::ServerInput;
use yuccanotch_core::route::Verdict;
use yuccanotch_core::stream::AnswerStream;
use yuccanotch_core::stream::AttemptPlan;
use yuccanotch_core::stream::Event;
use yuccanotch_core::stream::StreamSpec;

use crate::command_line::should_run;
use crate::error::CliResult;

const USAGE: &str = "
Measures the processor time and memory of routing, of frame validation, and of
admission.

Usage: yuccanotch-check route-figures
";

/// Measured numbers of backend servers.
const FLEET_SIZES: [usize; 3] = [40, 200, 600];
const SERVERS_PER_MODEL: usize = 43;
const STAGES: u16 = 3;
const LAYERS: u16 = 48;
const DOMAINS: usize = 5;
const CHOICE_ROUNDS: u32 = 20_000;
const UPDATE_ROUNDS: u32 = 200;
const TOKENS: u32 = 100_000;
const TEAM_COUNTS: [u64; 3] = [100, 1_000, 10_000];

/// Runs the command.
///
/// # Errors
///
/// Returns an error when the command line is invalid.
pub fn run(parser: lexopt::Parser) -> CliResult<()> {
    if !should_run(parser)? {
        outln!("{}", USAGE.trim());
        return Ok(());
    }
    FLEET_SIZES.iter().for_each(|count| measure_routing(*count));
    measure_frames();
    TEAM_COUNTS.iter().for_each(|count| measure_admission(*count));
    Ok(())
}

/// Backend server and its load report.
struct Server {
    name: ServerName,
    domain: DomainName,
    report: LoadReport,
}

/// Returns `count` servers of several models, each with links to all others of its model.
fn build_fleet(count: usize, rng: &mut Pcg64Mcg) -> Vec<Server> {
    let models = count.div_ceil(SERVERS_PER_MODEL);
    let layers_per_stage = LAYERS / STAGES;
    let name = |number: usize| ServerName::new(&format!("server-{number}"));
    let server = |number: usize| {
        let stage = ((number / models) % usize::from(STAGES)) as u16;
        let holding = Holding {
            model: ModelName::new(&format!("model-{}", number % models)),
            version: ModelVersion::new("v1"),
            layers: LayerRange::new(stage * layers_per_stage, (stage + 1) * layers_per_stage),
            adapters: smallvec![],
        };
        let peers =
            (0..count).filter(|other| *other != number && other % models == number % models);
        let report = LoadReport {
            server: name(number),
            boot: 1,
            age_ms: Millis::ZERO,
            running: rng.random_range(0..16),
            waiting: 0,
            slots: 32,
            step_us: rng.random_range(1_000..10_000),
            kv_percent: 0,
            leaving: false,
            holdings: smallvec![holding],
            role: Role::Both,
            fencing: None,
            links_us: peers.map(|other| (name(other), rng.random_range(100..10_000))).collect(),
        };
        let domain = DomainName::new(&format!("domain-{}", number / models / 3 % DOMAINS));
        Server { name: name(number), domain, report }
    };
    (0..count).map(server).collect()
}

fn update_router(router: &mut Router, fleet: &[Server], now: Millis) {
    router.update(fleet.iter().map(|server| ServerInput {
        name: &server.name,
        domain: &server.domain,
        address: "10.0.0.1:8000",
        report: &server.report,
        reported_at: now,
        leaving: false,
        suspected: false,
    }));
}

fn measure_routing(count: usize) {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let fleet = build_fleet(count, &mut rng);
    for policy in Policy::ALL {
        let mut router = Router::new(policy);
        let update_us = mean_time_us(UPDATE_ROUNDS, |i| {
            update_router(&mut router, &fleet, Millis(1_000 + u64::from(i)));
        });
        let choice_us = mean_time_us(CHOICE_ROUNDS, |i| choose_and_end(&mut router, i, &mut rng));
        outln!(
            "route: {count} servers, {}: {choice_us:.2} us per choice with start and end, \
             {update_us:.0} us per view, {} KB",
            policy.as_str(),
            router.memory_bytes() / 1024
        );
    }
}

fn choose_and_end(router: &mut Router, i: u32, rng: &mut Pcg64Mcg) {
    let (model, version) = (ModelName::new("model-0"), ModelVersion::new("v1"));
    let domain = DomainName::new("domain-0");
    let prefixes: [u64; 8] = std::array::from_fn(|block| u64::from(i % 64) << 8 | block as u64);
    let query = ChainQuery {
        model: &model,
        version: &version,
        layers: LAYERS,
        domain: &domain,
        prefixes: &prefixes,
        prompt_words: 64,
        tokens: 64,
        avoid: &[],
        penalized: &[],
        cache_holders: &[],
    };
    let now = Millis(2_000 + u64::from(i) / 10);
    let Some(choice) = router.choose(now, &query, rng) else {
        return;
    };
    router.on_start(now, &query, &choice.chain);
    router.on_token_interval(now, &model, &choice.chain, u64::from(choice.step_us));
    router.on_end(now, &choice.chain, Verdict::Success);
}

fn measure_frames() {
    let layers_per_stage = LAYERS / STAGES;
    let hop = |stage: u16| Hop {
        server: ServerName::new(&format!("server-{stage}")),
        address: "10.0.0.1:8000".to_owned(),
        layers: LayerRange::new(stage * layers_per_stage, (stage + 1) * layers_per_stage),
    };
    let hops: Vec<Hop> = (0..STAGES).map(hop).collect();
    let version = ModelVersion::new("v1");
    let mut stream = AnswerStream::new(StreamSpec {
        request: RequestId(1),
        version: version.clone(),
        layers: LAYERS,
        max_tokens: TOKENS,
        deadline: Millis(u64::MAX),
    });
    let chain = hops.iter().cloned().collect();
    let plan = AttemptPlan { chain, first_token: Millis(100), step_us: 10_000 };
    stream.begin_attempt(Millis::ZERO, plan);
    let receipt = |hop: &Hop| LayerReceipt {
        server: hop.server.clone(),
        layers: hop.layers,
        version: version.clone(),
    };
    let line = |index: u32| {
        let frame = Frame::Token(TokenFrame {
            request: RequestId(1),
            attempt: Attempt(1),
            index,
            token: " token".to_owned(),
            receipt: hops.iter().map(receipt).collect(),
        });
        serde_json::to_vec(&frame).unwrap_or_default()
    };
    let lines: Vec<Vec<u8>> = (0..TOKENS).map(line).collect();
    let parse_us = mean_time_us(TOKENS, |i| {
        black_box(serde_json::from_slice::<Frame>(&lines[i as usize]).is_ok());
    });
    let parse_and_check_us = mean_time_us(TOKENS, |i| {
        if let Ok(frame) = serde_json::from_slice(&lines[i as usize]) {
            let now = Millis(u64::from(i) * 10);
            black_box(stream.on_event(now, Event::Frame(Attempt(1), frame)));
        }
    });
    outln!(
        "stream: {parse_and_check_us:.2} us per token, of which {parse_us:.2} us parse its frame; \
         {} bytes per active answer and its tokens",
        size_of::<AnswerStream>()
    );
}

fn measure_admission(teams: u64) {
    let mut admit = AdmissionController::new(AdmissionSettings::default());
    let pool = Pool::Model("m".into());
    admit.on_event(Millis::ZERO, AdmitEvent::Limit(pool.clone(), u32::MAX));
    let terms = TeamTerms {
        weight: 1,
        priority: Priority::Normal,
        requests_per_s: Some(1_000),
        in_flight: None,
    };
    let names: Vec<TeamName> =
        (0..teams).map(|number| TeamName::new(&format!("team-{number}"))).collect();
    let rounds = 20_000;
    let admit_us = mean_time_us(rounds, |i| {
        let key = RequestKey(u64::from(i));
        let arrival = Arrival {
            key,
            pool: pool.clone(),
            team: names[(u64::from(i) % teams) as usize].clone(),
            terms,
            service_time: Millis(100),
            deadline: Millis(u64::MAX / 2),
        };
        admit.on_event(Millis(1), AdmitEvent::Arrive(arrival));
        admit.on_event(Millis(1), AdmitEvent::Finish(key));
    });
    outln!(
        "admit: {teams} active teams: {admit_us:.2} us per request, state of {} teams",
        admit.team_count()
    );
}

/// Returns the mean time of `count` calls of `f`, in µs.
fn mean_time_us(count: u32, mut f: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    (0..count).for_each(&mut f);
    start.elapsed().as_secs_f64() * 1e6 / f64::from(count)
}
