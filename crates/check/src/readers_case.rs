//! Randomised case of a failure domain whose aggregators lose the store without a sign, one after the
//! other or together, while messages are lost and overtake each other: every other host reads the store
//! itself before a change that was made after the loss has to be in force. While one aggregator still
//! hears the store, and no message is lost, no other host reads it.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::catch_up::Waits;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::peering::sim::Sim;
use yuccanotch_core::peering::sim::SimStore;

use crate::case::CaseResult;
use crate::trace::Trace;

/// The time limits of the deployments.
const LIMITS: [Millis; 3] = [Millis(2_000), Millis(3_000), Millis(5_000)];
/// The hosts of small failure domains, and of large ones.
const HOSTS: [(usize, usize); 2] = [(3, 24), (100, 188)];
/// One domain in so many is large.
const LARGE_PERIOD: u64 = 20;
/// The time that a cluster gets to settle after its start.
const SETTLE_TIME: Millis = Millis(6_000);
/// The longest time for which a message is on its way, and a late one.
const MESSAGE: Millis = Millis(5);
const LATE_MESSAGE: Millis = Millis(165);
/// The longest time between the losses of the two aggregators.
const MAX_TIME_BETWEEN: u64 = 3_000;

/// Runs the case.
///
/// # Errors
///
/// Returns the violated invariant.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let waits = Waits::new(LIMITS[rng.random_range(0..LIMITS.len())]);
    let is_large = rng.random_range(0..LARGE_PERIOD) == 0;
    let (least, most) = HOSTS[usize::from(is_large)];
    let mut sim = Sim::new(1, rng.random_range(least..=most));
    sim.store_check_interval = waits.store_check_interval();
    sim.hosts.iter_mut().for_each(|host| host.store = SimStore::Answering);
    sim.run(SETTLE_TIME);
    let chosen = aggregators(&sim);
    // One that lost messages make an aggregator for a while has not read the store.
    for index in (0..sim.hosts.len()).filter(|i| !chosen.contains(i)) {
        sim.hosts[index].store = SimStore::SilentSince(Millis::ZERO);
    }
    sim.loss_period = rng.random_range(0..=1) * rng.random_range(5..40);
    sim.delay_period = rng.random_range(0..=1) * rng.random_range(5..40);
    let (hosts, loss, delay) = (sim.hosts.len(), sim.loss_period, sim.delay_period);
    trace.add(format!("{hosts} hosts, limit {}, loss {loss}, delay {delay}", waits.limit()));
    let between = Millis(rng.random_range(0..=1) * rng.random_range(0..=MAX_TIME_BETWEEN));
    let first = rng.random_range(0..chosen.len());
    for (number, index) in [chosen[first], chosen[chosen.len() - 1 - first]].into_iter().enumerate()
    {
        if number > 0 {
            run_while_a_reader_is_left(&mut sim, between, waits)?;
        }
        trace.add(format!("{} aggregator {index} hears nothing more of the store", sim.now));
        sim.hosts[index].store = SimStore::SilentSince(sim.now);
    }
    // The change comes at the moment of the loss, when the waits have the furthest to go.
    // An age that is told twice is younger by the time for which both messages were on their way.
    let in_transit = if delay > 0 { LATE_MESSAGE } else { MESSAGE };
    let end = waits.worst_case() + in_transit + in_transit;
    assert!(end < waits.limit(), "no time is left for the read");
    sim.run(end);
    let others = sim.hosts.len() - aggregators(&sim).len();
    match others_that_read(&sim, waits) {
        count if count == others => Ok(()),
        count => {
            Err(format!("{count} of {others} hosts read the store themselves {end} after the loss"))
        }
    }
}

/// Lets `span` pass, in which one aggregator hears the store.
fn run_while_a_reader_is_left(sim: &mut Sim, span: Millis, waits: Waits) -> CaseResult {
    sim.run(span);
    let count = others_that_read(sim, waits);
    if count > 0 && sim.loss_period == 0 {
        return Err(format!("{} {count} hosts read the store though an aggregator does", sim.now));
    }
    Ok(())
}

fn aggregators(sim: &Sim) -> Vec<usize> {
    let is_aggregator = |i: &usize| sim.hosts[*i].node.as_ref().is_some_and(|n| n.is_aggregator());
    (0..sim.hosts.len()).filter(is_aggregator).collect()
}

/// Returns how many hosts other than the aggregators read the store.
fn others_that_read(sim: &Sim, waits: Waits) -> usize {
    let nodes = sim.hosts.iter().filter_map(|host| host.node.as_ref());
    nodes.filter(|n| !n.is_aggregator() && n.should_read_store(sim.now, waits)).count()
}
