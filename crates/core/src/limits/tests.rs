//! Unit tests of the rates that servers name.

use super::*;
use crate::clock::Millis;
use crate::name::DomainName;
use crate::share::MilliRate;

const SERVER: u32 = 7;
const BOOT: u64 = 1;

fn rate(per_s: u32) -> Option<RequestedLimit> {
    Some(RequestedLimit::Rate(MilliRate::per_s(per_s)))
}

/// Returns a state that knows a rate of `per_s` and has the share `share` of it.
fn limited(per_s: u32, share: f64) -> ServerLimits {
    let mut limits = ServerLimits::default();
    limits.on_answer(Millis(1_000), SERVER, BOOT, rate(per_s), true);
    limits.update_shares(Millis(1_000), |_, _, _| Some(share));
    limits
}

fn row(age_ms: u32, rate: Option<MilliRate>) -> LimitRows {
    LimitRows { servers: vec![LimitRow { server: SERVER, boot: BOOT, rate, age_ms }] }
}

#[test]
fn the_shares_of_all_hosts_stay_within_the_rate_at_every_size() {
    for (hosts, per_s) in [(1, 1), (8, 3), (8, 15), (76, 8), (195, 3), (376, 15)] {
        for server in 0..50 {
            let members: Vec<u32> = (0..hosts).map(|i| i * 7_919).collect();
            let limit = MilliRate::per_s(per_s);
            let shares = members.iter().map(|own| own_share(server, limit, *own, &members, 1));
            let shares: Vec<f64> = shares.filter(|share| *share > 0.0).collect();
            let sum: f64 = shares.iter().sum();
            assert!(sum <= f64::from(per_s) && sum >= 0.9 * f64::from(per_s), "{sum} of {per_s}");
            assert!(shares.len() <= per_s as usize, "{} hosts share {per_s}", shares.len());
        }
    }
}

#[test]
fn a_host_that_starts_has_no_allowance_and_gains_one_request_at_most() {
    let mut limits = limited(4, 2.0);
    assert!(!limits.may_send(Millis(1_000), SERVER));
    assert!(limits.may_send(Millis(1_500), SERVER));
    limits.on_send(Millis(60_000), SERVER);
    assert!(!limits.may_send(Millis(60_000), SERVER));
}

#[test]
fn the_newest_answer_counts_whichever_host_got_it() {
    let mut limits = limited(4, 2.0);
    let known = |_| Some(BOOT);
    assert!(limits.on_rows(Millis(3_000), &row(2_500, None), known).is_empty());
    assert_eq!(
        limits.on_rows(Millis(3_000), &row(500, None), known),
        [(SERVER, LimitChange::Ended)]
    );
    assert!(limits.may_send(Millis(3_000), SERVER));
    assert!(limits.on_rows(Millis(3_000), &row(900, Some(MilliRate(1))), known).is_empty());
}

#[test]
fn a_rate_ends_with_an_answer_to_a_request_or_the_incarnation_and_not_with_a_report() {
    let mut limits = limited(4, 0.0);
    assert_eq!(limits.on_answer(Millis(2_000), SERVER, BOOT, None, false), None);
    assert!(!limits.has_share(SERVER));
    let ended = limits.on_answer(Millis(2_100), SERVER, BOOT, None, true);
    assert_eq!(ended, Some(LimitChange::Ended));
    let mut limits = limited(4, 0.0);
    limits.update_shares(Millis(2_000), |_, _, _| None);
    assert!(limits.has_share(SERVER));
    assert!(limits.on_rows(Millis(3_000), &row(0, Some(MilliRate(1))), |_| Some(2)).is_empty());
}

#[test]
fn unusable_rates_change_nothing_and_huge_ones_limit_nothing() {
    for per_s in [f64::NAN, -1.0, f64::NEG_INFINITY] {
        assert_eq!(RequestedLimit::from_per_s(per_s), RequestedLimit::Unusable);
    }
    for per_s in [1e300, f64::INFINITY] {
        assert_eq!(RequestedLimit::from_per_s(per_s), RequestedLimit::Unlimited);
    }
    assert_eq!(RequestedLimit::from_per_s(0.0), RequestedLimit::Rate(MilliRate(0)));
    let mut limits = limited(4, 1.0);
    let unusable = Some(RequestedLimit::Unusable);
    assert_eq!(limits.on_answer(Millis(2_000), SERVER, BOOT, unusable, true), None);
    assert_eq!(limits.count(), 1);
    assert!(own_share(SERVER, MilliRate(0), 1, &[1], 1) > 0.0);
}

#[test]
fn domains_without_a_server_of_their_own_share_and_others_do_not() {
    let [north, south, east] = ["north", "south", "east"].map(DomainName::new);
    let live = [north.clone(), south.clone(), east.clone()];
    let serving = [north.clone(), south.clone()];
    assert_eq!(sharing_domains(&north, &live, &serving).as_slice(), [&north, &east]);
    assert_eq!(sharing_domains(&north, &live[1..], &serving).as_slice(), [&south, &east]);
}

#[test]
fn more_rates_than_fit_a_message_take_turns() {
    let mut limits = ServerLimits::default();
    for server in 0..200 {
        limits.on_answer(Millis(1_000), server, BOOT, rate(4), true);
    }
    let told = |turn| limits.rows(Millis(2_000), turn).servers.into_iter().map(|row| row.server);
    let all: std::collections::BTreeSet<u32> = (0..20).flat_map(told).collect();
    assert_eq!(all.len(), 200);
}
