//! Tests of the exchange between hosts, on a simulated cluster.

use crate::catch_up::Waits;
use crate::clock::Millis;
use crate::peering::sim::Sim;
use crate::peering::sim::SIM_PROMPT_TOKENS;
use crate::peering::timing::FORGET_AFTER;
use crate::peering::timing::PEER_TIMEOUT;
use crate::peering::timing::ROUNDS_PER_FULL_EXCHANGE;
use crate::peering::timing::ROUND_INTERVAL;
use crate::placement::load::PEER_LOAD_TTL;

/// The time within which a starting cluster has settled.
const START: Millis = Millis(5_000);
/// The time within which a host hears of a loss of both aggregators, and of others in their place.
const TAKEOVER: Millis = Millis(5_000);

/// The time after which nothing of silent hosts is left at any host: what they reported expires at the
/// aggregators, and the next digests with the surroundings of the domain reach the members.
const PREFILL_EXPIRY: Millis =
    Millis(PEER_LOAD_TTL.0 + (ROUNDS_PER_FULL_EXCHANGE as u64 + 2) * ROUND_INTERVAL.0);

/// The time from the signal to stop until a host has ended, and from then until it starts again.
const STOP: (Millis, Millis) = (Millis(7_000), Millis(1_000));

/// The most rounds that a rising load may be behind at the second aggregator, which gets a report in
/// every tenth round, and while messages are late.
const MAX_LAG: u16 = 16;

fn aggregators(sim: &Sim, domain: usize, hosts_per_domain: usize) -> Vec<usize> {
    let hosts = domain * hosts_per_domain..(domain + 1) * hosts_per_domain;
    hosts.filter(|&i| sim.hosts[i].node.as_ref().is_some_and(|n| n.is_aggregator())).collect()
}

/// Returns the smallest and the largest number of hosts that the running hosts believe alive.
fn host_counts(sim: &Sim) -> (usize, usize) {
    let counts: Vec<usize> = sim
        .hosts
        .iter()
        .filter_map(|h| h.node.as_ref())
        .map(|node| node.host_count(sim.now))
        .collect();
    (counts.iter().copied().min().unwrap_or(0), counts.iter().copied().max().unwrap_or(0))
}

#[test]
fn all_hosts_hear_of_all_others_and_each_domain_has_two_aggregators() {
    let mut sim = Sim::new(5, 20);
    sim.run(START);
    assert_eq!(host_counts(&sim), (100, 100));
    for domain in 0..5 {
        assert_eq!(aggregators(&sim, domain, 20).len(), 2, "domain {domain}");
    }
}

#[test]
fn every_host_sees_the_work_of_all_others_once() {
    let mut sim = Sim::new(3, 10);
    sim.run(START);
    let total: u16 = sim.hosts.iter().map(|h| h.load).sum();
    for index in 0..sim.hosts.len() {
        let own = sim.hosts[index].load;
        assert_eq!(sim.seen_load(index), Some(total - own), "host {index}");
    }
}

/// Guards against own rows that stay in a digest, or rows that one of the ways between hosts loses.
#[test]
fn every_host_sees_the_pending_prefill_of_all_others_once() {
    let mut sim = Sim::new(3, 10);
    sim.run(START);
    let total: u16 = sim.hosts.iter().map(|h| h.load).sum();
    for index in 0..sim.hosts.len() {
        let others = u64::from(total - sim.hosts[index].load);
        assert_eq!(sim.seen_prefill(index), Some(others * SIM_PROMPT_TOKENS), "host {index}");
    }
}

/// Guards against rows of hosts that crashed or were cut off, which would keep requests away from
/// servers that are idle.
#[test]
fn pending_prefill_of_silent_hosts_expires() {
    let mut sim = Sim::new(2, 8);
    sim.run(START);
    let chosen = aggregators(&sim, 0, 8);
    let lost: Vec<usize> = (0..8).filter(|i| !chosen.contains(i)).take(3).collect();
    let of_lost: u16 = lost.iter().map(|&i| sim.hosts[i].load).sum();
    lost.iter().for_each(|&i| sim.crash(i));
    // The other failure domain is cut off.
    (8..16).for_each(|i| sim.hosts[i].side = 1);
    sim.run(PREFILL_EXPIRY);
    let total: u16 = sim.hosts[..8].iter().map(|h| h.load).sum::<u16>() - of_lost;
    for index in (0..8).filter(|i| !lost.contains(i)) {
        let others = u64::from(total - sim.hosts[index].load);
        assert_eq!(sim.seen_prefill(index), Some(others * SIM_PROMPT_TOKENS), "host {index}");
    }
}

