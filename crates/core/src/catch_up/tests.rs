//! Tests of the decisions of hosts that are behind.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;

use crate::catch_up::FetchEnd;
use crate::catch_up::Fetches;
use crate::catch_up::Lag;
use crate::catch_up::Reply;
use crate::catch_up::Transfers;
use crate::catch_up::Waits;
use crate::clock::Millis;
use crate::peering::timing::ROUND_INTERVAL;

const LIMIT: Millis = Millis(3_000);
const LARGE: usize = 60_000;
const SMALL: usize = 600;

fn host(number: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, number), 7_000)
}

fn fetches() -> (Fetches, Waits) {
    let waits = Waits::new(LIMIT);
    (Fetches::new(waits), waits)
}

#[test]
fn a_second_source_is_asked_beside_one_that_sends_nothing() {
    let (mut fetches, waits) = fetches();
    let sources = [host(1), host(2), host(3)];
    assert_eq!(fetches.next(Millis(0), &sources), Some(host(1)));
    let wait = waits.first_byte();
    assert_eq!(fetches.next(wait.since(Millis(1)), &sources), None);
    assert_eq!(fetches.next(wait, &sources), Some(host(2)));
    assert_eq!(fetches.next(wait + wait, &sources), None, "two at a time are enough");
}

#[test]
fn no_second_source_is_asked_while_the_first_one_sends() {
    let (mut fetches, waits) = fetches();
    let sources = [host(1), host(2)];
    fetches.next(Millis(0), &sources);
    fetches.on_bytes(Millis(10), host(1));
    assert_eq!(fetches.next(waits.first_byte(), &sources), None);
    assert!(fetches.overdue(waits.silence()).is_empty());
    assert_eq!(fetches.overdue(waits.silence() + Millis(10)).as_slice(), [host(1)]);
}

#[test]
fn a_source_that_failed_is_asked_only_if_there_is_no_other_for_a_while() {
    let (mut fetches, waits) = fetches();
    fetches.next(Millis(0), &[host(1)]);
    fetches.on_end(Millis(5), host(1), FetchEnd::Failed);
    assert_eq!(fetches.next(Millis(6), &[host(1), host(2)]), Some(host(2)));
    fetches.on_end(Millis(7), host(2), FetchEnd::Failed);
    assert_eq!(fetches.next(Millis(8), &[host(1), host(2)]), Some(host(1)));
    fetches.on_end(Millis(9), host(1), FetchEnd::Applied);
    let later = Millis(9) + waits.source_backoff();
    assert_eq!(fetches.next(later, &[host(1), host(2)]), Some(host(1)));
}

#[test]
fn a_referral_is_followed_before_all_other_sources() {
    let (mut fetches, _) = fetches();
    fetches.next(Millis(0), &[host(1)]);
    assert!(!fetches.is_referred(host(1)));
    fetches.on_end(Millis(5), host(1), FetchEnd::Referred(host(9)));
    assert_eq!(fetches.next(Millis(6), &[host(1)]), Some(host(9)));
    assert!(fetches.is_referred(host(9)));
    fetches.on_end(Millis(9), host(9), FetchEnd::Failed);
    assert_eq!(fetches.next(Millis(10), &[host(1)]), Some(host(1)));
}

#[test]
fn the_time_behind_begins_anew_when_the_revision_that_was_heard_of_is_reached() {
    let mut lag = Lag::default();
    lag.on_revisions(Millis(0), 5, None);
    assert_eq!(lag.span(Millis(10)), Millis(0));
    lag.on_revisions(Millis(10), 5, Some(7));
    lag.on_revisions(Millis(20), 6, Some(9));
    assert_eq!(lag.span(Millis(30)), Millis(20), "7 is not reached");
    lag.on_revisions(Millis(40), 7, Some(9));
    assert_eq!(lag.span(Millis(50)), Millis(10));
    lag.on_revisions(Millis(60), 9, None);
    assert_eq!(lag.span(Millis(70)), Millis(0));
}

#[test]
fn a_host_is_not_behind_a_host_that_is_not_heard_any_more() {
    let mut lag = Lag::default();
    lag.on_revisions(Millis(10), 5, Some(7));
    lag.on_revisions(Millis(20), 5, None);
    assert_eq!(lag.span(Millis(30)), Millis(0));
}

/// Guards against a sum of waits that leaves out the time in which the hosts that read the store do
/// not know yet that they have lost it.
#[test]
fn a_host_reads_the_store_itself_within_the_limit_with_time_left_for_the_read() {
    for limit in (500..10_000).map(Millis) {
        let waits = Waits::new(limit);
        let left = limit.since(waits.worst_case());
        assert!(left >= Millis(limit.0 / 5), "{left} are left of {limit}");
        let silence_when_all_is_well =
            waits.store_check_interval() + ROUND_INTERVAL + ROUND_INTERVAL;
        assert!(silence_when_all_is_well < waits.reader_silence());
        assert!(
            waits.store_check_interval() + waits.store_check_timeout() < waits.store_answer_ttl()
        );
        assert!(waits.store_answer_ttl() < waits.reader_silence());
        assert!(waits.first_byte() + waits.queue_wait() <= waits.limit());
    }
}

#[test]
fn few_large_answers_are_sent_at_a_time_and_small_ones_always() {
    let mut transfers = Transfers::default();
    let decide = |transfers: &mut Transfers, bytes| transfers.decide(Millis(0), bytes, &[]);
    assert_eq!(decide(&mut transfers, LARGE), Reply::Send);
    assert_eq!(decide(&mut transfers, LARGE), Reply::Send);
    assert_eq!(decide(&mut transfers, LARGE), Reply::Wait);
    assert_eq!(decide(&mut transfers, SMALL), Reply::Send);
    transfers.on_end(SMALL);
    assert_eq!(decide(&mut transfers, LARGE), Reply::Wait);
    transfers.on_end(LARGE);
    assert_eq!(decide(&mut transfers, LARGE), Reply::Send);
}

#[test]
fn a_busy_host_names_each_holder_to_one_that_asks_and_then_the_next_one() {
    let mut transfers = Transfers::default();
    let holders = [host(4), host(5)];
    (0..2).for_each(|_| assert_eq!(transfers.decide(Millis(0), LARGE, &holders), Reply::Send));
    assert_eq!(transfers.decide(Millis(0), LARGE, &holders), Reply::Refer(host(4)));
    assert_eq!(transfers.decide(Millis(1), LARGE, &holders), Reply::Refer(host(5)));
    assert_eq!(transfers.decide(Millis(2), LARGE, &holders), Reply::Wait);
    assert_eq!(transfers.decide(Millis(150), LARGE, &holders), Reply::Refer(host(4)));
}
