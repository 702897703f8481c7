//! Sends the orders to the engines of this host's failure domain while this host holds the issuer's
//! lease.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::config::notice_tree::is_store_watcher;
use yuccanotch_core::config::ActiveConfig;
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

/// Time between two rounds, in which the lease is acquired or renewed and due orders are sent.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which the issuer's lease expires without a renewal.
const LEASE_TTL: Millis = Millis(10_000);
/// Age at which the lease is renewed.
const RENEWAL_LEASE_AGE: Millis = Millis(3_000);
/// Age of the lease, by this host's clock, from which on no order is sent.
const MAX_LEASE_AGE_FOR_ORDERS: Millis = Millis(7_000);
/// Largest age of a load report with which its server counts as usable.
const MAX_REPORT_AGE: Millis = Millis(5_000);

/// The issuer's lease that this host holds.
#[derive(Debug)]
struct IssuerLease {
    lease: LeaseId,
    fencing: FencingNumber,
    /// When the call that granted or last renewed the lease was sent; its age counts from here.
    renewed_at: Millis,
    issuer: Issuer,
}

/// Sends orders until the host stops.
pub fn run(host: &Arc<Host>) {
    let mut issuer_lease = None;
    while !host.is_stopped() {
        if let Err(e) = run_round(host, &mut issuer_lease) {
            log::debug!("orders cannot be issued: {e}");
        }
        thread::sleep(ROUND_INTERVAL);
    }
}

fn run_round(host: &Host, issuer_lease: &mut Option<IssuerLease>) -> Result<(), StoreError> {
    let Some(active) = host.configuration.current() else { return Ok(()) };
    if !is_candidate(host, &active) {
        *issuer_lease = None;
        return Ok(());
    }
    match issuer_lease {
        Some(held) if host.clock.now().since(held.renewed_at) >= RENEWAL_LEASE_AGE => {
            if renew_lease(host, held) == Err(StoreError::LeaseLapsed) {
                *issuer_lease = None;
            }
        }
        Some(_) => {}
        None => *issuer_lease = acquire_lease(host)?,
    }
    match issuer_lease {
        Some(held) if allows_orders(host, held) => issue_orders(host, &active, held),
        _ => Ok(()),
    }
}

fn allows_orders(host: &Host, issuer_lease: &IssuerLease) -> bool {
    host.clock.now().since(issuer_lease.renewed_at) < MAX_LEASE_AGE_FOR_ORDERS
}

/// Returns whether this host is one of the few that try to acquire their domain's issuer lease.
fn is_candidate(host: &Host, active: &ActiveConfig) -> bool {
    let domain = &host.settings.domain;
    let has_engines =
        active.declaration.servers.values().any(|server| {
            server.domain == *domain && matches!(server.used_for, ServerUse::Engine(_))
        });
    has_engines
        && !host.is_draining()
        && is_store_watcher(domain, &domain_members(host), &host.settings.host)
}

fn issuer_key(domain: &DomainName) -> String {
    format!("orders/issuer/{domain}")
}

fn fencing_key(domain: &DomainName) -> String {
    format!("orders/fencing/{domain}")
}

fn renew_lease(host: &Host, issuer_lease: &mut IssuerLease) -> Result<(), StoreError> {
    let sent_at = host.clock.now();
    host.store.renew_lease(issuer_lease.lease)?;
    issuer_lease.renewed_at = sent_at;
    Ok(())
}

/// Acquires the issuer's lease if no host holds it.
fn acquire_lease(host: &Host) -> Result<Option<IssuerLease>, StoreError> {
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
    let fencing = next_fencing_number(host, FencingNumber(0))?;
    let number = fencing.0;
    emit(Event::IssuerStarted, format_args!("host={} fencing={number}", host.settings.host));
    Ok(Some(IssuerLease { lease, fencing, renewed_at, issuer: Issuer::new() }))
}

