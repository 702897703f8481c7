//! Tests of team limits over several hosts that exchange messages without a network.

use super::Cluster;
use super::MilliRate;
use super::ShareNode;
use super::TeamId;
use crate::clock::Millis;
use crate::name::HostName;

const HOSTS: usize = 8;
const LIMIT_PER_S: u32 = 40;
const TICK: Millis = Millis(5);
const WARM_UP_SPAN: Millis = Millis(10_000);
const MEASURED_SPAN: Millis = Millis(60_000);

struct TestHosts {
    names: Vec<HostName>,
    nodes: Vec<ShareNode>,
    group_of: Vec<usize>,
    now: Millis,
}

impl TestHosts {
    fn new() -> Self {
        let names: Vec<HostName> =
            (0..HOSTS).map(|i| format!("host-{i}").as_str().into()).collect();
        let nodes = names.iter().map(|name| ShareNode::new(name.clone(), Millis::ZERO)).collect();
        let mut hosts = Self { names, nodes, group_of: Vec::new(), now: Millis::ZERO };
        hosts.partition([0; HOSTS]);
        hosts
    }

    /// Partitions the hosts so that only hosts of the same group reach each other.
    fn partition(&mut self, group_of: [usize; HOSTS]) {
        self.group_of = group_of.to_vec();
        for i in 0..HOSTS {
            let near = (0..HOSTS).filter(|j| group_of[*j] == group_of[i]);
            let reachable = near.map(|j| self.names[j].clone()).collect();
            self.nodes[i].set_cluster(Cluster { reachable, known_count: HOSTS });
        }
    }

    /// Sends each host requests at its rate for `span`; returns how many were admitted in total.
    fn run(&mut self, offered_per_s: [u64; HOSTS], span: Millis) -> u64 {
        let team = TeamId::of("retail");
        let mut admitted = 0;
        let end = self.now + span;
        while self.now < end {
            let before = self.now;
            self.now = self.now + TICK;
            for (i, rate) in offered_per_s.iter().enumerate() {
                let due = |at: Millis| at.0 * rate / 1_000;
                for _ in due(before)..due(self.now) {
                    let limit = MilliRate::per_s(LIMIT_PER_S);
                    admitted += u64::from(self.nodes[i].try_admit(self.now, team, limit));
                }
                self.tick(i);
            }
        }
        admitted
    }

    fn tick(&mut self, i: usize) {
        for (home, message) in self.nodes[i].on_tick(self.now) {
            let j = self.names.iter().position(|name| *name == home).unwrap();
            assert_eq!(
                self.group_of[i], self.group_of[j],
                "a report was sent to a host in another group"
            );
            let from = self.names[i].clone();
            let reply = self.nodes[j].on_request(self.now, &from, &message);
            self.nodes[i].on_reply(self.now, &reply);
        }
    }
}

#[yare::parameterized(
    even = { [20; HOSTS] },
    one_host = { [200, 0, 0, 0, 0, 0, 0, 0] },
    skewed = { [100, 30, 9, 3, 1, 1, 1, 1] },
    one_idle = { [0, 10, 10, 10, 10, 10, 10, 10] },
)]
fn the_total_stays_within_a_tenth_of_the_limit(offered_per_s: [u64; HOSTS]) {
    let mut hosts = TestHosts::new();
    hosts.run(offered_per_s, WARM_UP_SPAN);
    let admitted = hosts.run(offered_per_s, MEASURED_SPAN);
    let limit = u64::from(LIMIT_PER_S) * MEASURED_SPAN.0 / 1_000;
    assert!(admitted.abs_diff(limit) * 10 <= limit, "{admitted} of {limit}");
}

#[yare::parameterized(
    halves = { [0, 0, 0, 0, 1, 1, 1, 1] },
    uneven = { [0, 0, 0, 0, 0, 0, 0, 1] },
    thirds = { [0, 0, 0, 1, 1, 1, 2, 2] },
    each_alone = { [0, 1, 2, 3, 4, 5, 6, 7] },
)]
fn the_total_stays_within_twice_the_limit_while_hosts_are_partitioned(group_of: [usize; HOSTS]) {
    let mut hosts = TestHosts::new();
    hosts.run([100; HOSTS], WARM_UP_SPAN);
    hosts.partition(group_of);
    let admitted = hosts.run([100; HOSTS], MEASURED_SPAN);
    let limit = u64::from(LIMIT_PER_S) * MEASURED_SPAN.0 / 1_000;
    assert!(admitted <= 2 * limit + u64::from(LIMIT_PER_S), "{admitted} of {limit}");
    assert!(admitted * 10 >= limit * 9, "{admitted} of {limit}");
}

#[test]
fn a_team_below_its_limit_is_never_refused() {
    let mut hosts = TestHosts::new();
    let offered = [20, 4, 4, 2, 1, 1, 0, 0];
    hosts.run(offered, WARM_UP_SPAN);
    let admitted = hosts.run(offered, MEASURED_SPAN);
    assert_eq!(admitted, offered.iter().sum::<u64>() * MEASURED_SPAN.0 / 1_000);
}

#[test]
fn idle_teams_are_forgotten_on_hosts_and_homes() {
    let mut hosts = TestHosts::new();
    hosts.run([5; HOSTS], WARM_UP_SPAN);
    let homes =
        |hosts: &TestHosts| hosts.nodes.iter().map(|node| node.team_counts().1).sum::<usize>();
    assert_eq!(homes(&hosts), 1);
    hosts.run([0; HOSTS], Millis(15_000));
    assert!(hosts.nodes.iter().all(|node| node.team_counts() == (0, 0)));
}

#[test]
fn the_share_of_an_isolated_host_decays_to_the_even_split() {
    let mut hosts = TestHosts::new();
    let only_first = [200, 0, 0, 0, 0, 0, 0, 0];
    hosts.run(only_first, WARM_UP_SPAN);
    // No home answers: no host can be reached, not even this one.
    hosts.nodes[0].set_cluster(Cluster { reachable: Vec::new(), known_count: HOSTS });
    hosts.run(only_first, Millis(10_000));
    let admitted = hosts.run(only_first, MEASURED_SPAN);
    let even = u64::from(LIMIT_PER_S) * MEASURED_SPAN.0 / 1_000 / HOSTS as u64;
    assert!(admitted.abs_diff(even) * 20 <= even, "{admitted} of {even}");
}
