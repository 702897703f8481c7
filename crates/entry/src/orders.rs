//! Gives the orders of the own failure domain while this host holds the issuer's lease.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::spread::is_watcher;
use yuccanotch_core::config::Active;
use yuccanotch_core::config::ServerUse;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::FencingNumber;
use yuccanotch_core::ids::KeyVersion;
use yuccanotch_core::ids::LeaseId;
use yuccanotch_core::name::DomainName;
use yuccanotch_core::orders::AddressedOrder;
use yuccanotch_core::orders::Issuer;
use yuccanotch_core::orders::IssuerScope;
use yuccanotch_core::orders::Plan;
use yuccanotch_core::orders::ServerState;
use yuccanotch_core::orders::Servers;
use yuccanotch_core::orders::TransitionList;
use yuccanotch_core::orders::TRANSITION_LIST_KEY;
use yuccanotch_core::store::StoreError;

use crate::configuration::domain_members;
use crate::fleet::ServerView;
use crate::host::Host;

const ROUND: Duration = Duration::from_millis(500);
const LEASE_TTL: Millis = Millis(10_000);
/// Age of a lease at which it is renewed.
const RENEW_AFTER: Millis = Millis(3_000);
/// Age of a lease, as this host counts it, beyond which no order is sent.
const STOP_AFTER: Millis = Millis(7_000);
/// Age beyond which a report says nothing about what a server holds.
const REPORT_MAX_AGE: Millis = Millis(5_000);

/// A lease as this host counts it.
#[derive(Debug)]
struct Tenure {
    lease: LeaseId,
    fencing: FencingNumber,
    /// When the call was sent that granted or renewed the lease.
    renewed_at: Millis,
    issuer: Issuer,
}

/// Gives orders until the host stops.
pub fn run(host: &Arc<Host>) {
    let mut tenure = None;
    while !host.is_stopped() {
        if let Err(e) = round(host, &mut tenure) {
            log::debug!("no orders: {e}");
        }
        thread::sleep(ROUND);
    }
}

fn round(host: &Host, tenure: &mut Option<Tenure>) -> Result<(), StoreError> {
    let Some(active) = host.configuration.current() else { return Ok(()) };
    if !is_candidate(host, &active) {
        *tenure = None;
        return Ok(());
    }
    match tenure {
        Some(held) if host.clock.now().since(held.renewed_at) >= RENEW_AFTER => {
            if renew(host, held) == Err(StoreError::LeaseLapsed) {
                *tenure = None;
            }
        }
        Some(_) => {}
        None => *tenure = acquire(host)?,
    }
    match tenure {
        Some(held) if is_fresh(host, held) => issue(host, &active, held),
        _ => Ok(()),
    }
}

fn is_fresh(host: &Host, tenure: &Tenure) -> bool {
    host.clock.now().since(tenure.renewed_at) < STOP_AFTER
}

/// Returns whether this host is one of the few that try to be the domain's issuer.
fn is_candidate(host: &Host, active: &Active) -> bool {
    let domain = &host.settings.domain;
    let has_engines =
        active.declaration.servers.values().any(|server| {
            server.domain == *domain && matches!(server.used_for, ServerUse::Engine(_))
        });
    has_engines
        && !host.is_draining()
        && is_watcher(domain, &domain_members(host), &host.settings.host)
}

fn issuer_key(domain: &DomainName) -> String {
    format!("orders/issuer/{domain}")
}

fn fencing_key(domain: &DomainName) -> String {
    format!("orders/fencing/{domain}")
}

fn renew(host: &Host, tenure: &mut Tenure) -> Result<(), StoreError> {
    let sent_at = host.clock.now();
    host.store.renew_lease(tenure.lease)?;
    tenure.renewed_at = sent_at;
    Ok(())
}

/// Takes the issuer's lease if nobody holds it.
fn acquire(host: &Host) -> Result<Option<Tenure>, StoreError> {
    let domain = &host.settings.domain;
    let key = issuer_key(domain);
    if host.store.get(&key)?.is_some() {
        return Ok(None);
    }
    let renewed_at = host.clock.now();
    let lease = host.store.grant_lease(LEASE_TTL)?;
    let name = host.settings.host.as_str().as_bytes();
    match host.store.swap(&key, KeyVersion(0), name, Some(lease)) {
        Ok(_) => {}
        Err(StoreError::Conflict(_)) => return Ok(None),
        Err(e) => return Err(e),
    }
    let fencing = next_fencing(host, FencingNumber(0))?;
    let number = fencing.0;
    emit(Event::IssuerStarted, format_args!("host={} fencing={number}", host.settings.host));
    Ok(Some(Tenure { lease, fencing, renewed_at, issuer: Issuer::new() }))
}

