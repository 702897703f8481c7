//! Unit tests of the judgement of links.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use super::*;
use crate::clock::Millis;
use crate::name::ServerName;

const START: Millis = Millis(10_000);
const DOMAIN: u32 = 1;

fn server(i: usize) -> ServerName {
    ServerName::new(&format!("server-{i}"))
}

fn host_row(i: u8, domain: u32, reaches: bool) -> HostRow {
    let relay = SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, i), 1);
    HostRow { relay, domain, reaches, age_ms: 0 }
}

/// Tells `to` at `now` what `from` knows.
fn tell(now: Millis, from: &Reachability, to: &mut Reachability) {
    let own = host_row(9, DOMAIN, from.reaches_servers());
    to.on_rows(now, &from.rows(now, own, 0));
}

#[test]
fn a_silent_server_that_another_host_hears_is_cut_off_from_this_host_alone() {
    let (mut cut, mut sound) = (Reachability::default(), Reachability::default());
    cut.on_heard(START, &server(0));
    cut.on_failure(START + Millis(300), &server(0), LinkFailure::Silence);
    sound.on_heard(START + Millis(500), &server(0));
    assert!(cut.may_begin(&server(0), false));
    tell(START + Millis(520), &sound, &mut cut);
    assert!(cut.is_cut(&server(0)));
    assert!(!cut.may_begin(&server(0), true));
    assert_eq!(cut.take_changes(), [LinkChange::Cut(server(0))]);
    cut.on_reached(START + Millis(900), &server(0));
    assert!(cut.may_begin(&server(0), false));
    assert_eq!(cut.take_changes(), [LinkChange::Restored(server(0))]);
}

#[test]
fn a_server_that_nobody_hears_after_the_failure_is_not_cut_off() {
    let (mut host, mut other) = (Reachability::default(), Reachability::default());
    other.on_heard(START, &server(0));
    host.on_failure(START + Millis(10), &server(0), LinkFailure::NoConnection);
    tell(START + Millis(100), &other, &mut host);
    assert!(!host.is_cut(&server(0)));
    assert!(host.is_failing(&server(0)));
}

#[test]
fn connections_that_live_on_are_used_while_new_ones_fail() {
    let mut host = Reachability::default();
    host.on_failure(START, &server(0), LinkFailure::NoConnection);
    host.on_heard(START + Millis(200), &server(0));
    assert!(host.is_cut(&server(0)));
    assert!(host.may_begin(&server(0), true));
    assert!(!host.may_begin(&server(0), false));
    host.on_heard(START + Millis(400), &server(0));
    assert!(host.is_cut(&server(0)));
    host.on_reached(START + Millis(600), &server(0));
    assert!(!host.is_cut(&server(0)));
}

#[test]
fn one_broken_connection_of_a_server_that_answers_is_no_failure_of_the_link() {
    let mut host = Reachability::default();
    host.on_heard(START, &server(0));
    host.on_failure(START + Millis(100), &server(0), LinkFailure::Break);
    assert!(!host.is_failing(&server(0)));
    host.on_failure(START + Millis(700), &server(0), LinkFailure::Break);
    assert!(host.is_failing(&server(0)));
}

#[test]
fn a_suspicion_counts_until_the_server_is_heard_and_again_when_it_is_heard_no_more() {
    let (mut host, mut other) = (Reachability::default(), Reachability::default());
    let hash = crate::peering::observations::short_hash("server-0");
    assert!(host.on_suspicion(START, hash));
    other.on_heard(START + Millis(200), &server(0));
    tell(START + Millis(250), &other, &mut host);
    for after in [300, 700, 1_100] {
        assert!(!host.on_suspicion(START + Millis(after), hash), "after {after} ms");
    }
    assert!(host.on_suspicion(START + Millis(1_300), hash));
}

#[test]
fn a_host_that_hears_no_server_any_more_is_cut_off_and_says_so() {
    let mut host = Reachability::default();
    host.on_heard(START, &server(0));
    assert!(host.reaches_servers());
    host.on_failure(START + Millis(100), &server(0), LinkFailure::Silence);
    host.on_failure(START + Millis(200), &server(1), LinkFailure::NoConnection);
    assert!(!host.is_cut_off(START + Millis(200)));
    assert!(host.is_cut_off(START + Millis(400)));
    assert!(!host.reaches_servers());
    host.on_heard(START + Millis(1_300), &server(2));
    assert!(!host.is_cut_off(START + Millis(1_300)));
}

/// Guards against an issuer that keeps its lease while it reaches no server, and against a deployment
/// without an issuer in an outage of all servers.
#[test]
fn a_host_yields_the_orders_only_if_others_hear_the_servers_that_it_does_not_reach() {
    let (mut host, mut other) = (Reachability::default(), Reachability::default());
    for i in 0..3 {
        host.on_failure(START, &server(i), LinkFailure::NoConnection);
    }
    let now = START + Millis(500);
    assert!(host.is_cut_off(now) && !host.must_yield(now));
    (0..3).for_each(|i| other.on_heard(START + Millis(400), &server(i)));
    tell(now, &other, &mut host);
    assert!(host.must_yield(now));
    host.on_reached(now, &server(2));
    assert!(!host.must_yield(now));
}

/// Guards against a host with little traffic that passes its requests on because two servers were
/// lost a while ago.
#[test]
fn an_idle_host_with_two_lost_servers_is_not_cut_off() {
    let mut host = Reachability::default();
    host.on_failure(START, &server(0), LinkFailure::NoConnection);
    host.on_failure(START + Millis(100), &server(1), LinkFailure::NoConnection);
    host.on_heard(START + Millis(200), &server(2));
    assert!(!host.is_cut_off(START + Millis(5_000)));
    assert!(host.reaches_servers());
}

#[test]
fn requests_go_to_hosts_that_reach_servers_those_of_the_own_domain_first() {
    let mut host = Reachability::default();
    let hosts = vec![host_row(1, 1, false), host_row(2, 2, true), host_row(3, 1, true)];
    let rows = ReachRows { heard: Vec::new(), hosts };
    host.on_rows(START, &rows);
    let near = host_row(3, 1, true).relay;
    assert_eq!(host.takers(START, DOMAIN), [near]);
    host.avoid_host(START, near, Millis(300));
    assert_eq!(host.takers(START, DOMAIN), [host_row(2, 2, true).relay]);
    assert_eq!(host.takers(START + Millis(300), DOMAIN), [near]);
    assert!(host.takers(START + Millis(3_000), DOMAIN).is_empty());
}

#[test]
fn messages_and_memory_are_bounded() {
    let mut host = Reachability::default();
    for i in 0..1_000 {
        host.on_heard(START, &server(i));
    }
    let hosts = (0..250).map(|i| host_row(i, u32::from(i), true)).collect();
    host.on_rows(START, &ReachRows { heard: Vec::new(), hosts });
    let rows = host.rows(START, host_row(251, 1, true), 7);
    assert_eq!((rows.heard.len(), rows.hosts.len()), (48, 9));
    host.on_tick(START + Millis(60_000));
    let rows = host.rows(START + Millis(60_000), host_row(251, 1, true), 8);
    assert_eq!((rows.heard.len(), rows.hosts.len()), (0, 1));
}
