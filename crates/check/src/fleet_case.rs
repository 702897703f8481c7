//! Randomised case: membership and observation under crashes, pauses, message loss and cut links.

use std::collections::BTreeMap;

use rand::seq::IteratorRandom as _;
use rand::Rng as _;
use rand::SeedableRng as _;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::fleet::MemberState;
use yuccanotch_core::fleet::MemberUpdate;
use yuccanotch_core::fleet::ServerCondition;
use yuccanotch_core::name::ServerName;

use crate::case::CaseResult;
use crate::fleet_sim::FleetSim;
use crate::trace::Trace;

const DOMAINS: usize = 2;
const HOSTS_PER_DOMAIN: usize = 3;
const SERVERS_PER_DOMAIN: usize = 2;
/// Time in which all hosts have to agree after the start.
const STARTUP_TIME: Millis = Millis(12_000);
/// Time in which all hosts have to agree after the faults have ended.
const SETTLE_TIME: Millis = Millis(40_000);
/// Time in which every host has to know that a backend server is leaving.
const MAX_LEAVING_DETECTION_TIME: Millis = Millis(3_000);

/// Last update that each process knew of each host, by index of the viewer, its incarnation and
/// the name of the viewed host.
type LastUpdates = BTreeMap<(usize, u64, String), MemberUpdate>;

/// Runs hosts under random faults and checks that their views are monotonic and converge.
///
/// # Errors
///
/// Returns the invariant that was violated.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sim = FleetSim::new(rng.random(), DOMAINS, HOSTS_PER_DOMAIN, SERVERS_PER_DOMAIN);
    let mut last_updates = LastUpdates::new();
    sim.run(STARTUP_TIME, |sim| check_never_older(sim, &mut last_updates))?;
    check_agreement(&sim).map_err(|text| format!("after the start: {text}"))?;
    for _ in 0..rng.random_range(1..=3) {
        inject_fault(&mut sim, &mut rng, trace);
        let span = Millis(rng.random_range(500..8_000));
        sim.run(span, |sim| check_never_older(sim, &mut last_updates))?;
    }
    stop_faults(&mut sim, trace);
    sim.run(SETTLE_TIME, |sim| check_never_older(sim, &mut last_updates))?;
    check_agreement(&sim).map_err(|text| format!("after the faults: {text}"))?;
    check_leaving(&mut sim, &mut rng, trace)
}

/// Checks that no host replaces an update of a member by an older one.
///
/// A dead member may be forgotten and later learned again with an older update.
fn check_never_older(sim: &FleetSim, last_updates: &mut LastUpdates) -> CaseResult {
    for (i, host) in sim.hosts.iter().enumerate() {
        let Some(node) = &host.node else {
            continue;
        };
        for member in node.members() {
            let update = &member.update;
            let key = (i, host.incarnation, update.host.as_str().to_owned());
            if let Some(old) = last_updates.get(&key) {
                let may_be_forgotten = old.state == MemberState::Dead;
                if old.supersedes(update) && !may_be_forgotten {
                    return Err(format!("{} replaced {old:?} by the older {update:?}", host.name));
                }
            }
            last_updates.insert(key, update.clone());
        }
    }
    Ok(())
}

/// Checks that each running host sees exactly the running hosts as alive, and each failure domain
/// with a running host as reachable.
fn check_agreement(sim: &FleetSim) -> CaseResult {
    for viewer in &sim.hosts {
        let Some(node) = &viewer.node else {
            continue;
        };
        for host in &sim.hosts {
            let state = node.members().find(|member| member.update.host == host.name);
            let alive = state.is_some_and(|member| {
                member.update.state == MemberState::Alive && member.update.incarnation.0 > 0
            });
            if alive != host.node.is_some() {
                let state = state.map(|member| &member.update);
                return Err(format!("{} sees {} as {state:?}", viewer.name, host.name));
            }
            let domain_has_running_host =
                sim.hosts.iter().any(|h| h.domain == host.domain && h.node.is_some());
            if domain_has_running_host && !node.is_reachable(sim.now, &host.domain) {
                return Err(format!("{} sees {} as unreachable", viewer.name, host.domain));
            }
        }
    }
    Ok(())
}

fn inject_fault(sim: &mut FleetSim, rng: &mut Pcg64Mcg, trace: &mut Trace) {
    let host = rng.random_range(0..sim.hosts.len());
    let other = (host + rng.random_range(1..sim.hosts.len())) % sim.hosts.len();
    let kind = rng.random_range(0..7);
    trace.add(format!("{}: fault {kind} at host {host}, {other}", sim.now));
    match kind {
        0 => sim.crash(host),
        1 => {
            sim.crash(host);
            sim.start(host);
        }
        2 => sim.pause(host, Millis(rng.random_range(500..7_000))),
        3 => sim.loss_rate = rng.random_range(0.0..0.3),
        4 => {
            sim.cut_links.insert((host, other));
        }
        5 => {
            let domain = sim.hosts[host].domain.clone();
            sim.cut_links_between(|host| host.domain == domain, |host| host.domain != domain);
            if rng.random_bool(0.7) {
                sim.cut_links_between(|host| host.domain != domain, |host| host.domain == domain);
            }
        }
        _ => sim.platform_available = !sim.platform_available,
    }
}

fn stop_faults(sim: &mut FleetSim, trace: &mut Trace) {
    trace.add(format!("{}: faults end", sim.now));
    sim.cut_links.clear();
    sim.loss_rate = 0.0;
    sim.platform_available = true;
}

/// Checks that every host sees a leaving backend server as such within
/// [`MAX_LEAVING_DETECTION_TIME`], whether the server or the host list reports it.
fn check_leaving(sim: &mut FleetSim, rng: &mut Pcg64Mcg, trace: &mut Trace) -> CaseResult {
    let server = sim.reports.keys().choose(rng).expect("there are servers").clone();
    let in_host_list = rng.random_bool(0.5);
    trace.add(format!("{}: {server} leaves, by the host list: {in_host_list}", sim.now));
    if in_host_list {
        sim.listed_leaving.insert(server.as_str().to_owned());
    } else {
        sim.reports.get_mut(&server).expect("the server exists").leaving = true;
    }
    sim.run(MAX_LEAVING_DETECTION_TIME, |_| Ok(()))?;
    for host in &sim.hosts {
        let Some(node) = &host.node else {
            continue;
        };
        let observed = node.servers().any(|(name, record)| is_leaving(name, record, &server));
        if !observed && !node.is_listed_leaving(server.as_str()) {
            return Err(format!("{} still uses {server}", host.name));
        }
    }
    Ok(())
}

fn is_leaving(
    name: &ServerName,
    record: &yuccanotch_core::fleet::ServerRecord,
    server: &ServerName,
) -> bool {
    name == server && record.condition == ServerCondition::Leaving
}
