//! Tests of the issuer's plans and of the serving version.

use serde_json::json;
use smallvec::smallvec;

use crate::clock::Millis;
use crate::config::parse;
use crate::config::Declaration;
use crate::engine::Holding;
use crate::engine::LayerRange;
use crate::engine::OrderAction;
use crate::engine::Role;
use crate::ids::ConfigNumber;
use crate::ids::FencingNumber;
use crate::name::DomainName;
use crate::name::HostName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::orders::serving_version;
use crate::orders::Issuer;
use crate::orders::IssuerScope;
use crate::orders::Plan;
use crate::orders::ServerState;
use crate::orders::Servers;
use crate::orders::TransitionList;

const LAYERS: u16 = 8;

/// Declares two servers for each half of the layers of a model, all at `version`.
fn declaration(version: &str) -> Declaration {
    let server = |port: u16, first: u16, end: u16| {
        json!({
            "domain": "d", "address": format!("127.0.0.1:{port}"), "use": {"engine": {
                "accelerator": "large", "model": "m", "version": version,
                "layers": {"first": first, "end": end},
            }},
        })
    };
    let text = json!({
        "domains": {"d": {"region": "r"}},
        "models": {"m": {
            "layers": LAYERS, "version": version, "max_tokens": 9, "deadline_ms": 9,
            "weights_mb": 1000,
        }},
        "servers": {
            "a1": server(1, 0, 4), "a2": server(2, 0, 4),
            "b1": server(3, 4, 8), "b2": server(4, 4, 8),
        },
    });
    parse(text.to_string().as_bytes()).unwrap()
}

fn state(version: &str, first: u16, measured_at: u64) -> ServerState {
    let layers = LayerRange::new(first, first + 4);
    ServerState {
        domain: DomainName::new("d"),
        usable: true,
        measured_at: Millis(measured_at),
        holdings: smallvec![Holding {
            model: ModelName::new("m"),
            version: ModelVersion::new(version),
            layers,
            adapters: smallvec![],
        }],
        role: Role::Both,
    }
}

fn servers(version: &str) -> Servers {
    let names = [("a1", 0), ("a2", 0), ("b1", 4), ("b2", 4)];
    names.iter().map(|(name, first)| (ServerName::new(name), state(version, *first, 0))).collect()
}

fn scope(config: u64) -> IssuerScope {
    IssuerScope {
        host: HostName::new("entry-1"),
        domain: DomainName::new("d"),
        fencing: FencingNumber(1),
        config: ConfigNumber(config),
    }
}

fn ordered(plan: &Plan) -> Vec<&str> {
    plan.orders.iter().map(|order| order.server.as_str()).collect()
}

fn listed(plan: &Plan) -> Vec<&str> {
    let list = plan.transition_list.as_ref().expect("the list changes");
    list.servers.keys().map(ServerName::as_str).collect()
}

#[test]
fn no_orders_when_all_servers_satisfy_their_placement() {
    let plan = Issuer::new().plan(
        Millis(0),
        &scope(1),
        &declaration("v1"),
        &servers("v1"),
        &TransitionList::default(),
    );
    assert_eq!(plan, Plan::default());
}

#[test]
fn one_server_of_a_layer_range_loads_at_a_time_at_the_rate_of_the_weight_store() {
    let mut issuer = Issuer::new();
    let (wanted, servers) = (declaration("v2"), servers("v1"));
    let first = issuer.plan(Millis(0), &scope(2), &wanted, &servers, &TransitionList::default());
    assert_eq!((listed(&first), ordered(&first)), (vec!["a1"], vec!["a1"]));
    assert!(matches!(first.orders[0].order.action, OrderAction::Load(_)));
    let list = first.transition_list.unwrap();
    let early = issuer.plan(Millis(499), &scope(2), &wanted, &servers, &list);
    assert_eq!(early.orders, [], "half of 1,000 MB takes 500 ms");
    let next = issuer.plan(Millis(500), &scope(2), &wanted, &servers, &list);
    assert_eq!((listed(&next), ordered(&next)), (vec!["a1", "b1"], vec!["b1"]));
    assert_eq!(next.blocked, [ServerName::new("a2")]);
}

#[test]
fn a_server_leaves_the_list_once_a_report_after_its_order_satisfies_its_placement() {
    let mut issuer = Issuer::new();
    let wanted = declaration("v2");
    let mut servers = servers("v1");
    let a1 = ServerName::new("a1");
    let list = issuer
        .plan(Millis(0), &scope(2), &wanted, &servers, &TransitionList::default())
        .transition_list
        .unwrap();
    issuer.on_order_taken(Millis(10), &a1);
    servers.insert(a1.clone(), state("v2", 0, 5));
    let plan = issuer.plan(Millis(20), &scope(2), &wanted, &servers, &list);
    assert_eq!(plan.transition_list, None, "a report from before the order proves nothing");
    servers.insert(a1, state("v2", 0, 15));
    let plan = issuer.plan(Millis(30), &scope(2), &wanted, &servers, &list);
    assert_eq!(plan.transition_list, Some(TransitionList::default()));
}

#[test]
fn a_new_issuer_repeats_the_order_to_a_listed_server_before_it_trusts_a_report() {
    let wanted = declaration("v1");
    let mut list = TransitionList::default();
    list.servers.insert(ServerName::new("a1"), ConfigNumber(1));
    let plan = Issuer::new().plan(Millis(0), &scope(1), &wanted, &servers("v1"), &list);
    assert_eq!(ordered(&plan), ["a1"]);
}

#[test]
fn an_issuer_with_an_older_configuration_than_the_list_sends_no_orders() {
    let mut list = TransitionList::default();
    list.servers.insert(ServerName::new("a1"), ConfigNumber(3));
    let plan = Issuer::new().plan(Millis(0), &scope(2), &declaration("v2"), &servers("v1"), &list);
    assert_eq!(plan, Plan::default());
}

#[test]
fn the_only_server_of_a_layer_range_is_blocked_unless_keep_serving_is_zero() {
    let mut wanted = declaration("v2");
    let mut servers = servers("v1");
    for name in ["a2", "b2"] {
        servers.remove(name);
        wanted.servers.remove(name);
    }
    let plan =
        Issuer::new().plan(Millis(0), &scope(2), &wanted, &servers, &TransitionList::default());
    assert_eq!((plan.blocked.len(), plan.orders.len()), (2, 0));
    wanted.rollout.keep_serving = 0;
    let plan =
        Issuer::new().plan(Millis(0), &scope(2), &wanted, &servers, &TransitionList::default());
    assert_eq!(ordered(&plan), ["a1"]);
}

#[test]
fn the_former_version_serves_until_every_layer_of_the_declared_one_is_served() {
    let wanted = declaration("v2");
    let (name, model) = wanted.models.iter().next().unwrap();
    let mut servers = servers("v1");
    let serving = |servers: &Servers| {
        serving_version(name, model, servers, &TransitionList::default())
            .map(|v| v.as_str().to_owned())
    };
    servers.insert(ServerName::new("a1"), state("v2", 0, 0));
    assert_eq!(serving(&servers).as_deref(), Some("v1"));
    servers.insert(ServerName::new("b1"), state("v2", 4, 0));
    assert_eq!(serving(&servers).as_deref(), Some("v2"));
}
