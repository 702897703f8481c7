//! Tests of the planner, of the choice of chains and of the tables that both use.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use smallvec::smallvec;
use smallvec::SmallVec;
use yare::parameterized;

use super::chain::Chain;
use super::chain::ChainError;
use super::chain::ChainStage;
use super::engine::AcceleratorKind;
use super::engine::EngineProfile;
use super::engine::LayerRange;
use super::load::Load;
use super::load::ServerLoads;
use super::load::PEER_LOAD_TTL;
use super::path;
use super::path::ChainNeeds;
use super::path::LayerHolder;
use super::path::NoChain;
use super::plan::plan;
use super::plan::ModelServer;
use super::plan::Plan;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;

const LAYERS: u16 = 80;

fn kind(name: &str) -> AcceleratorKind {
    let (memory_mb, step_time_factor, prefill_time_factor) = match name {
        "big" => (72_000.0, 2.4, 3.2),
        "small" => (14_400.0, 5.3, 7.9),
        _ => (21_600.0, 16.0, 8.2),
    };
    AcceleratorKind { name: name.to_owned(), memory_mb, step_time_factor, prefill_time_factor }
}

fn profile() -> EngineProfile {
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

fn fleet() -> Vec<ModelServer> {
    let mut servers = domain_servers("a", 2, 4, 4);
    servers.extend(domain_servers("b", 1, 6, 6));
    servers.extend(domain_servers("c", 1, 10, 4));
    servers
}

fn with_held_layers(mut servers: Vec<ModelServer>, plan: &Plan) -> Vec<ModelServer> {
    for model_server in &mut servers {
        model_server.holds = plan.get(&model_server.server).copied();
    }
    servers
}

fn uncovered_layers(servers: &[ModelServer], plan: &Plan, domain: &str) -> Vec<u16> {
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

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(index).expect("few servers")), 80)
}

fn holders(servers: &[ModelServer], plan: &Plan) -> Vec<LayerHolder> {
    servers
        .iter()
        .enumerate()
        .filter_map(|(index, model_server)| {
            Some(LayerHolder {
                server: model_server.server.clone(),
                address: address(index),
                domain: model_server.domain.clone(),
                kind: model_server.kind.clone(),
                layers: *plan.get(&model_server.server)?,
                load: Load::default(),
                slowness: 1.0,
                faults: 0.0,
                may_begin: true,
                prefill_backlog_ms: 0.0,
            })
        })
        .collect()
}

fn planned_holders() -> Vec<LayerHolder> {
    let servers = fleet();
    let plan = plan(&profile(), &servers);
    holders(&servers, &plan)
}

fn choose_for(holders: &[LayerHolder], domain: &str) -> Option<Chain> {
    let domain = DomainName::new(domain);
    path::choose_chain(
        &profile(),
        holders,
        ChainNeeds { domain: &domain, tokens: 1_000.0, current: None, allowed_first: None },
    )
}

fn domains_of(chain: &Chain) -> BTreeSet<&str> {
    chain.stages().iter().map(|p| &p.server.as_str()[..1]).collect()
}

#[parameterized(a = { "a" }, b = { "b" }, c = { "c" })]
fn without_load_a_chain_stays_inside_one_domain(domain: &str) {
    let chain = choose_for(&planned_holders(), domain).expect("a chain");
    assert_eq!(domains_of(&chain).len(), 1);
}

#[test]
fn a_chain_uses_another_domain_for_layers_that_its_own_domain_lost() {
    let mut holders = planned_holders();
    holders.retain(|h| !(h.domain.as_str() != "a" && h.layers.from <= 40 && 40 < h.layers.to));
    for holder in &mut holders {
        if holder.domain.as_str() == "a" && holder.layers.from == 0 {
            holder.load.first = 192.0;
        }
    }
    let chain = choose_for(&holders, "b").expect("a chain");
    assert!(domains_of(&chain).len() > 1, "{chain:?}");
}

#[test]
fn a_full_server_is_not_used() {
    let mut holders = planned_holders();
    let first = choose_for(&holders, "c").expect("a chain");
    let full = first.stages()[2].server.clone();
    for holder in &mut holders {
        if holder.server == full {
            holder.load.token_layers = 1e9;
        }
    }
    let second = choose_for(&holders, "c").expect("another chain");
    assert!(second.stages().iter().all(|p| p.server != full));
}

