//! Randomised case: shares of a team's rate limit while the network is partitioned.

use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;
use yuccanotch_core::share::Cluster;
use yuccanotch_core::share::MilliRate;
use yuccanotch_core::share::ShareNode;
use yuccanotch_core::share::TeamId;

use crate::case::CaseResult;
use crate::trace::Trace;

const MAX_HOSTS: usize = 8;
const MAX_GROUPS: usize = 4;
const STEP: Millis = Millis(20);
const WARM_UP_STEPS: u64 = 500;
const MEASURED_STEPS: u64 = 500;
/// Burst that a host may accumulate, in seconds of its share.
const BURST_S: u64 = 1;

/// Checks that all hosts together admit at most twice the limit while partitioned into groups.
pub fn run(seed: u64, trace: &mut Trace) -> CaseResult {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let count = rng.random_range(2..=MAX_HOSTS);
    let limit = rng.random_range(10..60);
    let group_of: Vec<usize> = (0..count).map(|_| rng.random_range(0..MAX_GROUPS)).collect();
    let offered: Vec<u64> = (0..count).map(|_| rng.random_range(0..3)).collect();
    trace.add(format!("limit {limit}, groups {group_of:?}, offered in a step {offered:?}"));
    let names: Vec<HostName> = (0..count).map(|i| HostName::new(&format!("host-{i}"))).collect();
    let mut nodes: Vec<ShareNode> =
        names.iter().map(|name| ShareNode::new(name.clone(), Millis::ZERO)).collect();
    for (i, node) in nodes.iter_mut().enumerate() {
        let same_group = (0..count).filter(|j| group_of[*j] == group_of[i]);
        let reachable = same_group.map(|j| names[j].clone()).collect();
        node.set_cluster(Cluster { reachable, known_count: count });
    }
    let mut admitted = 0;
    for step in 0..WARM_UP_STEPS + MEASURED_STEPS {
        let now = Millis(STEP.0 * (step + 1));
        let admitted_in_step = run_step(now, limit, &names, &mut nodes, &offered);
        admitted += if step < WARM_UP_STEPS { 0 } else { admitted_in_step };
    }
    let span_s = MEASURED_STEPS * STEP.0 / 1_000;
    let max_admitted = 2 * u64::from(limit) * (span_s + BURST_S) + count as u64;
    if admitted > max_admitted {
        return Err(format!(
            "{admitted} requests were admitted in {span_s} s, at most {max_admitted} are allowed"
        ));
    }
    Ok(())
}

/// Offers each host its requests and delivers all reports; returns the number of requests admitted.
fn run_step(
    now: Millis,
    limit: u32,
    names: &[HostName],
    nodes: &mut [ShareNode],
    offered: &[u64],
) -> u64 {
    let team = TeamId::of("retail");
    let mut admitted = 0;
    for i in 0..nodes.len() {
        for _ in 0..offered[i] {
            admitted += u64::from(nodes[i].try_admit(now, team, MilliRate::per_s(limit)));
        }
        for (home, message) in nodes[i].on_tick(now) {
            let Some(home) = names.iter().position(|name| *name == home) else { continue };
            let reply = nodes[home].on_request(now, &names[i], &message);
            nodes[i].on_reply(now, &reply);
        }
    }
    admitted
}
