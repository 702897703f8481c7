//! Randomised case of the exchange between hosts: hosts crash, freeze, start anew and are cut off
//! while messages are lost. After the faults, all hosts know of each other, every domain has two
//! aggregators, and every host sees the work of all others once.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::peering::sim::Sim;

use crate::case::CaseResult;
use crate::trace::Trace;

/// The time that a cluster gets to settle after its start and after the last fault.
const SETTLE_TIME: Millis = Millis(12_000);
/// How long a run waits for news before it compares loads.
const NEWS_TIME: Millis = Millis(2_500);
/// The number of aggregators of a domain with at least as many hosts.
const AGGREGATORS: usize = 2;

/// A fault of the simulated cluster.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Crash,
    Restart,
    Freeze,
    Wake,
    CutDomain,
    Heal,
}

const FAULTS: [Fault; 6] =
    [Fault::Crash, Fault::Restart, Fault::Freeze, Fault::Wake, Fault::CutDomain, Fault::Heal];

/// Runs the case.
///
/// # Errors
///
/// Returns the violated invariant.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let domains = rng.random_range(1..=4);
    let hosts_per_domain = rng.random_range(1..=9);
    let mut sim = Sim::new(domains, hosts_per_domain);
    sim.loss_period = rng.random_range(0..=1) * rng.random_range(15..60);
    trace.add(format!("{domains} domains of {hosts_per_domain}, loss {}", sim.loss_period));
    sim.run(Millis(rng.random_range(500..6_000)));
    for _ in 0..rng.random_range(1..6) {
        let fault = FAULTS[rng.random_range(0..FAULTS.len())];
        let index = rng.random_range(0..sim.hosts.len());
        trace.add(format!("{} {fault:?} {index}", sim.now));
        apply(&mut sim, fault, index);
        sim.run(Millis(rng.random_range(100..4_000)));
    }
    for index in 0..sim.hosts.len() {
        sim.hosts[index].side = 0;
        sim.hosts[index].is_frozen = false;
    }
    sim.loss_period = 0;
    // At least one seed has to be there for separated hosts to find each other.
    if sim.hosts[0].node.is_none() {
        sim.start(0);
    }
    sim.run(SETTLE_TIME);
    check_agreement(&sim)?;
    check_loads(&mut sim)
}

fn apply(sim: &mut Sim, fault: Fault, index: usize) {
    match fault {
        Fault::Crash => sim.crash(index),
        Fault::Restart => {
            if sim.hosts[index].node.is_none() {
                sim.start(index);
            }
        }
        Fault::Freeze => sim.hosts[index].is_frozen = true,
        Fault::Wake => sim.hosts[index].is_frozen = false,
        Fault::CutDomain => {
            let domain = sim.domain_of(index).clone();
            let in_domain = sim.hosts.iter_mut().filter(|h| h.status.peer.domain == domain);
            in_domain.for_each(|h| h.side = 1);
        }
        Fault::Heal => sim.hosts.iter_mut().for_each(|h| h.side = 0),
    }
}

/// Checks that all running hosts count each other, and that each domain has its aggregators.
fn check_agreement(sim: &Sim) -> CaseResult {
    let groups = sim.groups();
    let running: usize = groups.iter().map(|g| g.len()).sum();
    for group in groups {
        let mut aggregators = 0;
        for &index in &group {
            let Some(node) = &sim.hosts[index].node else {
                continue;
            };
            let count = node.host_count(sim.now);
            if count != running {
                return Err(format!("host {index} counts {count} hosts, {running} run"));
            }
            aggregators += usize::from(node.is_aggregator());
        }
        if aggregators != AGGREGATORS.min(group.len()) {
            return Err(format!("{aggregators} aggregators for the hosts {group:?}"));
        }
    }
    Ok(())
}

/// Checks that each host sees the work of all others, and none of its own.
fn check_loads(sim: &mut Sim) -> CaseResult {
    let running = |sim: &Sim| -> Vec<usize> {
        (0..sim.hosts.len()).filter(|&i| sim.hosts[i].node.is_some()).collect()
    };
    for index in running(sim) {
        sim.hosts[index].load = index as u16 + 1;
    }
    sim.run(NEWS_TIME);
    let total: u16 = running(sim).iter().map(|&i| sim.hosts[i].load).sum();
    for index in running(sim) {
        let expected = total - sim.hosts[index].load;
        let seen = sim.seen_load(index).unwrap_or(0);
        if seen != expected {
            return Err(format!("host {index} sees a load of {seen} instead of {expected}"));
        }
    }
    Ok(())
}