#[test]
fn the_messages_of_a_member_do_not_depend_on_the_number_of_hosts() {
    let messages_per_member = |hosts_per_domain: usize| {
        let mut sim = Sim::new(5, hosts_per_domain);
        sim.run(START);
        let members: Vec<usize> = (0..sim.hosts.len())
            .filter(|&i| !sim.hosts[i].node.as_ref().is_some_and(|n| n.is_aggregator()))
            .collect();
        let before: u64 = members.iter().map(|&i| sim.hosts[i].sent.messages).sum();
        sim.run(Millis(10_000));
        let after: u64 = members.iter().map(|&i| sim.hosts[i].sent.messages).sum();
        (after - before) / members.len() as u64
    };
    let few = messages_per_member(6);
    assert_eq!(messages_per_member(40), few);
    assert!(few <= 10_000 / ROUND_INTERVAL.0 * 2, "{few} messages in 10 s");
}

#[test]
fn members_choose_other_aggregators_when_both_are_lost() {
    let mut sim = Sim::new(3, 10);
    sim.run(START);
    let lost = aggregators(&sim, 1, 10);
    lost.iter().for_each(|&i| sim.crash(i));
    sim.run(TAKEOVER);
    let next = aggregators(&sim, 1, 10);
    assert_eq!(next.len(), 2);
    assert!(next.iter().all(|i| !lost.contains(i)));
    assert_eq!(host_counts(&sim), (28, 28));
}

// Members that had heard an aggregator stop did not take it back, so that the hosts that had started
// since formed a group of their own.
#[test]
fn members_return_to_aggregators_that_were_restarted() {
    let mut sim = Sim::new(3, 24);
    sim.run(START);
    let before = aggregators(&sim, 0, 24);
    let (stopping, gone) = STOP;
    for &index in &before {
        sim.stop(index);
        sim.run(stopping);
        sim.crash(index);
        sim.run(gone);
        sim.start(index);
    }
    sim.run(TAKEOVER);
    assert_eq!(aggregators(&sim, 0, 24), before);
    assert_eq!(host_counts(&sim), (72, 72));
}

#[test]
fn a_frozen_aggregator_is_replaced_and_returns() {
    let mut sim = Sim::new(2, 8);
    sim.run(START);
    let before = aggregators(&sim, 0, 8);
    sim.hosts[before[0]].is_frozen = true;
    sim.run(TAKEOVER);
    let running: Vec<usize> =
        aggregators(&sim, 0, 8).into_iter().filter(|&i| i != before[0]).collect();
    assert_eq!(running.len(), 2);
    sim.hosts[before[0]].is_frozen = false;
    sim.run(Millis(10_000));
    assert_eq!(aggregators(&sim, 0, 8), before);
}

#[test]
fn both_sides_of_a_healed_cut_find_each_other() {
    let mut sim = Sim::new(4, 6);
    sim.run(START);
    // The last domain holds no seed.
    (18..24).for_each(|i| sim.hosts[i].side = 1);
    sim.run(Millis(9_000));
    assert_eq!(host_counts(&sim), (6, 18));
    sim.hosts.iter_mut().for_each(|h| h.side = 0);
    sim.run(Millis(6_000));
    assert_eq!(host_counts(&sim), (24, 24));
}

#[test]
fn a_third_of_the_hosts_leaves_and_returns_without_a_storm() {
    let mut sim = Sim::new(5, 12);
    sim.run(START);
    let sent = |sim: &Sim| sim.hosts.iter().map(|h| h.sent.messages).max().unwrap_or(0);
    let before = sent(&sim);
    sim.run(START);
    let calm = sent(&sim) - before;
    (0..60).step_by(3).for_each(|i| sim.crash(i));
    sim.run(START);
    assert_eq!(host_counts(&sim), (40, 40));
    (0..60).step_by(3).for_each(|i| sim.start(i));
    let before = sent(&sim);
    sim.run(START);
    assert_eq!(host_counts(&sim), (60, 60));
    assert!(sent(&sim) - before <= 2 * calm, "{} against {calm}", sent(&sim) - before);
}

#[test]
fn many_hosts_that_return_at_once_are_found_by_all_domains() {
    let mut sim = Sim::new(5, 39);
    sim.run(START);
    (0..195).step_by(3).for_each(|i| sim.crash(i));
    sim.run(START);
    (0..195).step_by(3).for_each(|i| sim.start(i));
    sim.run(Millis(12_000));
    assert_eq!(host_counts(&sim), (195, 195));
}

