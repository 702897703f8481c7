//! Tests of placement and of the choice of chains.

use std::collections::BTreeSet;
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
use super::membership::MembershipTracker;
use super::path;
use super::path::ChainNeeds;
use super::path::LayerHolder;
use super::path::NoChain;
use super::plan::plan;
use super::plan::ModelServer;
use super::plan::Plan;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::HostName;
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

fn card(domain: &str, kind_name: &str, index: usize) -> ModelServer {
    ModelServer {
        server: ServerName::new(&format!("{domain}-{kind_name}-{index}")),
        domain: DomainName::new(domain),
        kind: kind(kind_name),
        holds: None,
    }
}

fn domain_cards(domain: &str, big: usize, small: usize, slow: usize) -> Vec<ModelServer> {
    let of = |name: &'static str, count: usize| {
        let domain = domain.to_owned();
        (0..count).map(move |i| card(&domain, name, i))
    };
    of("big", big).chain(of("small", small)).chain(of("slow", slow)).collect()
}

fn fleet() -> Vec<ModelServer> {
    let mut cards = domain_cards("a", 2, 4, 4);
    cards.extend(domain_cards("b", 1, 6, 6));
    cards.extend(domain_cards("c", 1, 10, 4));
    cards
}

fn holding(mut cards: Vec<ModelServer>, plan: &Plan) -> Vec<ModelServer> {
    for card in &mut cards {
        card.holds = plan.get(&card.server).copied();
    }
    cards
}

fn uncovered(cards: &[ModelServer], plan: &Plan, domain: &str) -> Vec<u16> {
    let held: Vec<LayerRange> = cards
        .iter()
        .filter(|c| c.domain.as_str() == domain)
        .filter_map(|c| plan.get(&c.server).copied())
        .collect();
    (0..LAYERS).filter(|&l| !held.iter().any(|r| r.from <= l && l < r.to)).collect()
}

#[parameterized(a = { "a" }, b = { "b" }, c = { "c" })]
fn the_first_plan_gives_each_domain_a_whole_model(domain: &str) {
    let cards = fleet();
    assert_eq!(uncovered(&cards, &plan(&profile(), &cards), domain), Vec::<u16>::new());
}

#[test]
fn no_server_is_planned_beyond_its_memory_and_each_keeps_room_for_requests() {
    let cards = fleet();
    let plan = plan(&profile(), &cards);
    for card in &cards {
        if let Some(range) = plan.get(&card.server) {
            let room = profile().token_capacity(&card.kind, range.len());
            assert!(room >= 50_000.0, "{} has room for {room} tokens", card.server);
        }
    }
}

#[test]
fn a_plan_that_servers_hold_stays_as_it_is() {
    let cards = fleet();
    let first = plan(&profile(), &cards);
    assert_eq!(plan(&profile(), &holding(cards, &first)), first);
}

#[parameterized(
    small = { "b-small-3" },
    big = { "b-big-0" },
    slow = { "b-slow-0" },
)]
fn after_the_loss_of_one_server_its_domain_is_whole_again_and_the_others_stay(lost: &str) {
    let cards = fleet();
    let first = plan(&profile(), &cards);
    let mut left = holding(cards, &first);
    left.retain(|c| c.server.as_str() != lost);
    let second = plan(&profile(), &left);
    assert_eq!(uncovered(&left, &second, "b"), Vec::<u16>::new());
    let moved = left.iter().filter(|c| c.holds != second.get(&c.server).copied());
    let moved: Vec<&str> = moved.map(|c| c.server.as_str()).collect();
    assert!(moved.len() <= 4, "moved {moved:?}");
    assert!(moved.iter().all(|s| s.starts_with("b-")), "moved {moved:?}");
}

#[test]
fn a_server_that_comes_back_empty_gets_layers() {
    let cards = fleet();
    let first = plan(&profile(), &cards);
    let mut back = holding(cards, &first);
    for card in &mut back {
        if card.server.as_str() == "c-small-1" {
            card.holds = None;
        }
    }
    let second = plan(&profile(), &back);
    assert_eq!(uncovered(&back, &second, "c"), Vec::<u16>::new());
    assert!(second.contains_key("c-small-1"));
}

#[test]
fn domains_too_small_for_a_model_hold_one_together() {
    let mut cards = domain_cards("a", 1, 0, 0);
    cards.extend(domain_cards("b", 1, 2, 0));
    cards.extend(domain_cards("c", 1, 0, 1));
    let plan = plan(&profile(), &cards);
    let total: u16 = plan.values().map(|r| r.len()).sum();
    assert!(total >= LAYERS, "{total} layers");
}

