//! The order issuer: the one host that sends placement orders to model servers. It holds a lease in
//! the store, and its fencing token makes servers reject orders of an earlier issuer.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::revision::era_of;
use yuccanotch_core::forward::routes::Service;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::engine::EngineProfile;
use yuccanotch_core::placement::engine::LayerRange;
use yuccanotch_core::placement::membership::MembershipTracker;
use yuccanotch_core::placement::plan;
use yuccanotch_core::placement::plan::ModelServer;
use yuccanotch_core::placement::plan::Plan;

use crate::adapter::Order;
use crate::adapter::OrderReply;
use crate::adapter::StoreCall;
use crate::adapter::StoreError;
use crate::adapter::StoreReply;
use crate::host::Gateway;

/// The key of the item that names the issuer.
pub const ISSUER_KEY: &str = "yuccanotch/issuer";
/// The time after which the issuer's lease expires without a renewal.
const LEASE_TTL: Millis = Millis(3_000);
/// The time between renewals of the lease.
const RENEWAL_INTERVAL: Millis = Millis(1_000);
/// The time without a renewal after which the issuer stops sending orders; shorter than the lease,
/// so that it stops before another host can take over.
const MAX_TIME_UNRENEWED: Millis = Millis(2_300);
/// The time between comparisons of the servers with the plan.
const PLACEMENT_INTERVAL: Duration = Duration::from_millis(150);
/// The shortest and longest pause before a host tries to become the issuer, in ms.
const ACQUIRE_PAUSE_MS: (u64, u64) = (150, 900);
/// The pause of a host that found another one to be the issuer.
const CONFLICT_PAUSE: Duration = Duration::from_millis(1_000);
/// The time after which an order that has had no effect is sent again.
const ORDER_RETRY_INTERVAL: Millis = Millis(2_500);

/// The last order that was sent to a server.
#[derive(Clone, Copy, Debug)]
struct SentOrder {
    layers: LayerRange,
    sent_at: Millis,
}

/// One term as the issuer: its lease, its fencing token and the time of the last renewal.
struct Term {
    lease: u64,
    fence: u64,
    renewed_at: Millis,
}

/// Becomes the issuer whenever no other host is, for the life of the process.
pub async fn run(gateway: Rc<Gateway>) {
    // This loop may have been begun anew in the middle of a term, whose lease expires.
    gateway.is_issuer.set(false);
    loop {
        let (least, most) = ACQUIRE_PAUSE_MS;
        let pause = rand::rng().random_range(least..most);
        time::sleep(Duration::from_millis(pause)).await;
        if gateway.shutdown.is_stopping() || !gateway.views.servers_read() {
            continue;
        }
        if gateway.links.state().must_yield(gateway.clock.now()) {
            continue;
        }
        if !gateway.peers.node().may_become_issuer(gateway.clock.now()) {
            continue;
        }
        match acquire_lease(&gateway).await {
            Ok(Some(term)) => {
                gateway.is_issuer.set(true);
                gateway.event_log.line(Event::IssuerBegan, &[("fence", &term.fence)]);
                run_term(&gateway, term).await;
                gateway.is_issuer.set(false);
                gateway.event_log.line(Event::IssuerEnded, &[]);
            }
            // Another host is the issuer; this one will hear of it.
            Ok(None) => time::sleep(CONFLICT_PAUSE).await,
            Err(_) => {}
        }
    }
}