#[test]
fn a_slow_server_is_avoided_when_a_fast_one_holds_its_layers() {
    let mut holders = planned_holders();
    let first = choose_for(&holders, "a").expect("a chain");
    let slow = first.stages()[3].server.clone();
    for holder in &mut holders {
        if holder.server == slow {
            holder.slowness = 60.0;
        }
    }
    let second = choose_for(&holders, "a").expect("another chain");
    assert!(second.stages().iter().all(|p| p.server != slow));
}

/// Guards against an entry of layers that the model does not have, which left no chain for any request.
#[test]
fn a_holder_of_layers_that_the_model_lacks_changes_no_chain_and_no_plan() {
    let holders = planned_holders();
    let chain = choose_for(&holders, "a").expect("a chain");
    let model_layers = profile().layers;
    for (from, to) in [
        (model_layers, model_layers + 1),
        (model_layers - 1, model_layers + 1),
        (model_layers + 20, model_layers + 21),
        (0, u16::MAX),
        (u16::MAX - 1, u16::MAX),
        (3, 1),
        (0, 0),
    ] {
        let mut with_odd = holders.clone();
        let mut odd = holders[0].clone();
        odd.server = ServerName::new("odd");
        odd.address = address(holders.len());
        odd.layers = LayerRange::new(from, to);
        with_odd.push(odd);
        assert_eq!(choose_for(&with_odd, "a").as_ref(), Some(&chain), "{from}-{to}");
        let mut servers = with_held_layers(fleet(), &plan(&profile(), &fleet()));
        servers[0].holds = Some(LayerRange::new(from, to));
        let mended = plan(&profile(), &servers);
        for domain in ["a", "b", "c"] {
            assert!(uncovered_layers(&servers, &mended, domain).is_empty(), "{from}-{to} {domain}");
        }
    }
}

#[test]
fn a_nearly_full_server_whose_middle_layers_have_a_copy_elsewhere_gets_one_stage_only() {
    let mut holders = planned_holders();
    let whole = holders.iter().position(|h| h.layers.len() > 20).expect("a wide range");
    let layers = holders[whole].layers;
    let copy = holders.iter().position(|h| h.domain.as_str() == "c").expect("another domain");
    holders[copy].layers = LayerRange::new(layers.from + 8, layers.from + 16);
    holders[copy].domain = holders[whole].domain.clone();
    holders.retain(|h| {
        h.layers == layers
            || h.layers.from < layers.from
            || h.layers.to > layers.to
            || h.address == address(copy)
    });
    for holder in holders.iter_mut().filter(|h| h.layers == layers) {
        holder.load.token_layers =
            (0.9 * profile().token_layer_capacity(&holder.kind, layers.len())) as f32;
    }
    let chain = choose_for(&holders, "a").expect("a chain");
    let servers: BTreeSet<&ServerName> = chain.stages().iter().map(|p| &p.server).collect();
    assert_eq!(servers.len(), chain.stages().len());
}

#[test]
fn a_lack_of_first_stage_slots_is_distinguished_from_a_lack_of_memory() {
    let mut holders = planned_holders();
    for holder in holders.iter_mut().filter(|h| h.layers.from == 0) {
        holder.load.first = 192.0;
    }
    let domain = DomainName::new("a");
    let need = ChainNeeds { domain: &domain, tokens: 1_000.0, current: None, allowed_first: None };
    assert_eq!(path::choose_chain(&profile(), &holders, need), None);
    let reason = path::explain_no_chain(&profile(), &holders, need);
    assert!(matches!(reason, NoChain::FirstServerUnavailable { holders: 3.. }), "{reason:?}");
}

#[test]
fn without_a_holder_of_a_layer_there_is_no_chain_and_the_layer_is_reported() {
    let mut holders = planned_holders();
    holders.retain(|h| !(h.layers.from <= 33 && 33 < h.layers.to));
    assert_eq!(choose_for(&holders, "a"), None);
    let domain = DomainName::new("a");
    let reason = path::explain_no_chain(
        &profile(),
        &holders,
        ChainNeeds { domain: &domain, tokens: 1.0, current: None, allowed_first: None },
    );
    assert!(matches!(reason, NoChain::LayerUnavailable { layer: ..=33, holders: 0 }), "{reason:?}");
}

