//! Tests of the utilization, the levels, the minimum share and the delays of refused callers.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::sync::Arc;

use smallvec::smallvec;
use yare::parameterized;

use crate::admit::reservation::trials::TRIED_ONE_IN;
use crate::admit::reservation::Admission;
use crate::admit::reservation::Arrival;
use crate::admit::reservation::LevelChange;
use crate::admit::reservation::Rank;
use crate::admit::reservation::Ranks;
use crate::admit::reservation::RefusedCaller;
use crate::admit::reservation::Reservation;
use crate::admit::reservation::ServiceCapacity;
use crate::admit::reservation::MIN_RETRY_AFTER;
use crate::clock::Millis;
use crate::forward::routes::Backend;
use crate::forward::routes::Configuration;
use crate::forward::routes::Limits;
use crate::forward::routes::RepeatPolicy;
use crate::forward::routes::Route;
use crate::forward::routes::Service;
use crate::forward::routes::Team;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::name::ServiceName;
use crate::name::TeamName;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;
use crate::placement::load::Load;
use crate::placement::path::LayerHolder;
use crate::placement::path::MAX_MEMORY_UTILIZATION;

/// The number of layers of the model.
pub(super) const LAYERS: u16 = 80;
/// The layers that each server holds.
pub(super) const LAYERS_PER_SERVER: u16 = 40;
/// The tokens of requests for which each server has memory.
pub(super) const SERVER_TOKENS: f64 = 50_000.0;
const LAYER_MB: f64 = 1_000.0;
const TOKEN_BYTES: f64 = 800_000.0;
/// The number of hosts that share the capacity.
const HOSTS: usize = 24;
const DEADLINE: Millis = Millis(6_000);

pub(super) fn kind() -> AcceleratorKind {
    let layers = f64::from(LAYERS_PER_SERVER);
    let token_layer_mb = TOKEN_BYTES / f64::from(LAYERS) / 1e6;
    AcceleratorKind {
        name: "card".to_owned(),
        memory_mb: layers * LAYER_MB + SERVER_TOKENS * layers * token_layer_mb,
        step_time_factor: 1.0,
        prefill_time_factor: 1.0,
    }
}

pub(super) fn profile() -> EngineProfile {
    EngineProfile {
        layers: LAYERS,
        layer_mb: LAYER_MB,
        kv_bytes_per_token: TOKEN_BYTES,
        nominal_capacity_tokens: SERVER_TOKENS,
        step_ms: 5.0,
        per_seq_ms: 0.004_59,
        context_ms_per_k: 0.006_15,
        prefill_tokens_per_s: 164_000.0,
        prefill_chunk_tokens: 512.0,
        first_stage_slots: 192,
        decode_steps_per_pass: 4,
        mean_prompt_tokens: 880.0,
        mean_answer_tokens: 220.0,
        report_lag_ms: 200.0,
        max_parallel_loads: 6,
        load_ms: 14_000.0,
        inter_domain_mbps: None,
        activation_bytes: 0.0,
        kinds: vec![kind()],
    }
}

/// Returns a holder of the layers `layers` in `domain` whose requests hold `tokens` tokens.
pub(super) fn holder(domain: &str, index: usize, layers: LayerRange, tokens: f64) -> LayerHolder {
    LayerHolder {
        server: ServerName::new(&format!("{domain}-{index}-{}", layers.from)),
        address: SocketAddrV4::new(Ipv4Addr::LOCALHOST, 80),
        domain: DomainName::new(domain),
        kind: kind(),
        layers,
        load: Load {
            active: 0.0,
            token_layers: (tokens * f64::from(layers.len())) as f32,
            first: 0.0,
        },
        slowness: 1.0,
        prefill_backlog_ms: 0.0,
        faults: 0.0,
        may_begin: true,
    }
}

pub(super) fn lower() -> LayerRange {
    LayerRange::new(0, LAYERS_PER_SERVER)
}

pub(super) fn upper() -> LayerRange {
    LayerRange::new(LAYERS_PER_SERVER, LAYERS)
}

pub(super) fn three_ranks() -> Ranks {
    Ranks::new([2, 0, 1, 1]).expect("three distinct priorities")
}

fn capacity(utilization: f64) -> Option<ServiceCapacity> {
    let total_tokens = 400_000.0;
    Some(ServiceCapacity { total_tokens, free_tokens: (1.0 - utilization) * total_tokens })
}

fn reservation() -> Reservation {
    Reservation::new(&profile(), &three_ranks(), 0.0)
}

fn caller(random: f64) -> RefusedCaller {
    RefusedCaller { time_left: DEADLINE, hosts: HOSTS, random }
}

fn usable(servers: f64) -> f64 {
    servers * SERVER_TOKENS * MAX_MEMORY_UTILIZATION
}

