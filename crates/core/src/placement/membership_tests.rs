//! Tests of when a failure domain's servers are settled enough to plan.

use std::collections::BTreeSet;

use crate::clock::Millis;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::placement::membership::MembershipTracker;

fn names(count: usize) -> BTreeSet<ServerName> {
    (0..count).map(|i| ServerName::new(&i.to_string())).collect()
}

#[test]
fn a_domain_is_settled_once_its_servers_stop_changing() {
    let domain = DomainName::new("a");
    let mut tracker = MembershipTracker::default();
    tracker.observe(Millis(0), &domain, names(3));
    tracker.observe(Millis(600), &domain, names(10));
    assert!(!tracker.is_settled(Millis(1_500), &domain, false));
    assert!(tracker.is_settled(Millis(1_900), &domain, false));
}

#[test]
fn a_domain_is_not_settled_while_many_of_its_servers_are_missing() {
    let domain = DomainName::new("a");
    let mut tracker = MembershipTracker::default();
    tracker.observe(Millis(0), &domain, names(10));
    assert!(tracker.is_settled(Millis(2_000), &domain, true));
    tracker.observe(Millis(3_000), &domain, names(4));
    assert!(!tracker.is_settled(Millis(5_000), &domain, true));
    tracker.observe(Millis(6_000), &domain, names(10));
    assert!(tracker.is_settled(Millis(6_600), &domain, true));
}

#[test]
fn the_first_plan_waits_until_the_servers_of_all_domains_have_appeared() {
    let mut tracker = MembershipTracker::default();
    tracker.observe(Millis(0), &DomainName::new("a"), names(3));
    tracker.observe(Millis(1_000), &DomainName::new("b"), names(7));
    assert!(tracker.must_wait_for_first_plan(Millis(2_200)));
    assert!(!tracker.must_wait_for_first_plan(Millis(2_300)));
    tracker.observe(Millis(5_900), &DomainName::new("b"), names(8));
    assert!(!tracker.must_wait_for_first_plan(Millis(6_000)));
}
