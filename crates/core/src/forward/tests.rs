//! Tests of forwarding decisions.

use yare::parameterized;

use super::budget::RetryBudget;
use super::budget::RetryBudgetLimits;
use super::events::EventError;
use super::events::EventSplitter;
use super::health::Health;
use super::outcome::AttemptEnd;
use super::outcome::AttemptTarget;
use super::outcome::NextStep;
use super::outcome::RequestState;
use super::outcome::RetryConditions;
use super::routes::RepeatPolicy;
use super::waiting::Progress;
use super::waiting::WaitQueue;
use crate::clock::Millis;
use crate::name::ServerName;

const YES: RetryConditions = RetryConditions { within_budget: true, within_deadline: true };
const NO_BUDGET: RetryConditions = RetryConditions { within_budget: false, within_deadline: true };

#[parameterized(
    not_sent = { RepeatPolicy::Never, AttemptEnd::NotSent, NextStep::Retry },
    declined = { RepeatPolicy::Never, AttemptEnd::Declined, NextStep::Retry },
    broken = { RepeatPolicy::Never, AttemptEnd::Broken, NextStep::Unknown },
    silent = { RepeatPolicy::Never, AttemptEnd::Silent, NextStep::Unknown },
    failed = { RepeatPolicy::Never, AttemptEnd::Failed, NextStep::PassOn },
    safe_broken = { RepeatPolicy::Safe, AttemptEnd::Broken, NextStep::Retry },
    safe_failed = { RepeatPolicy::Safe, AttemptEnd::Failed, NextStep::Retry },
    resumable_broken = { RepeatPolicy::Resumable, AttemptEnd::Broken, NextStep::Retry },
)]
fn a_request_is_repeated_only_if_it_cannot_have_run_or_may_run_again(
    repeat: RepeatPolicy,
    end: AttemptEnd,
    expected: NextStep,
) {
    let mut outcome = RequestState::new(repeat, 2);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(end, YES), expected);
}

#[test]
fn a_request_in_flight_at_its_deadline_is_not_said_to_be_unrun() {
    let mut outcome = RequestState::new(RepeatPolicy::Never, 1);
    assert_eq!(outcome.final_step(), NextStep::Refuse);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.final_step(), NextStep::Unknown);
}

#[test]
fn a_declined_request_may_be_refused_after_it() {
    let mut outcome = RequestState::new(RepeatPolicy::Never, 1);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Declined, YES), NextStep::Refuse);
}

#[test]
fn a_request_that_broke_once_is_never_refused_as_unrun() {
    let mut outcome = RequestState::new(RepeatPolicy::Safe, 2);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::Retry);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Declined, YES), NextStep::Unknown);
}

#[test]
fn a_repeat_needs_the_budget_but_a_request_that_never_left_does_not() {
    let mut outcome = RequestState::new(RepeatPolicy::Safe, 3);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::NotSent, NO_BUDGET), NextStep::Retry);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Broken, NO_BUDGET), NextStep::Unknown);
}

#[test]
fn a_stream_that_cannot_go_on_is_broken_off() {
    let mut outcome = RequestState::new(RepeatPolicy::Never, 2);
    outcome.on_send(AttemptTarget::Untried);
    outcome.on_answer_begun();
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::BreakOff);
}

#[test]
fn a_begun_stream_that_is_cut_again_and_again_goes_on_at_a_server_that_has_had_it() {
    let mut outcome = RequestState::new(RepeatPolicy::Resumable, 2);
    outcome.on_send(AttemptTarget::Untried);
    outcome.on_answer_begun();
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::Retry);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::Retry);
    assert!(!outcome.may_try_new_server());
    let repeats = (0..20)
        .take_while(|_| {
            outcome.on_send(AttemptTarget::Tried);
            outcome.on_end(AttemptEnd::Broken, YES) == NextStep::Retry
        })
        .count();
    assert!((1..10).contains(&repeats), "{repeats} repeats");
}

#[test]
fn a_request_of_which_the_caller_has_nothing_is_sent_to_each_server_once() {
    let mut outcome = RequestState::new(RepeatPolicy::Safe, 2);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::Retry);
    outcome.on_send(AttemptTarget::Untried);
    assert_eq!(outcome.on_end(AttemptEnd::Broken, YES), NextStep::Unknown);
}

#[test]
fn connections_that_never_come_about_do_not_repeat_for_ever() {
    let mut outcome = RequestState::new(RepeatPolicy::Safe, 1);
    let repeats = (0..20)
        .take_while(|_| {
            outcome.on_send(AttemptTarget::Untried);
            outcome.on_end(AttemptEnd::NotSent, YES) == NextStep::Retry
        })
        .count();
    assert!(repeats < 10, "{repeats} repeats");
}

#[test]
fn a_cut_event_is_held_back_and_the_stream_goes_on_after_the_last_whole_one() {
    let mut events = EventSplitter::new(None);
    let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("events in order");
    assert_eq!(&whole.bytes[..], b"id: 1\ndata: a\n\n");
    assert!(events.has_partial_event());
    events.discard_partial_event();
    let whole = events.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n").expect("events in order");
    assert_eq!(whole.count, 2);
    assert_eq!(events.last_event_id(), Some(3));
}

#[test]
fn events_that_the_caller_has_are_dropped_and_a_gap_is_an_error() {
    let mut events = EventSplitter::new(Some(4));
    let whole = events.push(b"id: 3\n\nid: 4\n\nid: 5\n\n").expect("events in order");
    assert_eq!(&whole.bytes[..], b"id: 5\n\n");
    assert_eq!(events.push(b"id: 7\n\n").err(), Some(EventError::Gap));
}

#[test]
fn repeats_stay_within_this_hosts_share() {
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window: Millis(10_000) };
    let mut budget = RetryBudget::new(limits);
    for ms in 0..100 {
        budget.on_request(Millis(ms));
    }
    let taken = (0..100).filter(|_| budget.try_take_retry(Millis(200), 10)).count();
    assert!((15..=30).contains(&taken), "{taken} repeats of 100 requests");
    assert!(budget.try_take_retry(Millis(20_000), 10), "the window slides");
}

#[test]
fn a_suspicion_of_another_host_ends_by_itself_and_is_not_passed_on() {
    let server = ServerName::new("s");
    let mut health = Health::default();
    health.on_peer_suspicion(Millis(0), &server, Millis(400));
    assert!(!health.is_usable(Millis(100), &server));
    assert_eq!(health.suspects(Millis(100)).count(), 0);
    assert!(health.is_usable(Millis(500), &server));
}

#[test]
fn full_servers_give_room_first_to_begun_streams_then_by_priority() {
    let mut waiting = WaitQueue::default();
    let late = waiting.insert(Progress::NotBegun, 3);
    let urgent = waiting.insert(Progress::NotBegun, 0);
    let begun = waiting.insert(Progress::Begun, 9);
    for place in [begun, urgent, late] {
        assert!(waiting.may_try(place));
        let others = [late, urgent, begun].into_iter().filter(|&p| p > place);
        others.for_each(|p| assert!(!waiting.may_try(p)));
        waiting.remove(place);
    }
    assert!(waiting.is_empty());
}

#[test]
fn full_servers_give_small_requests_the_room_that_a_large_one_of_their_rank_cannot_use() {
    let mut waiting = WaitQueue::default();
    let large = waiting.insert(Progress::NotBegun, 1);
    let small = waiting.insert(Progress::NotBegun, 1);
    assert!(waiting.may_try(large));
    assert!(waiting.may_try(small));
}