#[test]
fn utilization_is_that_of_the_scarcest_layer_of_each_domain() {
    let holders = [
        holder("a", 0, lower(), 0.0),
        holder("a", 1, lower(), 0.0),
        holder("a", 2, upper(), usable(1.0) / 2.0),
        holder("b", 3, lower(), 0.0),
        holder("b", 4, upper(), 0.0),
    ];
    let found = ServiceCapacity::of(&profile(), &holders).expect("all layers are held");
    assert!((found.total_tokens - usable(2.0)).abs() < 1.0, "{found:?}");
    assert!((found.utilization() - 0.25).abs() < 1e-3, "{found:?}");
}

/// Guards against free memory that no request can use: that of a domain which lacks a layer.
#[test]
fn a_domain_that_lacks_a_layer_adds_no_capacity() {
    let mut holders = vec![holder("a", 0, lower(), usable(1.0)), holder("a", 1, upper(), 0.0)];
    holders.push(holder("b", 2, lower(), 0.0));
    let found = ServiceCapacity::of(&profile(), &holders).expect("domain a holds all layers");
    assert!(found.utilization() > 0.999, "{found:?}");
}

#[test]
fn domains_that_are_complete_only_together_count_as_one() {
    let holders = [holder("a", 0, lower(), 0.0), holder("b", 1, upper(), usable(1.0) / 2.0)];
    let found = ServiceCapacity::of(&profile(), &holders).expect("all layers are held");
    assert!((found.utilization() - 0.5).abs() < 1e-3, "{found:?}");
    assert_eq!(ServiceCapacity::of(&profile(), &holders[..1]), None);
}

#[test]
fn a_holder_of_layers_that_the_model_lacks_is_left_out() {
    let holders = [
        holder("a", 0, lower(), 0.0),
        holder("a", 1, upper(), 0.0),
        holder("a", 2, LayerRange::new(70, 90), 0.0),
        holder("a", 3, LayerRange::new(3, 1), 0.0),
    ];
    let found = ServiceCapacity::of(&profile(), &holders).expect("all layers are held");
    assert!((found.total_tokens - usable(1.0)).abs() < 1.0, "{found:?}");
}

#[test]
fn ranks_close_from_the_least_urgent_at_once_and_open_one_by_one_with_hysteresis() {
    let mut reservation = reservation();
    let change = reservation.on_capacity(Millis(1_000), capacity(0.99), HOSTS);
    assert_eq!(change, Some(LevelChange { from: Rank(2), to: Rank(0) }));
    let within = reservation.opens_at(Rank(1)) + 0.01;
    assert_eq!(reservation.on_capacity(Millis(2_000), capacity(within), HOSTS), None);
    let change = reservation.on_capacity(Millis(3_000), capacity(0.1), HOSTS);
    assert_eq!(change, Some(LevelChange { from: Rank(0), to: Rank(1) }));
    assert_eq!(reservation.on_capacity(Millis(3_050), capacity(0.1), HOSTS), None);
    let change = reservation.on_capacity(Millis(3_100), capacity(0.1), HOSTS);
    assert_eq!(change, Some(LevelChange { from: Rank(1), to: Rank(2) }));
}

#[test]
fn all_ranks_are_admitted_while_the_capacity_is_unknown() {
    let mut reservation = reservation();
    reservation.on_capacity(Millis(1_000), capacity(1.0), HOSTS);
    reservation.on_capacity(Millis(1_050), None, HOSTS);
    assert_eq!(reservation.level(), Rank(2));
}

#[parameterized(first = { 0.0 }, middle = { 0.5 }, last = { 1.0 })]
fn of_each_rank_that_is_not_admitted_one_request_in_eight_is_tried(random: f64) {
    let mut reservation = Reservation::new(&profile(), &three_ranks(), random);
    reservation.on_capacity(Millis(1_000), capacity(1.0), HOSTS);
    for rank in [Rank(1), Rank(2)] {
        let decisions: Vec<Admission> = (0..10 * TRIED_ONE_IN)
            .map(|_| reservation.decide(Millis(1_000), Arrival { rank, caller: caller(0.5) }))
            .collect();
        for window in decisions.chunks(usize::from(TRIED_ONE_IN)) {
            assert_eq!(window.iter().filter(|d| **d == Admission::Try).count(), 1);
        }
    }
    let urgent = Arrival { rank: Rank(0), caller: caller(0.5) };
    assert_eq!(reservation.decide(Millis(1_000), urgent), Admission::Admit);
}