/// Draws a fencing number above all earlier ones and above `seen`.
fn next_fencing(host: &Host, seen: FencingNumber) -> Result<FencingNumber, StoreError> {
    let key = fencing_key(&host.settings.domain);
    let found = host.store.get(&key)?;
    let version = found.as_ref().map_or(KeyVersion(0), |found| found.version);
    let text = found.and_then(|found| String::from_utf8(found.value).ok());
    let last = text.and_then(|text| text.parse().ok()).unwrap_or(0);
    let next = FencingNumber(last.max(seen.0)).next();
    host.store.swap(&key, version, next.to_string().as_bytes(), None)?;
    Ok(next)
}

fn issue(host: &Host, active: &Active, tenure: &mut Tenure) -> Result<(), StoreError> {
    let scope = IssuerScope {
        host: host.settings.host.clone(),
        domain: host.settings.domain.clone(),
        fencing: tenure.fencing,
        config: active.number,
    };
    let found = host.store.get(TRANSITION_LIST_KEY)?;
    let version = found.as_ref().map_or(KeyVersion(0), |found| found.version);
    let away = found.and_then(|found| TransitionList::decode(&found.value)).unwrap_or_default();
    let now = host.clock.now();
    let plan = tenure.issuer.plan(now, &scope, &active.declaration, &servers(host), &away);
    if let Err(e) = write_list(host, &plan, version) {
        // Orders must not be sent before the list is known to be written.
        plan.orders.iter().for_each(|order| tenure.issuer.on_order_not_taken(&order.server));
        return Err(e);
    }
    host.telemetry.set_gauge("yuccanotch_orders_blocked", plan.blocked.len() as f64);
    for order in &plan.orders {
        send(host, tenure, order)?;
    }
    Ok(())
}

fn write_list(host: &Host, plan: &Plan, version: KeyVersion) -> Result<(), StoreError> {
    match &plan.transition_list {
        Some(away) => {
            host.store.swap(TRANSITION_LIST_KEY, version, &away.encode(), None).map(|_| ())
        }
        None => Ok(()),
    }
}

fn send(host: &Host, tenure: &mut Tenure, to: &AddressedOrder) -> Result<(), StoreError> {
    if !is_fresh(host, tenure) {
        tenure.issuer.on_order_not_taken(&to.server);
        return Ok(());
    }
    let name = &host.settings.host;
    match host.engines.send_order(&to.address, &to.order) {
        Ok(reply) if reply.taken => {
            host.telemetry.increment_counter("yuccanotch_orders_total", "taken");
            emit(
                Event::OrderTaken,
                format_args!("host={name} server={} config={}", to.server, to.order.config),
            );
            tenure.issuer.on_order_taken(host.clock.now(), &to.server);
        }
        Ok(reply) => {
            host.telemetry.increment_counter("yuccanotch_orders_total", "old_fencing_number");
            tenure.issuer.on_order_not_taken(&to.server);
            // The store may have gone back to an old copy, and the counter with it.
            let seen = reply.fencing.unwrap_or_default();
            tenure.fencing = next_fencing(host, seen)?;
        }
        Err(_) => {
            host.telemetry.increment_counter("yuccanotch_orders_total", "no_answer");
            tenure.issuer.on_order_not_taken(&to.server);
        }
    }
    Ok(())
}

/// Returns what the servers report.
fn servers(host: &Host) -> Servers {
    let now = host.clock.now();
    let view = host.fleet.view();
    let states = view
        .servers
        .iter()
        .filter_map(|(name, server)| state(now, server).map(|state| (name.clone(), state)));
    states.collect()
}

fn state(now: Millis, server: &ServerView) -> Option<ServerState> {
    let report = server.report.as_ref()?;
    let measured_at = server.reported_at - report.age_ms;
    let fresh = now.since(measured_at) <= REPORT_MAX_AGE;
    Some(ServerState {
        domain: server.domain.clone(),
        usable: fresh && !server.leaving && !server.suspected,
        measured_at,
        holdings: report.holdings.clone(),
        role: report.role,
    })
}