#[test]
fn a_domain_whose_aggregators_changed_while_it_was_not_heard_is_heard_again() {
    let mut sim = Sim::new(5, 39);
    sim.run(START);
    // The hosts in the place of the lost aggregators of the first domain go back to be members while
    // the aggregators of the last domain are down.
    let lost = aggregators(&sim, 0, 39);
    lost.iter().for_each(|&i| sim.crash(i));
    sim.run(Millis(2_000));
    lost.iter().for_each(|&i| sim.start(i));
    sim.run(START);
    (0..195).step_by(3).for_each(|i| sim.crash(i));
    sim.run(Millis(2_000));
    (0..195).step_by(3).for_each(|i| sim.start(i));
    sim.run(Millis(12_000));
    assert_eq!(host_counts(&sim), (195, 195));
}

#[test]
fn a_host_alone_becomes_the_aggregator_of_its_domain() {
    let mut sim = Sim::new(1, 1);
    sim.run(Millis(200));
    assert!(aggregators(&sim, 0, 1).is_empty());
    sim.run(Millis(1_000));
    assert_eq!(aggregators(&sim, 0, 1), vec![0]);
}

#[test]
fn shares_are_divided_by_the_most_hosts_of_the_last_window() {
    let mut sim = Sim::new(2, 5);
    let fresh = sim.hosts[0].node.as_ref().map(|n| n.sharing_count(sim.now, FORGET_AFTER));
    assert!(fresh.is_some_and(|count| count >= 400), "{fresh:?} before any host was heard");
    sim.run(START);
    (1..10).for_each(|i| sim.crash(i));
    sim.run(Millis(9_000));
    let node = sim.hosts[0].node.as_ref().expect("the host runs");
    assert_eq!(node.host_count(sim.now), 1);
    assert_eq!(node.sharing_count(sim.now, Millis(10_000)), 10);
    assert_eq!(node.sharing_count(sim.now, Millis(2_000)), 1);
}

#[test]
fn a_member_without_an_aggregator_that_reads_the_store_reads_it_itself() {
    let mut sim = Sim::new(1, 6);
    sim.run(START);
    let chosen = aggregators(&sim, 0, 6);
    let waits = Waits::new(Millis(4_000));
    let reads = |sim: &Sim| {
        let should = |h: &&crate::peering::sim::SimHost| {
            h.node.as_ref().is_some_and(|n| n.should_read_store(sim.now, waits))
        };
        sim.hosts.iter().filter(should).count()
    };
    chosen.iter().for_each(|&i| sim.hosts[i].status.reads_store = true);
    sim.run(PEER_TIMEOUT);
    assert_eq!(reads(&sim), 2);
    chosen.iter().for_each(|&i| sim.hosts[i].status.reads_store = false);
    sim.run(Millis(waits.reader_silence().0 - ROUND_INTERVAL.0));
    assert_eq!(reads(&sim), 2, "members wait before they read the store");
    sim.run(waits.reader_spread() + ROUND_INTERVAL + ROUND_INTERVAL);
    assert_eq!(reads(&sim), 6);
}

#[test]
fn a_report_that_a_newer_one_overtook_is_ignored() {
    let mut sim = Sim::new(1, 4);
    sim.run(START);
    let chosen = aggregators(&sim, 0, 4);
    let member = (0..4).find(|i| !chosen.contains(i)).expect("a host is no aggregator");
    sim.delay_period = 5;
    let mut seen = vec![0; 4];
    for _ in 0..100 {
        sim.hosts[member].load += 1;
        sim.run(ROUND_INTERVAL);
        for &i in &chosen {
            let load = sim.seen_load(i).unwrap_or(seen[i]);
            assert!(load >= seen[i], "aggregator {i} sees {load} after {}", seen[i]);
            seen[i] = load;
        }
    }
    let total: u16 = (0..4).map(|i| sim.hosts[i].load).sum();
    assert!(chosen.iter().all(|&i| seen[i] + sim.hosts[i].load + MAX_LAG > total), "{seen:?}");
}

#[test]
fn a_domain_is_heard_while_the_digests_of_its_first_aggregator_are_lost() {
    let mut sim = Sim::new(2, 5);
    sim.run(START);
    // The first host has the widest link.
    assert!(aggregators(&sim, 0, 5).contains(&0));
    sim.hosts[0].loses_digests = true;
    for _ in 0..20 {
        sim.run(Millis(1_000));
        for index in 1..10 {
            let count = sim.hosts[index].node.as_ref().map(|n| n.host_count(sim.now));
            assert!(count.is_some_and(|count| count >= 9), "host {index} counts {count:?}");
        }
    }
}