/// Tries to become the issuer; returns `None` if another host is. The revision of the write, ordered
/// over eras, becomes the fencing token, since it grows from one issuer to the next.
async fn acquire_lease(gateway: &Gateway) -> Result<Option<Term>, StoreError> {
    let renewed_at = gateway.clock.now();
    let StoreReply::Lease { lease: Some(lease) } =
        gateway.store.call(&StoreCall::Grant { ttl: LEASE_TTL }).await?
    else {
        return Ok(None);
    };
    let era = gateway.store.era();
    let value = Bytes::copy_from_slice(gateway.settings.host.as_str().as_bytes());
    let call = StoreCall::Write {
        expected: vec![(ISSUER_KEY.to_owned(), 0)],
        puts: vec![(ISSUER_KEY.to_owned(), value, lease)],
        removes: Vec::new(),
    };
    match gateway.store.call(&call).await? {
        // The lease is of an era that has ended since.
        StoreReply::Written { revision } if era_of(revision) != era => Ok(None),
        StoreReply::Written { revision } => Ok(Some(Term { lease, fence: revision, renewed_at })),
        _ if gateway.store.era() != era => Ok(None),
        _ => {
            // If this call is lost, the lease expires on its own.
            let _ = gateway.store.call(&StoreCall::Release { lease }).await;
            Ok(None)
        }
    }
}

/// Renews the lease and sends orders until the lease is lost or cannot be renewed in time, a server
/// has seen a newer fencing token, or the process stops.
async fn run_term(gateway: &Rc<Gateway>, mut term: Term) {
    let mut sent_orders: HashMap<ServerName, SentOrder> = HashMap::new();
    let mut membership = MembershipTracker::default();
    let mut next_renewal = gateway.clock.now() + RENEWAL_INTERVAL;
    loop {
        // A lease of an ended era may have been given out again: it is neither renewed nor released.
        if gateway.store.era() != era_of(term.fence) {
            return;
        }
        let must_yield = gateway.links.state().must_yield(gateway.clock.now());
        if must_yield || gateway.shutdown.is_stopping() {
            let _ = gateway.store.call(&StoreCall::Release { lease: term.lease }).await;
            return;
        }
        let now = gateway.clock.now();
        if now.since(term.renewed_at) > MAX_TIME_UNRENEWED {
            return;
        }
        if now >= next_renewal {
            next_renewal = now + RENEWAL_INTERVAL;
            match gateway.store.call(&StoreCall::Renew { lease: term.lease }).await {
                Ok(StoreReply::Lease { .. }) => term.renewed_at = now,
                Ok(_) => return,
                Err(_) => next_renewal = now + Millis(RENEWAL_INTERVAL.0 / 4),
            }
        }
        if !place_layers(gateway, &term, &mut membership, &mut sent_orders).await {
            return;
        }
        time::sleep(PLACEMENT_INTERVAL).await;
    }
}

/// Returns the layers that a server is listed with, if there are any.
fn held_layers(entry: &ServerEntry) -> Option<LayerRange> {
    entry.engine.as_ref()?.layers.filter(|l| !l.is_empty())
}

/// Sends the orders that make servers hold the layers of the plan; returns whether this host may
/// continue as the issuer.
async fn place_layers(
    gateway: &Rc<Gateway>,
    term: &Term,
    membership: &mut MembershipTracker,
    sent_orders: &mut HashMap<ServerName, SentOrder>,
) -> bool {
    let Some(configuration) = gateway.views.configuration() else {
        return true;
    };
    let mut orders = Vec::new();
    for service in configuration.services() {
        let Some(profile) = &service.engine else {
            continue;
        };
        if profile.layers == 0 {
            continue;
        }
        let mut model_servers = collect_model_servers(gateway, service, profile, sent_orders);
        drop_unsettled_domains(gateway.clock.now(), membership, &mut model_servers);
        let plan = plan::plan(profile, &model_servers);
        for (entry, layers) in due_orders(gateway, service, &plan, sent_orders) {
            let gateway = gateway.clone();
            let fence = term.fence;
            sent_orders
                .insert(entry.id.clone(), SentOrder { layers, sent_at: gateway.clock.now() });
            let order = async move {
                (entry.id.clone(), send_order(&gateway, &entry, layers, fence).await)
            };
            orders.push(tokio::task::spawn_local(order));
        }
    }
    let mut may_continue = true;
    for task in orders {
        match task.await {
            Ok((_, Some(OrderReply::Fenced))) => may_continue = false,
            Ok((
                server,
                Some(OrderReply::Conflict | OrderReply::Other(_) | OrderReply::Unknown),
            )) => {
                sent_orders.remove(&server);
            }
            _ => {}
        }
    }
    may_continue
}