fn room_of_layer(cards: &[ModelServer], plan: &Plan, layer: u16) -> f64 {
    cards
        .iter()
        .filter_map(|c| Some((c, *plan.get(&c.server)?)))
        .filter(|(_, r)| r.from <= layer && layer < r.to)
        .map(|(c, r)| profile().token_capacity(&c.kind, r.len()))
        .sum()
}

#[test]
fn after_lasting_losses_of_the_same_layers_others_come_to_hold_them() {
    let cards = fleet();
    let first = plan(&profile(), &cards);
    let layer = 70;
    let mut left = holding(cards, &first);
    let lost = |c: &ModelServer| {
        c.domain.as_str() != "a" && c.holds.is_some_and(|r| r.from <= layer && layer < r.to)
    };
    left.retain(|c| !lost(c));
    let before = room_of_layer(&left, &holding_plan(&left), layer);
    for _ in 0..6 {
        let next = plan(&profile(), &left);
        left = holding(left, &next);
    }
    let after = room_of_layer(&left, &holding_plan(&left), layer);
    assert!(after >= 2.0 * before, "{before} tokens before, {after} after");
}

/// Returns the layers that servers are to load in the place of others while a wave of four servers
/// is away, and the layers of those four.
fn loaded_while_away(first: usize) -> (u16, u16) {
    let cards = fleet();
    let planned = plan(&profile(), &cards);
    let cards = holding(cards, &planned);
    let step = cards.len() / 4;
    let is_away = |i: usize| i % step == first;
    let held = |c: &ModelServer| c.holds.map_or(0, |r| r.len());
    let away = cards.iter().enumerate().filter(|(i, _)| is_away(*i)).map(|(_, c)| held(c)).sum();
    let left: Vec<ModelServer> =
        cards.iter().enumerate().filter(|(i, _)| !is_away(*i)).map(|(_, c)| c.clone()).collect();
    let next = plan(&profile(), &left);
    let moved = left.iter().filter(|c| next.get(&c.server) != c.holds.as_ref());
    let loaded = moved.filter_map(|c| next.get(&c.server)).map(|r| r.len()).sum();
    (loaded, away)
}

#[test]
fn a_release_wave_makes_servers_load_less_than_the_wave_took_away() {
    for first in 0..fleet().len() / 4 {
        let (loaded, away) = loaded_while_away(first);
        assert!(loaded <= away, "{loaded} layers loaded for {away}, wave from {first}");
    }
}

fn holding_plan(cards: &[ModelServer]) -> Plan {
    cards.iter().filter_map(|c| Some((c.server.clone(), c.holds?))).collect()
}

fn address(index: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, u8::try_from(index).expect("few servers")), 80)
}

fn holders(cards: &[ModelServer], plan: &Plan) -> Vec<LayerHolder> {
    cards
        .iter()
        .enumerate()
        .filter_map(|(index, card)| {
            Some(LayerHolder {
                server: card.server.clone(),
                address: address(index),
                domain: card.domain.clone(),
                kind: card.kind.clone(),
                layers: *plan.get(&card.server)?,
                load: Load::default(),
                slowness: 1.0,
                faults: 0.0,
                prefill_backlog_ms: 0.0,
            })
        })
        .collect()
}

