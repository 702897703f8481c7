//! Gives orders to model servers, under a lease of the store and its fencing number.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
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

use crate::edge::Order;
use crate::edge::OrderReply;
use crate::edge::StoreCall;
use crate::edge::StoreError;
use crate::edge::StoreReply;
use crate::host::Gateway;

/// The item that names the issuer.
const ISSUER_KEY: &str = "yuccanotch/issuer";
/// The length of the issuer's lease.
const LEASE: Millis = Millis(3_000);
/// The time between renewals.
const RENEW: Millis = Millis(1_000);
/// The time without a renewal after which the issuer stops: less than the lease.
const GIVE_UP: Millis = Millis(2_300);
/// How often the issuer looks at the servers.
const LOOK: Duration = Duration::from_millis(150);
/// The shortest and longest pause before a host tries to become the issuer, in ms.
const TRY_MS: (u64, u64) = (150, 900);
/// The time after which an order without effect is given again.
const REPEAT: Millis = Millis(2_500);

/// An order that was given.
#[derive(Clone, Copy, Debug)]
struct Given {
    layers: LayerRange,
    at: Millis,
}

struct Term {
    lease: u64,
    fence: u64,
    renewed: Millis,
}

/// Takes the issuer's part whenever nobody else has it, for the life of the process.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        let (least, most) = TRY_MS;
        let pause = rand::rng().random_range(least..most);
        time::sleep(Duration::from_millis(pause)).await;
        if gateway.stop.is_stopping() || !gateway.views.servers_read() {
            continue;
        }
        if gateway.peers.hears_issuer(gateway.clock.now()) {
            continue;
        }
        if let Ok(Some(term)) = begin(&gateway).await {
            gateway.is_issuer.set(true);
            gateway.journal.line(Event::IssuerBegan, &[("fence", &term.fence)]);
            serve(&gateway, term).await;
            gateway.is_issuer.set(false);
            gateway.journal.line(Event::IssuerEnded, &[]);
        }
    }
}

async fn begin(gateway: &Gateway) -> Result<Option<Term>, StoreError> {
    let renewed = gateway.clock.now();
    let StoreReply::Lease { lease: Some(lease) } =
        gateway.store.call(&StoreCall::Grant { ttl: LEASE }).await?
    else {
        return Ok(None);
    };
    let value = Bytes::copy_from_slice(gateway.settings.host.as_str().as_bytes());
    let call = StoreCall::Write {
        expected: vec![(ISSUER_KEY.to_owned(), 0)],
        puts: vec![(ISSUER_KEY.to_owned(), value, lease)],
        removes: Vec::new(),
    };
    match gateway.store.call(&call).await? {
        StoreReply::Written { revision } => Ok(Some(Term { lease, fence: revision, renewed })),
        _ => {
            // The lease ends by itself when this call is lost.
            let _ = gateway.store.call(&StoreCall::Release { lease }).await;
            Ok(None)
        }
    }
}

async fn serve(gateway: &Rc<Gateway>, mut term: Term) {
    let mut given: HashMap<ServerName, Given> = HashMap::new();
    let mut roster = MembershipTracker::default();
    let mut next_renewal = gateway.clock.now() + RENEW;
    loop {
        if gateway.stop.is_stopping() {
            let _ = gateway.store.call(&StoreCall::Release { lease: term.lease }).await;
            return;
        }
        let now = gateway.clock.now();
        if now.since(term.renewed) > GIVE_UP {
            return;
        }
        if now >= next_renewal {
            next_renewal = now + RENEW;
            match gateway.store.call(&StoreCall::Keep { lease: term.lease }).await {
                Ok(StoreReply::Lease { .. }) => term.renewed = now,
                Ok(_) => return,
                Err(_) => next_renewal = now + Millis(RENEW.0 / 4),
            }
        }
        if !place(gateway, &term, &mut roster, &mut given).await {
            return;
        }
        time::sleep(LOOK).await;
    }
}

fn layers_of(entry: &ServerEntry) -> Option<LayerRange> {
    entry.engine.as_ref()?.layers.filter(|l| !l.is_empty())
}