/// Removes the model servers of failure domains whose set of servers has changed too recently to
/// plan.
fn drop_unsettled_domains(
    now: Millis,
    membership: &mut MembershipTracker,
    model_servers: &mut Vec<ModelServer>,
) {
    let domains: BTreeSet<DomainName> = model_servers.iter().map(|c| c.domain.clone()).collect();
    for domain in &domains {
        let in_domain = model_servers.iter().filter(|c| c.domain == *domain);
        membership.observe(now, domain, in_domain.map(|c| c.server.clone()).collect());
    }
    let none_holds_layers = model_servers.iter().all(|c| c.holds.is_none());
    if none_holds_layers && membership.must_wait_for_first_plan(now) {
        model_servers.clear();
        return;
    }
    for domain in domains {
        let in_domain = || model_servers.iter().filter(|c| c.domain == domain);
        let holds_layers = in_domain().any(|c| c.holds.is_some());
        if !membership.is_settled(now, &domain, holds_layers) {
            model_servers.retain(|c| c.domain != domain);
        }
    }
}

/// Returns the ready model servers of `service`, each with the layers that it was recently ordered
/// to hold, or else those that it is listed with.
fn collect_model_servers(
    gateway: &Gateway,
    service: &Service,
    profile: &EngineProfile,
    sent_orders: &HashMap<ServerName, SentOrder>,
) -> Vec<ModelServer> {
    let now = gateway.clock.now();
    let servers = gateway.views.servers();
    servers
        .iter()
        .filter(|e| e.service == service.name && e.state == ServerState::Ready)
        .filter_map(|e| {
            let kind = profile.kind(&e.engine.as_ref()?.kind)?.clone();
            let ordered = sent_orders
                .get(&e.id)
                .filter(|o| now.since(o.sent_at) < ORDER_RETRY_INTERVAL)
                .map(|o| o.layers);
            let holds = ordered.or_else(|| held_layers(e));
            Some(ModelServer { server: e.id.clone(), domain: e.domain.clone(), kind, holds })
        })
        .collect()
}

/// Returns the servers that differ from the plan, have no recent order and are in no pause, with the
/// layers to hold.
fn due_orders(
    gateway: &Gateway,
    service: &Service,
    plan: &Plan,
    sent_orders: &HashMap<ServerName, SentOrder>,
) -> Vec<(ServerEntry, LayerRange)> {
    let now = gateway.clock.now();
    let servers = gateway.views.servers();
    servers
        .iter()
        .filter(|e| e.service == service.name)
        .filter_map(|e| {
            let layers = *plan.get(&e.id)?;
            let holds_layers = held_layers(e) == Some(layers);
            let recently_ordered =
                sent_orders.get(&e.id).is_some_and(|o| now.since(o.sent_at) < ORDER_RETRY_INTERVAL);
            let may_order = !recently_ordered && !gateway.routing.is_paused(&e.id);
            (!holds_layers && may_order).then(|| (e.clone(), layers))
        })
        .collect()
}

/// Orders a server to hold `layers`, unless it is carrying out an order or holds them already.
async fn send_order(
    gateway: &Gateway,
    entry: &ServerEntry,
    layers: LayerRange,
    fence: u64,
) -> Option<OrderReply> {
    let report = gateway.fetch_report(entry.address).await?;
    if report.busy {
        return None;
    }
    if report.layers == Some(layers) {
        return Some(OrderReply::Done);
    }
    let order = Order::Place { layers, fence, expected_orders: report.orders_begun };
    let reply = gateway.send_order(&entry.id, entry.address, &order).await;
    let range = format!("{}-{}", layers.from, layers.to);
    let outcome = format!("{reply:?}");
    gateway.event_log.line(
        Event::OrderSent,
        &[("server", &entry.id), ("layers", &range), ("fence", &fence), ("reply", &outcome)],
    );
    reply
}
