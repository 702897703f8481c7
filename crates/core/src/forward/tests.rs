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

const WITHIN_LIMITS: RetryConditions =
    RetryConditions { within_budget: true, within_deadline: true };
const BUDGET_EXHAUSTED: RetryConditions =
    RetryConditions { within_budget: false, within_deadline: true };

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
    let mut state = RequestState::new(repeat, 2);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(end, WITHIN_LIMITS), expected);
}

#[test]
fn a_request_in_flight_at_its_deadline_is_not_reported_as_not_run() {
    let mut state = RequestState::new(RepeatPolicy::Never, 1);
    assert_eq!(state.final_step(), NextStep::Refuse);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.final_step(), NextStep::Unknown);
}

#[test]
fn a_request_declined_by_a_later_stage_returns_to_the_servers_that_it_was_sent_to() {
    let mut state = RequestState::new(RepeatPolicy::Never, 1);
    state.on_send(AttemptTarget::Untried);
    let mut resends = 0;
    while state.on_end(AttemptEnd::StageDeclined, WITHIN_LIMITS) == NextStep::Retry {
        assert!(!state.may_try_new_server());
        state.on_send(AttemptTarget::Tried);
        resends += 1;
    }
    assert_eq!(resends, 6);
    assert_eq!(state.on_end(AttemptEnd::StageDeclined, WITHIN_LIMITS), NextStep::Refuse);
}

/// Guards against a request that goes to the same server again and again, since an attempt at a new
/// one is left for which there is none.
#[test]
fn a_request_is_not_sent_again_beyond_its_resends_though_it_may_go_to_a_new_server() {
    let mut state = RequestState::new(RepeatPolicy::Resumable, 3);
    state.on_send(AttemptTarget::Untried);
    state.on_answer_begun();
    let mut resends = 0;
    while state.may_resend() {
        assert_eq!(state.on_end(AttemptEnd::Failed, WITHIN_LIMITS), NextStep::Retry);
        state.on_send(AttemptTarget::Tried);
        resends += 1;
    }
    assert_eq!(resends, 6);
    assert!(state.may_try_new_server());
    assert_eq!(state.on_end(AttemptEnd::Failed, WITHIN_LIMITS), NextStep::Retry);
    state.on_send(AttemptTarget::Untried);
    assert!(!state.may_resend());
}

#[test]
fn a_declined_request_without_attempts_left_is_refused() {
    let mut state = RequestState::new(RepeatPolicy::Never, 1);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Declined, WITHIN_LIMITS), NextStep::Refuse);
}

#[test]
fn a_request_that_broke_once_is_never_refused_as_not_run() {
    let mut state = RequestState::new(RepeatPolicy::Safe, 2);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::Retry);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Declined, WITHIN_LIMITS), NextStep::Unknown);
}

#[test]
fn a_retry_needs_the_budget_unless_the_request_was_never_sent() {
    let mut state = RequestState::new(RepeatPolicy::Safe, 3);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::NotSent, BUDGET_EXHAUSTED), NextStep::Retry);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Broken, BUDGET_EXHAUSTED), NextStep::Unknown);
}

/// Guards against begun streams that are broken off for want of budget, with time left.
#[test]
fn a_begun_stream_awaits_the_budget_until_its_deadline() {
    let mut state = RequestState::new(RepeatPolicy::Resumable, 3);
    state.on_send(AttemptTarget::Untried);
    state.on_answer_begun();
    assert_eq!(state.on_end(AttemptEnd::Declined, BUDGET_EXHAUSTED), NextStep::AwaitBudget);
    state.on_send(AttemptTarget::Untried);
    let late = RetryConditions { within_deadline: false, ..BUDGET_EXHAUSTED };
    assert_eq!(state.on_end(AttemptEnd::Broken, late), NextStep::BreakOff);
}

#[test]
fn a_begun_stream_without_attempts_left_does_not_await_the_budget() {
    let mut state = RequestState::new(RepeatPolicy::Resumable, 1);
    state.on_send(AttemptTarget::Untried);
    state.on_answer_begun();
    let mut resends = 0;
    while state.on_end(AttemptEnd::Broken, WITHIN_LIMITS) == NextStep::Retry {
        state.on_send(AttemptTarget::Tried);
        resends += 1;
        assert!(resends < 20);
    }
    assert_eq!(state.on_end(AttemptEnd::Broken, BUDGET_EXHAUSTED), NextStep::BreakOff);
}

#[test]
fn a_begun_stream_that_may_not_be_resumed_is_broken_off() {
    let mut state = RequestState::new(RepeatPolicy::Never, 2);
    state.on_send(AttemptTarget::Untried);
    state.on_answer_begun();
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::BreakOff);
}

#[test]
fn a_stream_that_is_cut_repeatedly_is_resumed_on_tried_servers_a_limited_number_of_times() {
    let mut state = RequestState::new(RepeatPolicy::Resumable, 2);
    state.on_send(AttemptTarget::Untried);
    state.on_answer_begun();
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::Retry);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::Retry);
    assert!(!state.may_try_new_server());
    let retries = (0..20)
        .take_while(|_| {
            state.on_send(AttemptTarget::Tried);
            state.on_end(AttemptEnd::Broken, WITHIN_LIMITS) == NextStep::Retry
        })
        .count();
    assert!((1..10).contains(&retries), "{retries} retries");
}