#[test]
fn a_chain_that_loses_a_stage_keeps_all_others_including_the_first() {
    let mut holders = planned_holders();
    let before = choose_for(&holders, "a").expect("a chain");
    let lost = before.stages()[3].server.clone();
    holders.retain(|h| h.server != lost);
    let domain = DomainName::new("a");
    let need = ChainNeeds {
        domain: &domain,
        tokens: 1_000.0,
        current: Some(&before),
        allowed_first: None,
    };
    let after = path::choose_chain(&profile(), &holders, need).expect("a chain");
    assert_eq!(after.first(), before.first());
    let kept = before.stages().iter().filter(|p| after.stages().contains(p)).count();
    assert_eq!(kept, before.stages().len() - 1, "{after:?}");
}

#[test]
fn streams_that_lose_a_stage_at_the_same_time_do_not_all_move_to_one_server() {
    let mut holders = planned_holders();
    let before = choose_for(&holders, "a").expect("a chain");
    let lost = before.stages()[3].clone();
    holders.retain(|h| h.server != lost.server);
    let domain = DomainName::new("a");
    let need = ChainNeeds {
        domain: &domain,
        tokens: 1_000.0,
        current: Some(&before),
        allowed_first: None,
    };
    let mut used_servers = BTreeSet::new();
    for _ in 0..60 {
        let after = path::choose_chain(&profile(), &holders, need).expect("a chain");
        for stage in after.stages().iter().filter(|p| !before.stages().contains(p)) {
            used_servers.insert(stage.server.clone());
            let holder = holders.iter_mut().find(|h| h.server == stage.server).expect("a holder");
            let per_ms =
                profile().prefill_tokens_per_ms(&holder.kind, stage.layers.len(), 50.0, 5e4);
            holder.prefill_backlog_ms += 900.0 / per_ms;
        }
    }
    assert!(used_servers.len() >= 2, "all moved to {used_servers:?}");
}

#[test]
fn a_chain_that_loses_its_first_stage_cannot_be_replaced() {
    let mut holders = planned_holders();
    let before = choose_for(&holders, "a").expect("a chain");
    holders.retain(|h| h.server != before.first().server);
    let domain = DomainName::new("a");
    let need = ChainNeeds {
        domain: &domain,
        tokens: 1_000.0,
        current: Some(&before),
        allowed_first: None,
    };
    assert_eq!(path::choose_chain(&profile(), &holders, need), None);
}

fn stage(index: usize, from: u16, to: u16) -> ChainStage {
    ChainStage {
        server: ServerName::new(&index.to_string()),
        address: address(index),
        layers: LayerRange::new(from, to),
    }
}

#[parameterized(
    gap = { smallvec![stage(1, 0, 40), stage(2, 41, 80)], ChainError::NotContiguous },
    overlap = { smallvec![stage(1, 0, 41), stage(2, 40, 80)], ChainError::NotContiguous },
    order = { smallvec![stage(1, 40, 80), stage(2, 0, 40)], ChainError::NotContiguous },
    short = { smallvec![stage(1, 0, 79)], ChainError::NotContiguous },
    twice = { smallvec![stage(1, 0, 40), stage(1, 40, 80)], ChainError::DuplicateServer },
    empty = { smallvec![], ChainError::Empty },
)]
fn stages_that_do_not_run_each_layer_once_in_order_are_rejected(
    stages: SmallVec<[ChainStage; 12]>,
    expected: ChainError,
) {
    assert_eq!(Chain::new(stages, LAYERS), Err(expected));
}

#[test]
fn loads_of_other_hosts_expire_without_new_reports() {
    let chain = Chain::new(smallvec![stage(1, 0, 80)], LAYERS).expect("a chain");
    let server = ServerName::new("1");
    let mut loads = ServerLoads::default();
    loads.add_request(&chain, 100.0);
    let theirs = Load { active: 2.0, token_layers: 500.0, first: 2.0 };
    loads.on_others(Millis(0), HashMap::from([(server.clone(), theirs)]));
    assert_eq!(loads.total(&server).active, 3.0);
    loads.remove_request(&chain, 100.0);
    assert_eq!(loads.total(&server).token_layers, 500.0);
    loads.on_tick(PEER_LOAD_TTL);
    assert_eq!(loads.total(&server), Load::default());
}