/// Guards against callers of the least urgent rank that retry so often that one in eight of their
/// requests takes the capacity kept for more urgent ranks.
#[test]
fn requests_on_trial_leave_the_reserved_capacity_beyond_a_small_share() {
    let mut reservation = reservation();
    let mut sent = 0;
    for ms in (0..20_000).step_by(10) {
        reservation.on_capacity(Millis(ms), capacity(1.0), HOSTS);
        if reservation.may_send(Rank(2)) {
            reservation.on_trial_sent(Rank(2));
            sent += 1;
        }
    }
    let freed = 20_000.0 * reservation.freed_per_ms(&capacity(1.0).expect("a capacity"));
    let share = f64::from(sent * HOSTS as u32) / freed;
    assert!((0.05..=0.07).contains(&share), "{share}");
}

/// Guards against refused callers that return at once or all at the same moment.
#[test]
fn delays_are_bounded_spread_and_grow_with_the_callers_already_told() {
    let mut reservation = reservation();
    reservation.on_capacity(Millis(1_000), capacity(0.9), HOSTS);
    let delay = |reservation: &mut Reservation, random| {
        reservation.retry_after(Millis(1_000), Rank(2), caller(random))
    };
    let (early, late) = (delay(&mut reservation, 0.0), delay(&mut reservation, 1.0));
    assert!(MIN_RETRY_AFTER <= early && early < late, "{early} {late}");
    for _ in 0..1_000 {
        let delay = delay(&mut reservation, 0.5);
        assert!(MIN_RETRY_AFTER <= delay && delay <= Millis(DEADLINE.0 / 3), "{delay}");
    }
    let (early, late) = (delay(&mut reservation, 0.0), delay(&mut reservation, 1.0));
    assert_eq!(late, Millis(DEADLINE.0 / 3));
    assert!(early.0 <= late.0 / 2, "{early} {late}");
    let after_all = reservation.retry_after(Millis(60_000), Rank(2), caller(1.0));
    assert!(after_all < late, "{after_all}");
}

#[test]
fn a_short_deadline_still_gets_the_least_delay() {
    let caller = RefusedCaller { time_left: Millis(30), hosts: 1, random: 1.0 };
    let delay = reservation().retry_after(Millis(1_000), Rank(2), caller);
    assert_eq!(delay, MIN_RETRY_AFTER);
}

fn route(name: &str, service: &str, priority: u8, public: bool) -> Route {
    Route {
        name: Arc::from(name),
        host: Arc::from("h"),
        prefix: Arc::from(format!("/{name}/")),
        repeat: RepeatPolicy::Safe,
        streaming: true,
        timeout: Millis(4_000),
        target_latency: Millis(500),
        target_event_gap: None,
        max_stream_pause: Millis(2_000),
        priority,
        backends: smallvec![
            Backend { service: ServiceName::new(service), weight: 1 },
            Backend { service: ServiceName::new("unused"), weight: 0 },
        ],
        max_attempts: 2,
        public,
    }
}

fn team(name: &str, priority: Option<u8>) -> Team {
    Team { name: TeamName::new(name), keys: vec![Arc::from(name)], priority }
}

fn service(name: &str, engine: Option<EngineProfile>) -> Service {
    Service { name: ServiceName::new(name), engine, health_path: None }
}

fn configuration(routes: Vec<Route>, teams: Vec<Team>) -> Configuration {
    let services = vec![
        service("model", Some(profile())),
        service("unused", Some(profile())),
        service("plain", None),
    ];
    Configuration::new(1, Limits::default(), routes, services, teams)
}

/// Guards against a reservation where no request is more urgent than another.
#[test]
fn a_service_with_one_priority_has_no_ranks() {
    let routes = vec![
        route("a", "model", 1, false),
        route("b", "model", 1, true),
        route("c", "plain", 0, true),
        route("d", "plain", 1, true),
    ];
    let configuration = configuration(routes, vec![team("t", None), team("u", Some(1))]);
    for name in ["model", "unused", "plain"] {
        assert_eq!(configuration.ranks(&ServiceName::new(name)), None, "{name}");
    }
}

#[test]
fn ranks_follow_the_priorities_of_routes_and_teams() {
    let routes = vec![route("a", "model", 7, false), route("b", "model", 3, true)];
    let configuration = configuration(routes, vec![team("t", None), team("u", Some(0))]);
    let ranks = configuration.ranks(&ServiceName::new("model")).expect("three priorities");
    let found: Vec<Rank> = [0, 3, 5, 7, 200].map(|p| ranks.rank(p)).to_vec();
    assert_eq!(found, [Rank(0), Rank(1), Rank(2), Rank(2), Rank(2)]);
}

/// Guards against ranks that no request can have: the priority of a route all of whose teams have
/// their own.
#[test]
fn the_priority_of_a_team_goes_before_that_of_the_route() {
    let routes = vec![route("a", "model", 0, false), route("b", "model", 2, false)];
    let configuration = configuration(routes, vec![team("t", Some(1)), team("u", Some(1))]);
    assert_eq!(configuration.ranks(&ServiceName::new("model")), None);
}