fn planned_holders() -> Vec<LayerHolder> {
    let cards = fleet();
    let plan = plan(&profile(), &cards);
    holders(&cards, &plan)
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
fn on_a_calm_day_a_chain_stays_inside_one_domain(domain: &str) {
    let chain = choose_for(&planned_holders(), domain).expect("a chain");
    assert_eq!(domains_of(&chain).len(), 1);
}

#[test]
fn a_lost_layer_range_is_borrowed_from_another_domain() {
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
fn a_full_server_is_passed_by() {
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
fn a_slow_server_is_avoided_when_a_sound_one_holds_its_layers() {
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

#[test]
fn a_full_server_whose_middle_layers_have_a_copy_elsewhere_still_begins_a_chain() {
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
fn a_burst_that_takes_all_slots_of_first_servers_is_told_from_a_lack_of_memory() {
    let mut holders = planned_holders();
    for holder in holders.iter_mut().filter(|h| h.layers.from == 0) {
        holder.load.first = 192.0;
    }
    let domain = DomainName::new("a");
    let need = ChainNeeds { domain: &domain, tokens: 1_000.0, current: None, allowed_first: None };
    assert_eq!(path::choose_chain(&profile(), &holders, need), None);
    let lack = path::explain_no_chain(&profile(), &holders, need);
    assert!(matches!(lack, NoChain::FirstServerUnavailable { holders: 3.. }), "{lack:?}");
}

#[test]
fn without_a_holder_of_a_layer_there_is_no_chain_and_the_layer_is_named() {
    let mut holders = planned_holders();
    holders.retain(|h| !(h.layers.from <= 33 && 33 < h.layers.to));
    assert_eq!(choose_for(&holders, "a"), None);
    let domain = DomainName::new("a");
    let lack = path::explain_no_chain(
        &profile(),
        &holders,
        ChainNeeds { domain: &domain, tokens: 1.0, current: None, allowed_first: None },
    );
    assert!(matches!(lack, NoChain::LayerUnavailable { layer: ..=33, holders: 0 }), "{lack:?}");
}

#[test]
fn a_chain_that_loses_a_part_keeps_the_others_and_begins_with_the_same_one() {
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
fn streams_that_lose_a_part_together_do_not_all_move_to_one_server() {
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
    let mut taken = BTreeSet::new();
    for _ in 0..60 {
        let after = path::choose_chain(&profile(), &holders, need).expect("a chain");
        for part in after.stages().iter().filter(|p| !before.stages().contains(p)) {
            taken.insert(part.server.clone());
            let holder = holders.iter_mut().find(|h| h.server == part.server).expect("a holder");
            let per_ms =
                profile().prefill_tokens_per_ms(&holder.kind, part.layers.len(), 50.0, 5e4);
            holder.prefill_backlog_ms += 900.0 / per_ms;
        }
    }
    assert!(taken.len() >= 2, "all moved to {taken:?}");
}

#[test]
fn a_chain_that_loses_its_first_part_cannot_be_changed() {
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

fn part(index: usize, from: u16, to: u16) -> ChainStage {
    ChainStage {
        server: ServerName::new(&index.to_string()),
        address: address(index),
        layers: LayerRange::new(from, to),
    }
}

#[parameterized(
    gap = { smallvec![part(1, 0, 40), part(2, 41, 80)], ChainError::NotContiguous },
    overlap = { smallvec![part(1, 0, 41), part(2, 40, 80)], ChainError::NotContiguous },
    order = { smallvec![part(1, 40, 80), part(2, 0, 40)], ChainError::NotContiguous },
    short = { smallvec![part(1, 0, 79)], ChainError::NotContiguous },
    twice = { smallvec![part(1, 0, 40), part(1, 40, 80)], ChainError::DuplicateServer },
    empty = { smallvec![], ChainError::Empty },
)]
fn parts_that_do_not_run_each_layer_once_in_order_are_no_chain(
    parts: SmallVec<[ChainStage; 12]>,
    expected: ChainError,
) {
    assert_eq!(Chain::new(parts, LAYERS), Err(expected));
}

#[test]
fn loads_of_other_hosts_count_until_they_fall_silent() {
    let chain = Chain::new(smallvec![part(1, 0, 80)], LAYERS).expect("a chain");
    let server = ServerName::new("1");
    let mut loads = ServerLoads::default();
    loads.add_request(&chain, 100.0);
    let theirs = Load { active: 2.0, token_layers: 500.0, first: 2.0 };
    loads.on_peer_loads(Millis(0), HostName::new("h"), vec![(server.clone(), theirs)]);
    assert_eq!(loads.total(&server).active, 3.0);
    loads.remove_request(&chain, 100.0);
    assert_eq!(loads.total(&server).token_layers, 500.0);
    loads.on_tick(PEER_LOAD_TTL);
    assert_eq!(loads.total(&server), Load::default());
}

fn names(count: usize) -> BTreeSet<ServerName> {
    (0..count).map(|i| ServerName::new(&i.to_string())).collect()
}

#[test]
fn a_domain_is_planned_once_its_servers_stop_coming() {
    let domain = DomainName::new("a");
    let mut roster = MembershipTracker::default();
    roster.observe(Millis(0), &domain, names(3));
    roster.observe(Millis(600), &domain, names(10));
    assert!(!roster.is_settled(Millis(1_500), &domain, false));
    assert!(roster.is_settled(Millis(1_900), &domain, false));
}

#[test]
fn a_domain_that_vanishes_and_comes_back_is_left_alone_meanwhile() {
    let domain = DomainName::new("a");
    let mut roster = MembershipTracker::default();
    roster.observe(Millis(0), &domain, names(10));
    assert!(roster.is_settled(Millis(2_000), &domain, true));
    roster.observe(Millis(3_000), &domain, names(4));
    assert!(!roster.is_settled(Millis(5_000), &domain, true));
    roster.observe(Millis(6_000), &domain, names(10));
    assert!(roster.is_settled(Millis(6_600), &domain, true));
}
