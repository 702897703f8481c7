//! Tests of the choice of chains and of the loads that it uses.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use smallvec::smallvec;
use smallvec::SmallVec;
use yare::parameterized;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::chain::Chain;
use crate::placement::chain::ChainError;
use crate::placement::chain::ChainStage;
use crate::placement::engine::LayerRange;
use crate::placement::load::Load;
use crate::placement::load::ServerLoads;
use crate::placement::load::PEER_LOAD_TTL;
use crate::placement::path;
use crate::placement::path::ChainNeeds;
use crate::placement::path::LayerHolder;
use crate::placement::plan::plan;
use crate::placement::plan::ModelServer;
use crate::placement::plan::Plan;
use crate::placement::shortage;
use crate::placement::shortage::NoChain;
use crate::placement::tests::fleet;
use crate::placement::tests::profile;
use crate::placement::tests::uncovered_layers;
use crate::placement::tests::with_held_layers;
use crate::placement::tests::LAYERS;

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

pub(super) fn planned_holders() -> Vec<LayerHolder> {
    let servers = fleet();
    let plan = plan(&profile(), &servers);
    holders(&servers, &plan)
}

fn choose_for(holders: &[LayerHolder], domain: &str) -> Option<Chain> {
    let domain = DomainName::new(domain);
    path::choose_chain(
        &profile(),
        holders,
        ChainNeeds {
            domain: &domain,
            tokens: 1_000.0,
            current: None,
            allowed_first: None,
            may_cross: true,
            max_prefill_backlog_ms: None,
            spread_seed: None,
        },
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
    let need = ChainNeeds {
        domain: &domain,
        tokens: 1_000.0,
        current: None,
        allowed_first: None,
        may_cross: true,
        max_prefill_backlog_ms: None,
        spread_seed: None,
    };
    assert_eq!(path::choose_chain(&profile(), &holders, need), None);
    let reason = shortage::explain_no_chain(&profile(), &holders, need);
    assert!(matches!(reason, NoChain::FirstServerUnavailable { holders: 3.. }), "{reason:?}");
}

#[test]
fn without_a_holder_of_a_layer_there_is_no_chain_and_the_layer_is_reported() {
    let mut holders = planned_holders();
    holders.retain(|h| !(h.layers.from <= 33 && 33 < h.layers.to));
    assert_eq!(choose_for(&holders, "a"), None);
    let domain = DomainName::new("a");
    let reason = shortage::explain_no_chain(
        &profile(),
        &holders,
        ChainNeeds {
            domain: &domain,
            tokens: 1.0,
            current: None,
            allowed_first: None,
            may_cross: true,
            max_prefill_backlog_ms: None,
            spread_seed: None,
        },
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
        may_cross: true,
        max_prefill_backlog_ms: None,
        spread_seed: None,
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
        may_cross: true,
        max_prefill_backlog_ms: None,
        spread_seed: None,
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
        may_cross: true,
        max_prefill_backlog_ms: None,
        spread_seed: None,
    };
    assert_eq!(path::choose_chain(&profile(), &holders, need), None);
}

fn stage(index: usize, from: u16, to: u16) -> ChainStage {
    ChainStage {
        server: ServerName::new(&index.to_string()),
        address: address(index),
        domain: DomainName::new("a"),
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
    loads.on_others(Millis(0), HashMap::from([(server.clone(), theirs)]), HashMap::new());
    assert_eq!(loads.total(&server).active, 3.0);
    loads.remove_request(&chain, 100.0);
    assert_eq!(loads.total(&server).token_layers, 500.0);
    loads.on_tick(PEER_LOAD_TTL);
    assert_eq!(loads.total(&server), Load::default());
}
