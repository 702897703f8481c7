//! Randomised case of the exchange between hosts: hosts stop, crash, freeze, start anew, are cut off and
//! lose what they send as aggregators, while messages are lost and overtake each other. After the
//! faults, all hosts know of each other, every domain has two aggregators, and every host sees the
//! work of all others once. Then no aggregator goes back to an older report while messages overtake
//! each other, and a domain is still heard when nothing arrives of what its first aggregator sends.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::peering::ranking::rank;
use yuccanotch_core::peering::sim::Sim;
use yuccanotch_core::peering::timing::ROUND_INTERVAL;

use crate::case::CaseResult;
use crate::trace::Trace;

/// The time that a cluster gets to settle after its start and after the last fault.
const SETTLE_TIME: Millis = Millis(12_000);
/// How long a run waits for news before it compares loads.
const NEWS_TIME: Millis = Millis(2_500);
/// The number of aggregators of a domain with at least as many hosts.
const AGGREGATORS: usize = 2;

/// The number of rounds in which the load of a host rises.
const RISING_ROUNDS: u32 = 80;
/// Of the messages meanwhile, one in so many is late.
const RISING_DELAY_PERIOD: u64 = 7;
/// How long what an aggregator sends is lost: longer than a silent domain counts as heard.
const SILENT_TIME: Millis = Millis(10_000);

/// A fault of the simulated cluster.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Stop,
    Crash,
    Restart,
    Freeze,
    Wake,
    LoseDigests,
    CutDomain,
    Heal,
}

const FAULTS: [Fault; 8] = [
    Fault::Stop,
    Fault::Crash,
    Fault::Restart,
    Fault::Freeze,
    Fault::Wake,
    Fault::LoseDigests,
    Fault::CutDomain,
    Fault::Heal,
];

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
    sim.delay_period = rng.random_range(0..=1) * rng.random_range(5..40);
    let (loss, delay) = (sim.loss_period, sim.delay_period);
    trace.add(format!("{domains} domains of {hosts_per_domain}, loss {loss}, delay {delay}"));
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
        sim.hosts[index].loses_digests = false;
        if sim.hosts[index].status.is_stopping {
            sim.start(index);
        }
    }
    sim.loss_period = 0;
    sim.delay_period = 0;
    // At least one seed has to be there for separated hosts to find each other.
    if sim.hosts[0].node.is_none() {
        sim.start(0);
    }
    sim.run(SETTLE_TIME);
    check_agreement(&sim)?;
    check_loads(&mut sim)?;
    let rising = rng.random_range(0..sim.hosts.len());
    trace.add(format!("the load of host {rising} rises"));
    check_rising_load(&mut sim, rising)?;
    let domain_of = rng.random_range(0..sim.hosts.len());
    trace.add(format!("the first aggregator of the domain of host {domain_of} is silent"));
    check_silent_aggregator(&mut sim, domain_of)
}

fn apply(sim: &mut Sim, fault: Fault, index: usize) {
    match fault {
        Fault::Stop => sim.stop(index),
        Fault::Crash => sim.crash(index),
        Fault::Restart => {
            if sim.hosts[index].node.is_none() || sim.hosts[index].status.is_stopping {
                sim.start(index);
            }
        }
        Fault::Freeze => sim.hosts[index].is_frozen = true,
        Fault::Wake => sim.hosts[index].is_frozen = false,
        Fault::LoseDigests => sim.hosts[index].loses_digests = true,
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

/// Checks that the other aggregators of a host's domain never see its load fall while it rises and
/// messages overtake each other.
fn check_rising_load(sim: &mut Sim, rising: usize) -> CaseResult {
    let observers = aggregators_beside(sim, rising);
    let mut seen = vec![0; sim.hosts.len()];
    sim.delay_period = RISING_DELAY_PERIOD;
    for _ in 0..RISING_ROUNDS {
        sim.hosts[rising].load += 1;
        sim.run(ROUND_INTERVAL);
        for &index in &observers {
            let load = sim.seen_load(index).unwrap_or(seen[index]);
            if load < seen[index] {
                let before = seen[index];
                return Err(format!("host {index} sees a load of {load} after one of {before}"));
            }
            seen[index] = load;
        }
    }
    sim.delay_period = 0;
    sim.run(NEWS_TIME);
    Ok(())
}

/// Checks that all other hosts still count a domain, but for its silent host, after nothing has
/// arrived for long of what its first aggregator sends as such.
fn check_silent_aggregator(sim: &mut Sim, domain_of: usize) -> CaseResult {
    let Some(silent) = first_aggregator(sim, domain_of) else {
        return Ok(());
    };
    sim.hosts[silent].loses_digests = true;
    sim.run(SILENT_TIME);
    let running = sim.hosts.iter().filter(|h| h.node.is_some()).count();
    for (index, host) in sim.hosts.iter().enumerate().filter(|(index, _)| *index != silent) {
        let count = host.node.as_ref().map_or(running, |node| node.host_count(sim.now));
        if count + 1 < running {
            return Err(format!(
                "host {index} counts {count} of {running} while {silent} is silent"
            ));
        }
    }
    Ok(())
}

/// Returns the aggregators of a host's domain other than the host.
fn aggregators_beside(sim: &Sim, index: usize) -> Vec<usize> {
    let is_other = |i: &usize| *i != index && sim.domain_of(*i) == sim.domain_of(index);
    let is_aggregator =
        |i: &usize| sim.hosts[*i].node.as_ref().is_some_and(|node| node.is_aggregator());
    (0..sim.hosts.len()).filter(is_other).filter(is_aggregator).collect()
}

/// Returns the aggregator of a host's domain that goes first, if another one could take its place.
fn first_aggregator(sim: &Sim, index: usize) -> Option<usize> {
    let in_domain = (0..sim.hosts.len()).filter(|&i| sim.domain_of(i) == sim.domain_of(index));
    let running: Vec<usize> = in_domain.filter(|&i| sim.hosts[i].node.is_some()).collect();
    let rank_of = |i: &usize| rank(&sim.hosts[*i].status.peer);
    (running.len() > 1).then(|| running.into_iter().min_by_key(rank_of))?
}
