//! Tests of the planner, and the model and the servers that all tests of placement use.

use yare::parameterized;

use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::engine::AcceleratorKind;
use crate::placement::engine::EngineProfile;
use crate::placement::engine::LayerRange;
use crate::placement::plan::plan;
use crate::placement::plan::ModelServer;
use crate::placement::plan::Plan;

pub(super) const LAYERS: u16 = 80;

pub(super) fn kind(name: &str) -> AcceleratorKind {
    let (memory_mb, step_time_factor, prefill_time_factor) = match name {
        "big" => (72_000.0, 2.4, 3.2),
        "small" => (14_400.0, 5.3, 7.9),
        _ => (21_600.0, 16.0, 8.2),
    };
    AcceleratorKind { name: name.to_owned(), memory_mb, step_time_factor, prefill_time_factor }
}

pub(super) fn profile() -> EngineProfile {
    EngineProfile {
        layers: LAYERS,
        layer_mb: 1_750.0,
        kv_bytes_per_token: 590_000.0,
        nominal_capacity_tokens: 100_000.0,
        step_ms: 1.02,
        per_seq_ms: 0.004_59,
        context_ms_per_k: 0.006_15,
        prefill_tokens_per_s: 164_000.0,
        prefill_chunk_tokens: 512.0,
        first_stage_slots: 192,
        decode_steps_per_pass: 4,
        mean_prompt_tokens: 775.0,
        mean_answer_tokens: 220.0,
        report_lag_ms: 200.0,
        max_parallel_loads: 6,
        load_ms: 14_000.0,
        inter_domain_mbps: None,
        activation_bytes: 0.0,
        kinds: vec![kind("big"), kind("small"), kind("slow")],
    }
}

fn model_server(domain: &str, kind_name: &str, index: usize) -> ModelServer {
    ModelServer {
        server: ServerName::new(&format!("{domain}-{kind_name}-{index}")),
        domain: DomainName::new(domain),
        kind: kind(kind_name),
        holds: None,
    }
}

fn domain_servers(domain: &str, big: usize, small: usize, slow: usize) -> Vec<ModelServer> {
    let of = |name: &'static str, count: usize| {
        let domain = domain.to_owned();
        (0..count).map(move |i| model_server(&domain, name, i))
    };
    of("big", big).chain(of("small", small)).chain(of("slow", slow)).collect()
}

pub(super) fn fleet() -> Vec<ModelServer> {
    let mut servers = domain_servers("a", 2, 4, 4);
    servers.extend(domain_servers("b", 1, 6, 6));
    servers.extend(domain_servers("c", 1, 10, 4));
    servers
}

pub(super) fn with_held_layers(mut servers: Vec<ModelServer>, plan: &Plan) -> Vec<ModelServer> {
    for model_server in &mut servers {
        model_server.holds = plan.get(&model_server.server).copied();
    }
    servers
}

pub(super) fn uncovered_layers(servers: &[ModelServer], plan: &Plan, domain: &str) -> Vec<u16> {
    let held: Vec<LayerRange> = servers
        .iter()
        .filter(|c| c.domain.as_str() == domain)
        .filter_map(|c| plan.get(&c.server).copied())
        .collect();
    (0..LAYERS).filter(|&l| !held.iter().any(|r| r.from <= l && l < r.to)).collect()
}

#[parameterized(a = { "a" }, b = { "b" }, c = { "c" })]
fn the_first_plan_gives_each_domain_a_whole_model(domain: &str) {
    let servers = fleet();
    assert_eq!(uncovered_layers(&servers, &plan(&profile(), &servers), domain), Vec::<u16>::new());
}

#[test]
fn no_server_is_planned_beyond_its_memory_and_each_keeps_capacity_for_requests() {
    let servers = fleet();
    let plan = plan(&profile(), &servers);
    for model_server in &servers {
        if let Some(range) = plan.get(&model_server.server) {
            let capacity = profile().token_capacity(&model_server.kind, range.len());
            assert!(
                capacity >= 50_000.0,
                "{} has capacity for {capacity} tokens",
                model_server.server
            );
        }
    }
}

#[test]
fn a_plan_that_servers_already_hold_is_not_changed() {
    let servers = fleet();
    let first = plan(&profile(), &servers);
    assert_eq!(plan(&profile(), &with_held_layers(servers, &first)), first);
}

