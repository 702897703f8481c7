//! Randomised case of hosts that fetch a large change from each other: every host that runs all the
//! while has it within the time limit, however narrow the links of the hosts that read the store, and
//! although these end or stand still one after the other.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::catch_up::Waits;
use yuccanotch_core::clock::Millis;

use crate::case::CaseResult;
use crate::catch_up_sim::CatchUpSim;
use crate::catch_up_sim::HostState;
use crate::trace::Trace;

/// The time limits of the deployments.
const LIMITS: [Millis; 2] = [Millis(2_000), Millis(3_000)];
/// The bandwidths of links, in bytes a ms.
const LINKS: [f64; 3] = [2_500.0, 25_000.0, 125_000.0];
/// The hosts of a failure domain.
const HOSTS: (usize, usize) = (3, 188);
/// The bytes of the change as it is sent.
const BYTES: (usize, usize) = (20_000, 250_000);
/// The most hosts that end or stand still.
const MAX_FAULTS: usize = 2;

/// Runs the case.
///
/// # Errors
///
/// Returns the violated invariant.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let limit = LIMITS[rng.random_range(0..LIMITS.len())];
    let hosts = rng.random_range(HOSTS.0..=HOSTS.1);
    let bytes = rng.random_range(BYTES.0..=BYTES.1);
    let link = LINKS[rng.random_range(0..LINKS.len())];
    trace.add(format!("{hosts} hosts with {link} bytes a ms, {bytes} bytes, limit {limit}"));
    let mut sim = CatchUpSim::new(&vec![link; hosts], bytes, Waits::new(limit));
    let mut faults = plan_faults(&mut rng, hosts);
    while sim.now < limit {
        while let Some((_, index, state)) = faults.pop_if(|(at, _, _)| *at <= sim.now) {
            trace.add(format!("{} host {index} is {state:?}", sim.now));
            sim.set_state(index, state);
        }
        sim.step();
    }
    let is_late =
        |i: &usize| sim.hosts[*i].state.0 == HostState::Up && sim.hosts[*i].applied_at.is_none();
    let late: Vec<usize> = (0..hosts).filter(is_late).collect();
    match late.first() {
        None => Ok(()),
        Some(first) => Err(format!("{} of {hosts} hosts are late, host {first} first", late.len())),
    }
}

/// Draws faults of aggregators, the last one first. At least one of the first two lives on.
fn plan_faults(rng: &mut Pcg64Mcg, hosts: usize) -> Vec<(Millis, usize, HostState)> {
    let spared = rng.random_range(0..2);
    let mut faults = Vec::new();
    for _ in 0..rng.random_range(0..=MAX_FAULTS) {
        let index = rng.random_range(0..hosts.min(4));
        let state = [HostState::Gone, HostState::Frozen][rng.random_range(0..2)];
        if index != spared {
            faults.push((Millis(rng.random_range(0..800)), index, state));
        }
    }
    faults.sort_unstable_by_key(|(at, _, _)| std::cmp::Reverse(*at));
    faults
}