#[test]
fn a_request_without_an_answer_yet_is_not_sent_again_once_its_attempts_are_used() {
    let mut state = RequestState::new(RepeatPolicy::Safe, 2);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::Retry);
    state.on_send(AttemptTarget::Untried);
    assert_eq!(state.on_end(AttemptEnd::Broken, WITHIN_LIMITS), NextStep::Unknown);
}

#[test]
fn failed_connections_are_retried_a_limited_number_of_times() {
    let mut state = RequestState::new(RepeatPolicy::Safe, 1);
    let retries = (0..20)
        .take_while(|_| {
            state.on_send(AttemptTarget::Untried);
            state.on_end(AttemptEnd::NotSent, WITHIN_LIMITS) == NextStep::Retry
        })
        .count();
    assert!(retries < 10, "{retries} retries");
}

#[test]
fn a_partial_event_is_held_back_and_the_stream_resumes_after_the_last_complete_one() {
    let mut events = EventSplitter::new(None);
    let whole = events.push(b"id: 1\ndata: a\n\nid: 2\nda").expect("events in order");
    assert_eq!(&whole.bytes[..], b"id: 1\ndata: a\n\n");
    assert!(events.has_partial_event());
    events.begin_attempt();
    let whole = events.push(b"id: 2\ndata: b\n\nid: 3\ndata: c\n\n").expect("events in order");
    assert_eq!(whole.count, 2);
    assert_eq!(events.last_event_id(), Some(3));
}

#[test]
fn events_already_delivered_are_dropped_and_a_gap_is_an_error() {
    let mut events = EventSplitter::new(Some(4));
    let whole = events.push(b"id: 3\n\nid: 4\n\nid: 5\n\n").expect("events in order");
    assert_eq!(&whole.bytes[..], b"id: 5\n\n");
    assert_eq!(events.push(b"id: 7\n\n").err(), Some(EventError::Gap));
}

/// Guards against a server that sends the same event without end, which is no progress.
#[test]
fn an_attempt_repeats_each_delivered_event_once_at_most() {
    let mut events = EventSplitter::new(Some(2));
    for _ in 0..2 {
        events.begin_attempt();
        events.push(b"id: 1\n\nid: 2\n\n").expect("two events that came before");
        assert_eq!(events.push(b"id: 2\n\n").err(), Some(EventError::Repeated));
    }
}

#[test]
fn retries_stay_within_this_hosts_share_of_the_budget() {
    let limits = RetryBudgetLimits { ratio: 0.2, slack: 100.0, window: Millis(10_000) };
    let mut budget = RetryBudget::new(limits);
    for ms in 0..100 {
        budget.on_request(Millis(ms));
    }
    let taken = (0..100).filter(|_| budget.try_take_retry(Millis(200), 10)).count();
    assert!((15..=30).contains(&taken), "{taken} retries of 100 requests");
    assert!(budget.try_take_retry(Millis(20_000), 10), "retries outside the window do not count");
}

#[test]
fn a_suspicion_from_another_host_expires_and_is_not_gossiped_further() {
    let server = ServerName::new("s");
    let mut health = Health::default();
    health.on_peer_suspicion(Millis(0), &server, Millis(400));
    assert!(!health.is_usable(Millis(100), &server));
    assert_eq!(health.suspects(Millis(100)).count(), 0);
    assert!(health.is_usable(Millis(500), &server));
}

#[test]
fn begun_streams_wait_in_front_of_new_requests_and_these_by_priority() {
    let mut waiting = WaitQueue::default();
    let late = waiting.insert(Progress::NotBegun, 3);
    let urgent = waiting.insert(Progress::NotBegun, 0);
    let begun = waiting.insert(Progress::Begun, 9);
    for position in [begun, urgent, late] {
        assert!(waiting.may_try(position));
        let others = [late, urgent, begun].into_iter().filter(|&p| p > position);
        others.for_each(|p| assert!(!waiting.may_try(p)));
        waiting.remove(position);
    }
    assert!(waiting.is_empty());
}

/// Guards against a begun stream that waits for one server while all new requests are refused.
#[test]
fn a_request_that_only_some_servers_may_take_blocks_no_other() {
    let mut waiting = WaitQueue::default();
    let restricted = waiting.position_without_precedence(0);
    let new = waiting.insert(Progress::NotBegun, 3);
    assert!(waiting.may_try(restricted));
    assert!(waiting.may_try(new));
}

#[test]
fn a_waiting_request_does_not_block_others_of_the_same_rank() {
    let mut waiting = WaitQueue::default();
    let large = waiting.insert(Progress::NotBegun, 1);
    let small = waiting.insert(Progress::NotBegun, 1);
    assert!(waiting.may_try(large));
    assert!(waiting.may_try(small));
}