#[parameterized(
    small = { "b-small-3" },
    big = { "b-big-0" },
    slow = { "b-slow-0" },
)]
fn after_the_loss_of_a_server_its_domain_covers_all_layers_and_other_domains_do_not_change(
    lost: &str,
) {
    let servers = fleet();
    let first = plan(&profile(), &servers);
    let mut left = with_held_layers(servers, &first);
    left.retain(|c| c.server.as_str() != lost);
    let second = plan(&profile(), &left);
    assert_eq!(uncovered_layers(&left, &second, "b"), Vec::<u16>::new());
    let moved = left.iter().filter(|c| c.holds != second.get(&c.server).copied());
    let moved: Vec<&str> = moved.map(|c| c.server.as_str()).collect();
    assert!(moved.len() <= 4, "moved {moved:?}");
    assert!(moved.iter().all(|s| s.starts_with("b-")), "moved {moved:?}");
}

#[test]
fn a_server_that_comes_back_empty_gets_layers() {
    let servers = fleet();
    let first = plan(&profile(), &servers);
    let mut back = with_held_layers(servers, &first);
    for model_server in &mut back {
        if model_server.server.as_str() == "c-small-1" {
            model_server.holds = None;
        }
    }
    let second = plan(&profile(), &back);
    assert_eq!(uncovered_layers(&back, &second, "c"), Vec::<u16>::new());
    assert!(second.contains_key("c-small-1"));
}

#[test]
fn domains_too_small_for_a_model_hold_one_together() {
    let mut servers = domain_servers("a", 1, 0, 0);
    servers.extend(domain_servers("b", 1, 2, 0));
    servers.extend(domain_servers("c", 1, 0, 1));
    let plan = plan(&profile(), &servers);
    let total: u16 = plan.values().map(|r| r.len()).sum();
    assert!(total >= LAYERS, "{total} layers");
}

fn capacity_of_layer(servers: &[ModelServer], plan: &Plan, layer: u16) -> f64 {
    servers
        .iter()
        .filter_map(|c| Some((c, *plan.get(&c.server)?)))
        .filter(|(_, r)| r.from <= layer && layer < r.to)
        .map(|(c, r)| profile().token_capacity(&c.kind, r.len()))
        .sum()
}

// A request that crashes the first servers of chains, one after the other, took nearly all places at
// which requests begin.
#[test]
fn the_loss_of_any_three_servers_leaves_half_of_the_room_of_the_first_layer() {
    let servers = fleet();
    let plan = plan(&profile(), &servers);
    let room = |left: &[ModelServer]| capacity_of_layer(left, &plan, 0);
    let mut left = servers.clone();
    left.sort_by(|a, b| {
        let of = |server: &ModelServer| room(std::slice::from_ref(server));
        of(b).total_cmp(&of(a))
    });
    left.drain(..3);
    let share = room(&left) / room(&servers);
    assert!(share >= 0.5, "{share:.2} of the room is left");
}

#[test]
fn after_permanent_losses_of_the_same_layers_other_servers_take_them_over() {
    let servers = fleet();
    let first = plan(&profile(), &servers);
    let layer = 70;
    let mut left = with_held_layers(servers, &first);
    let lost = |c: &ModelServer| {
        c.domain.as_str() != "a" && c.holds.is_some_and(|r| r.from <= layer && layer < r.to)
    };
    left.retain(|c| !lost(c));
    let before = capacity_of_layer(&left, &held_plan(&left), layer);
    for _ in 0..6 {
        let next = plan(&profile(), &left);
        left = with_held_layers(left, &next);
    }
    let after = capacity_of_layer(&left, &held_plan(&left), layer);
    assert!(after >= 2.0 * before, "{before} tokens before, {after} after");
}

/// Returns the number of layers that the other servers are to load while a wave of four servers of
/// a rolling release is away, and the number of layers that those four held.
fn layers_loaded_and_away(first: usize) -> (u16, u16) {
    let servers = fleet();
    let planned = plan(&profile(), &servers);
    let servers = with_held_layers(servers, &planned);
    let step = servers.len() / 4;
    let is_away = |i: usize| i % step == first;
    let held = |c: &ModelServer| c.holds.map_or(0, |r| r.len());
    let away = servers.iter().enumerate().filter(|(i, _)| is_away(*i)).map(|(_, c)| held(c)).sum();
    let left: Vec<ModelServer> =
        servers.iter().enumerate().filter(|(i, _)| !is_away(*i)).map(|(_, c)| c.clone()).collect();
    let next = plan(&profile(), &left);
    let moved = left.iter().filter(|c| next.get(&c.server) != c.holds.as_ref());
    let loaded = moved.filter_map(|c| next.get(&c.server)).map(|r| r.len()).sum();
    (loaded, away)
}

#[test]
fn a_rolling_release_makes_servers_load_no_more_layers_than_it_took_away() {
    for first in 0..fleet().len() / 4 {
        let (loaded, away) = layers_loaded_and_away(first);
        assert!(loaded <= away, "{loaded} layers loaded for {away}, wave from {first}");
    }
}

fn held_plan(servers: &[ModelServer]) -> Plan {
    servers.iter().filter_map(|c| Some((c.server.clone(), c.holds?))).collect()
}