/// Stores and returns a fencing number above all stored ones and above `seen`.
fn next_fencing_number(host: &Host, seen: FencingNumber) -> Result<FencingNumber, StoreError> {
    let key = fencing_key(&host.settings.domain);
    let found = host.store.get(&key)?;
    let version = found.as_ref().map_or(KeyVersion(0), |found| found.version);
    let text = found.and_then(|found| String::from_utf8(found.value).ok());
    let last = text.and_then(|text| text.parse().ok()).unwrap_or(0);
    let next = FencingNumber(last.max(seen.0)).next();
    host.store.swap(&key, version, next.to_string().as_bytes(), None)?;
    Ok(next)
}

fn issue_orders(
    host: &Host,
    active: &ActiveConfig,
    issuer_lease: &mut IssuerLease,
) -> Result<(), StoreError> {
    let scope = IssuerScope {
        host: host.settings.host.clone(),
        domain: host.settings.domain.clone(),
        fencing: issuer_lease.fencing,
        config: active.number,
    };
    let found = host.store.get(TRANSITION_LIST_KEY)?;
    let version = found.as_ref().map_or(KeyVersion(0), |found| found.version);
    let transitions =
        found.and_then(|found| TransitionList::decode(&found.value)).unwrap_or_default();
    let now = host.clock.now();
    let plan = issuer_lease.issuer.plan(
        now,
        &scope,
        &active.declaration,
        &server_states(host),
        &transitions,
    );
    if let Err(e) = write_transition_list(host, &plan, version) {
        // Orders must not be sent before the transition list is known to be stored.
        plan.orders.iter().for_each(|order| issuer_lease.issuer.on_order_not_taken(&order.server));
        return Err(e);
    }
    host.telemetry.set_gauge("yuccanotch_orders_blocked", plan.blocked.len() as f64);
    for order in &plan.orders {
        send_order(host, issuer_lease, order)?;
    }
    Ok(())
}

fn write_transition_list(host: &Host, plan: &Plan, version: KeyVersion) -> Result<(), StoreError> {
    match &plan.transition_list {
        Some(transitions) => {
            host.store.swap(TRANSITION_LIST_KEY, version, &transitions.encode(), None).map(|_| ())
        }
        None => Ok(()),
    }
}

fn send_order(
    host: &Host,
    issuer_lease: &mut IssuerLease,
    to: &AddressedOrder,
) -> Result<(), StoreError> {
    if !allows_orders(host, issuer_lease) {
        issuer_lease.issuer.on_order_not_taken(&to.server);
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
            issuer_lease.issuer.on_order_taken(host.clock.now(), &to.server);
        }
        Ok(reply) => {
            host.telemetry.increment_counter("yuccanotch_orders_total", "old_fencing_number");
            issuer_lease.issuer.on_order_not_taken(&to.server);
            // The store may have been restored from an old copy, and its fencing counter with it.
            let seen = reply.fencing.unwrap_or_default();
            issuer_lease.fencing = next_fencing_number(host, seen)?;
        }
        Err(_) => {
            host.telemetry.increment_counter("yuccanotch_orders_total", "no_answer");
            issuer_lease.issuer.on_order_not_taken(&to.server);
        }
    }
    Ok(())
}

/// Returns the states of the servers by their load reports.
fn server_states(host: &Host) -> Servers {
    let now = host.clock.now();
    let view = host.fleet.view();
    let states = view
        .servers
        .iter()
        .filter_map(|(name, server)| server_state(now, server).map(|state| (name.clone(), state)));
    states.collect()
}

fn server_state(now: Millis, server: &ServerView) -> Option<ServerState> {
    let report = server.report.as_ref()?;
    let measured_at = server.reported_at - report.age_ms;
    let fresh = now.since(measured_at) <= MAX_REPORT_AGE;
    Some(ServerState {
        domain: server.domain.clone(),
        usable: fresh && !server.leaving && !server.suspected,
        measured_at,
        holdings: report.holdings.clone(),
        role: report.role,
    })
}
