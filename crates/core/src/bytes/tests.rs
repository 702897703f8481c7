//! Tests of the byte budget, each with the load that it guards against.

use crate::bytes::ByteBudget;
use crate::bytes::NoRoom;
use crate::bytes::OpenBodies;
use crate::bytes::OpenConnections;
use crate::bytes::UseKind;
use crate::bytes::SMALL_BYTES;
use crate::clock::Millis;

/// The memory limit of the smallest machine of the deployments, in bytes.
const SMALLEST_MACHINE: u64 = 160_000_000;
/// The longest body in their configurations, in bytes.
const LARGEST_BODY: usize = 4 << 20;

/// Load: 80 callers send bodies of the largest size at once.
#[test]
fn the_bodies_of_a_crowd_stay_within_their_share() {
    let budget = ByteBudget::new(Some(SMALLEST_MACHINE));
    let held: Vec<_> =
        (0..80).filter_map(|_| budget.reserve(UseKind::Bodies, LARGEST_BODY).ok()).collect();
    assert!(!held.is_empty());
    assert!(held.len() < 80);
    assert_eq!(budget.used(UseKind::Bodies), held.len() * LARGEST_BODY);
    assert!(budget.used(UseKind::Bodies) <= budget.limit(UseKind::Bodies));
    assert_eq!(budget.reserve(UseKind::Bodies, LARGEST_BODY).err(), Some(NoRoom::Now));
    drop(held);
    assert_eq!(budget.used(UseKind::Bodies), 0);
    assert!(budget.reserve(UseKind::Bodies, LARGEST_BODY).is_ok());
}

/// Load: large bodies take all the room that they can get, and ordinary requests come.
#[test]
fn small_bodies_find_room_beside_a_crowd_of_large_ones() {
    let budget = ByteBudget::new(Some(SMALLEST_MACHINE));
    let mut large = budget.reservation(UseKind::Bodies);
    while large.grow(LARGEST_BODY).is_ok() {}
    let small: Vec<_> =
        (0..80).filter_map(|_| budget.reserve(UseKind::Bodies, SMALL_BYTES).ok()).collect();
    assert_eq!(small.len(), 80);
}

/// Load: bodies take all of their share while servers answer.
#[test]
fn a_crowd_of_bodies_takes_no_room_of_answers_and_connections() {
    let budget = ByteBudget::new(Some(SMALLEST_MACHINE));
    let mut bodies = Vec::new();
    while let Ok(body) = budget.reserve(UseKind::Bodies, SMALL_BYTES) {
        bodies.push(body);
    }
    for kind in [UseKind::Answers, UseKind::Connections, UseKind::Chunks] {
        assert!(budget.reserve(kind, LARGEST_BODY).is_ok(), "{kind:?}");
    }
    let all: usize = UseKind::ALL.iter().map(|kind| budget.limit(*kind)).sum();
    assert!(all <= SMALLEST_MACHINE as usize * 3 / 4);
}

/// Load: one body that is larger than the whole share.
#[test]
fn a_body_that_never_fits_is_told_from_one_that_may_fit_later() {
    let budget = ByteBudget::new(Some(1 << 20));
    assert_eq!(budget.reserve(UseKind::Bodies, LARGEST_BODY).err(), Some(NoRoom::Ever));
}

/// Load: any, on a host without a memory limit in its settings.
#[test]
fn a_host_without_a_memory_limit_has_no_bound() {
    let budget = ByteBudget::new(None);
    let held: Vec<_> =
        (0..1_000).map(|_| budget.reserve(UseKind::Bodies, LARGEST_BODY).is_ok()).collect();
    assert!(held.iter().all(|is_held| *is_held));
}

/// Load: callers stop one byte short of the end, at different times, beside one that sends.
#[test]
fn the_body_without_progress_for_the_longest_time_is_closed_first() {
    let mut bodies = OpenBodies::default();
    let first = bodies.begin(Millis(0));
    let second = bodies.begin(Millis(0));
    let sending = bodies.begin(Millis(0));
    bodies.on_bytes(Millis(10), first, LARGEST_BODY - 1);
    bodies.on_bytes(Millis(20), second, LARGEST_BODY - 1);
    for ms in (0..1_000).step_by(100) {
        bodies.on_bytes(Millis(ms), sending, 4 << 10);
    }
    assert_eq!(bodies.take_straggler(Millis(1_000)), Some(first));
    assert_eq!(bodies.take_straggler(Millis(1_000)), Some(second));
    assert_eq!(bodies.take_straggler(Millis(1_000)), None);
    assert_eq!(bodies.count(), 1);
}

/// Load: a caller sends a byte at a time, so that its connection is never silent.
#[test]
fn single_bytes_are_no_progress() {
    let mut bodies = OpenBodies::default();
    let slow = bodies.begin(Millis(0));
    for ms in 0..1_000 {
        bodies.on_bytes(Millis(ms), slow, 1);
    }
    assert_eq!(bodies.take_straggler(Millis(1_000)), Some(slow));
}

/// Load: a sound caller's body waits for room while the host reads nothing of it.
#[test]
fn a_body_that_the_host_holds_up_is_no_straggler() {
    let mut bodies = OpenBodies::default();
    let held_up = bodies.begin(Millis(0));
    bodies.set_held_up(Millis(0), held_up, true);
    assert_eq!(bodies.take_straggler(Millis(5_000)), None);
    bodies.set_held_up(Millis(5_000), held_up, false);
    assert_eq!(bodies.take_straggler(Millis(5_100)), None);
    assert_eq!(bodies.take_straggler(Millis(5_300)), Some(held_up));
}

/// Load: callers that send half of a head fill all places, beside a request in progress and a caller
/// that has just been answered.
#[test]
fn the_oldest_connection_without_a_whole_head_is_closed_first() {
    let mut connections = OpenConnections::new(Millis(3_000));
    let busy = connections.begin(Millis(0));
    connections.on_request(busy);
    let answered = connections.begin(Millis(0));
    connections.on_request(answered);
    connections.on_answered(Millis(900), answered);
    let half_heads: Vec<_> = (1..4).map(|ms| connections.begin(Millis(ms))).collect();
    for half_head in half_heads {
        assert_eq!(connections.take_oldest_idle(Millis(1_000)), Some(half_head));
    }
    assert_eq!(connections.take_oldest_idle(Millis(1_000)), None);
    assert_eq!(connections.take_oldest_idle(Millis(3_900)), Some(answered));
    assert_eq!(connections.count(), 1);
}

/// Load: callers that pipeline requests without end fill all places, so that none is ever idle.
#[test]
fn the_oldest_busy_connections_end_after_their_answers_a_few_at_a_time() {
    let mut connections = OpenConnections::new(Millis(3_000));
    let busy: Vec<_> = (0..16).map(|ms| connections.begin(Millis(ms))).collect();
    busy.iter().for_each(|id| connections.on_request(*id));
    assert_eq!(connections.take_oldest_idle(Millis(9_000)), None);
    let ending: Vec<_> = (0..16).map_while(|_| connections.choose_to_end()).collect();
    assert_eq!(ending, busy[..3]);
    assert_eq!(connections.count(), 16);
    ending.iter().for_each(|id| connections.end(*id));
    assert_eq!(connections.choose_to_end(), Some(busy[3]));
}