/// Gives the orders that bring servers to the plan; returns whether the issuer may go on.
async fn place(
    gateway: &Rc<Gateway>,
    term: &Term,
    roster: &mut MembershipTracker,
    given: &mut HashMap<ServerName, Given>,
) -> bool {
    let Some(configuration) = gateway.views.configuration() else {
        return true;
    };
    let mut waiting = Vec::new();
    for service in configuration.services() {
        let Some(profile) = &service.engine else {
            continue;
        };
        if profile.layers == 0 {
            continue;
        }
        let mut cards = cards(gateway, service, profile, given);
        keep_settled(gateway.clock.now(), roster, &mut cards);
        let plan = plan::plan(profile, &cards);
        for (entry, layers) in due(gateway, service, &plan, given) {
            let gateway = gateway.clone();
            let fence = term.fence;
            given.insert(entry.id.clone(), Given { layers, at: gateway.clock.now() });
            let order =
                async move { (entry.id.clone(), order(&gateway, &entry, layers, fence).await) };
            waiting.push(tokio::task::spawn_local(order));
        }
    }
    let mut go_on = true;
    for task in waiting {
        match task.await {
            Ok((_, Some(OrderReply::Fenced))) => go_on = false,
            Ok((
                server,
                Some(OrderReply::Conflict | OrderReply::Other(_) | OrderReply::Unknown),
            )) => {
                given.remove(&server);
            }
            _ => {}
        }
    }
    go_on
}

/// Leaves out the cards of domains whose servers come and go.
fn keep_settled(now: Millis, roster: &mut MembershipTracker, cards: &mut Vec<ModelServer>) {
    let domains: BTreeSet<DomainName> = cards.iter().map(|c| c.domain.clone()).collect();
    for domain in domains {
        let own = || cards.iter().filter(|c| c.domain == domain);
        roster.observe(now, &domain, own().map(|c| c.server.clone()).collect());
        let holds = own().any(|c| c.holds.is_some());
        if !roster.is_settled(now, &domain, holds) {
            cards.retain(|c| c.domain != domain);
        }
    }
}

fn cards(
    gateway: &Gateway,
    service: &Service,
    profile: &EngineProfile,
    given: &HashMap<ServerName, Given>,
) -> Vec<ModelServer> {
    let now = gateway.clock.now();
    let servers = gateway.views.servers();
    servers
        .iter()
        .filter(|e| e.service == service.name && e.state == ServerState::Ready)
        .filter_map(|e| {
            let kind = profile.kind(&e.engine.as_ref()?.kind)?.clone();
            let ordered = given.get(&e.id).filter(|g| now.since(g.at) < REPEAT).map(|g| g.layers);
            let holds = ordered.or_else(|| layers_of(e));
            Some(ModelServer { server: e.id.clone(), domain: e.domain.clone(), kind, holds })
        })
        .collect()
}

fn due(
    gateway: &Gateway,
    service: &Service,
    plan: &Plan,
    given: &HashMap<ServerName, Given>,
) -> Vec<(ServerEntry, LayerRange)> {
    let now = gateway.clock.now();
    let servers = gateway.views.servers();
    servers
        .iter()
        .filter(|e| e.service == service.name)
        .filter_map(|e| {
            let layers = *plan.get(&e.id)?;
            let has = layers_of(e) == Some(layers);
            let asked = given.get(&e.id).is_some_and(|g| now.since(g.at) < REPEAT);
            (!has && !asked).then(|| (e.clone(), layers))
        })
        .collect()
}

async fn order(
    gateway: &Gateway,
    entry: &ServerEntry,
    layers: LayerRange,
    fence: u64,
) -> Option<OrderReply> {
    let report = gateway.report(entry.address).await?;
    if report.busy {
        return None;
    }
    if report.layers == Some(layers) {
        return Some(OrderReply::Done);
    }
    let order = Order::Place { layers, fence, expected: report.orders };
    let reply = gateway.order(&entry.id, entry.address, &order).await;
    let range = format!("{}-{}", layers.from, layers.to);
    let outcome = format!("{reply:?}");
    gateway.journal.line(
        Event::OrderSent,
        &[("server", &entry.id), ("layers", &range), ("fence", &fence), ("reply", &outcome)],
    );
    reply
}
