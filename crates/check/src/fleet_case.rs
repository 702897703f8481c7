//! Membership and observation under crashes, pauses, loss and cuts.

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
const HOSTS_EACH: usize = 3;
const SERVERS_EACH: usize = 2;
const START: Millis = Millis(12_000);
const SETTLE: Millis = Millis(40_000);
const LEAVING_BOUND: Millis = Millis(3_000);

/// What each process of a host knew of each other host, to see that it never goes back.
type Known = BTreeMap<(usize, u64, String), MemberUpdate>;

/// Runs the case.
///
/// # Errors
///
/// Returns the invariant that was broken.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut sim = FleetSim::new(rng.random(), DOMAINS, HOSTS_EACH, SERVERS_EACH);
    let mut known = Known::new();
    sim.run(START, |sim| never_back(sim, &mut known))?;
    agrees(&sim).map_err(|text| format!("after the start: {text}"))?;
    for _ in 0..rng.random_range(1..=3) {
        fault(&mut sim, &mut rng, trace);
        let span = Millis(rng.random_range(500..8_000));
        sim.run(span, |sim| never_back(sim, &mut known))?;
    }
    heal(&mut sim, trace);
    sim.run(SETTLE, |sim| never_back(sim, &mut known))?;
    agrees(&sim).map_err(|text| format!("after the faults: {text}"))?;
    leave(&mut sim, &mut rng, trace)
}

/// An update of a member is never replaced by an older one.
fn never_back(sim: &FleetSim, known: &mut Known) -> CaseResult {
    for (i, host) in sim.hosts.iter().enumerate() {
        let Some(node) = &host.node else {
            continue;
        };
        for member in node.members() {
            let update = &member.update;
            let key = (i, host.incarnation, update.host.as_str().to_owned());
            if let Some(old) = known.get(&key) {
                let forgotten = old.state == MemberState::Dead;
                if old.supersedes(update) && !forgotten {
                    return Err(format!("{} went back from {old:?} to {update:?}", host.name));
                }
            }
            known.insert(key, update.clone());
        }
    }
    Ok(())
}

/// All hosts that are up see exactly those as alive, and all domains as reachable.
fn agrees(sim: &FleetSim) -> CaseResult {
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
            let domain_up = sim.hosts.iter().any(|h| h.domain == host.domain && h.node.is_some());
            if domain_up && !node.is_reachable(sim.now, &host.domain) {
                return Err(format!("{} sees {} as cut off", viewer.name, host.domain));
            }
        }
    }
    Ok(())
}

fn fault(sim: &mut FleetSim, rng: &mut Pcg64Mcg, trace: &mut Trace) {
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
        3 => sim.loss = rng.random_range(0.0..0.3),
        4 => {
            sim.cut.insert((host, other));
        }
        5 => {
            let domain = sim.hosts[host].domain.clone();
            sim.cut_between(|host| host.domain == domain, |host| host.domain != domain);
            if rng.random_bool(0.7) {
                sim.cut_between(|host| host.domain != domain, |host| host.domain == domain);
            }
        }
        _ => sim.platform_up = !sim.platform_up,
    }
}

fn heal(sim: &mut FleetSim, trace: &mut Trace) {
    trace.add(format!("{}: healed", sim.now));
    sim.cut.clear();
    sim.loss = 0.0;
    sim.platform_up = true;
}

/// A leaving server is seen as such by every host within the bound, whoever says so first.
fn leave(sim: &mut FleetSim, rng: &mut Pcg64Mcg, trace: &mut Trace) -> CaseResult {
    let server = sim.reports.keys().choose(rng).expect("there are servers").clone();
    let by_list = rng.random_bool(0.5);
    trace.add(format!("{}: {server} leaves, by the host list: {by_list}", sim.now));
    if by_list {
        sim.listed_leaving.insert(server.as_str().to_owned());
    } else {
        sim.reports.get_mut(&server).expect("the server exists").leaving = true;
    }
    sim.run(LEAVING_BOUND, |_| Ok(()))?;
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
