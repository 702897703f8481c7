//! Tests of admission control.

use super::Action;
use super::Actions;
use super::AdmissionController;
use super::AdmissionSettings;
use super::Arrival;
use super::Event;
use super::Pool;
use super::RequestKey;
use super::TeamTerms;
use crate::clock::Millis;
use crate::config::Priority;
use crate::name::TeamName;
use crate::reason::RefusalReason;

const SERVICE_TIME: Millis = Millis(100);
const FAR_DEADLINE: Millis = Millis(1_000_000);

fn pool() -> Pool {
    Pool::Model("m".into())
}

fn terms() -> TeamTerms {
    TeamTerms { weight: 1, priority: Priority::Normal, requests_per_s: None, in_flight: None }
}

fn arrival(key: u64, team: &str) -> Arrival {
    Arrival {
        key: RequestKey(key),
        pool: pool(),
        team: TeamName::new(team),
        terms: terms(),
        service_time: SERVICE_TIME,
        deadline: FAR_DEADLINE,
    }
}

fn controller(limit: u32) -> AdmissionController {
    let mut controller =
        AdmissionController::new(AdmissionSettings { max_queued: 16, reserve_percent: 0 });
    controller.on_event(Millis::ZERO, Event::Limit(pool(), limit));
    controller
}

fn arrive(controller: &mut AdmissionController, now: Millis, arrival: Arrival) -> Actions {
    controller.on_event(now, Event::Arrive(arrival))
}

fn admitted(actions: &Actions) -> Vec<u64> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::Admit(key) => Some(key.0),
        Action::Refuse(..) => None,
    });
    keys.collect()
}

fn refused(actions: &Actions) -> Vec<(u64, RefusalReason)> {
    let keys = actions.iter().filter_map(|action| match action {
        Action::Refuse(key, denial) => Some((key.0, denial.reason)),
        Action::Admit(_) => None,
    });
    keys.collect()
}

/// Ends the admitted requests one by one and returns the order of admission.
fn drain(controller: &mut AdmissionController, mut running: Vec<u64>) -> Vec<u64> {
    let mut order = Vec::new();
    let mut now = Millis(10);
    while !running.is_empty() {
        let key = running.remove(0);
        now = now + Millis(10);
        let next = admitted(&controller.on_event(now, Event::Finish(RequestKey(key))));
        order.extend(&next);
        running.extend(next);
    }
    order
}

#[test]
fn requests_beyond_the_limit_wait_until_another_ends() {
    let mut controller = controller(1);
    assert_eq!(admitted(&arrive(&mut controller, Millis(1), arrival(1, "a"))), [1]);
    assert!(arrive(&mut controller, Millis(1), arrival(2, "a")).is_empty());
    assert_eq!(admitted(&controller.on_event(Millis(50), Event::Finish(RequestKey(1)))), [2]);
}

#[test]
fn a_burst_of_one_team_does_not_delay_another_team() {
    let mut controller = controller(1);
    for key in 0..10 {
        arrive(&mut controller, Millis(1), arrival(key, "flood"));
    }
    arrive(&mut controller, Millis(2), arrival(100, "quiet"));
    let order = drain(&mut controller, vec![0]);
    assert!(order.iter().position(|key| *key == 100) <= Some(1), "{order:?}");
}

#[test]
fn admissions_follow_the_weights_of_teams() {
    let mut controller = controller(1);
    let mut key = 0;
    for _ in 0..8 {
        for (team, weight) in [("heavy", 3), ("light", 1)] {
            let terms = TeamTerms { weight, ..terms() };
            arrive(&mut controller, Millis(1), Arrival { terms, ..arrival(key, team) });
            key += 1;
        }
    }
    let order = drain(&mut controller, vec![0]);
    let heavy = order.iter().take(7).filter(|key| *key % 2 == 0).count();
    assert!((5..=6).contains(&heavy), "{order:?}");
}

#[test]
fn urgent_requests_precede_batch_requests_without_starving_them() {
    let mut controller =
        AdmissionController::new(AdmissionSettings { max_queued: 64, reserve_percent: 0 });
    controller.on_event(Millis::ZERO, Event::Limit(pool(), 1));
    for key in 0..40 {
        let (team, priority) =
            if key % 2 == 0 { ("batch", Priority::Batch) } else { ("urgent", Priority::Urgent) };
        let terms = TeamTerms { priority, ..terms() };
        arrive(&mut controller, Millis(1), Arrival { terms, ..arrival(key, team) });
    }
    let order = drain(&mut controller, vec![0]);
    let urgent = order.iter().take(18).filter(|key| *key % 2 == 1).count();
    assert!((16..18).contains(&urgent), "{order:?}");
}

#[test]
fn request_that_cannot_finish_in_time_is_refused_at_once() {
    let mut controller = controller(1);
    arrive(&mut controller, Millis(1), arrival(1, "a"));
    let late = Arrival { deadline: Millis(150), ..arrival(2, "a") };
    let actions = arrive(&mut controller, Millis(1), late);
    assert_eq!(refused(&actions), [(2, RefusalReason::DeadlineUnmeetable)]);
    let Action::Refuse(_, denial) = actions[0] else { panic!("{actions:?}") };
    assert!(denial.retry_after.is_some());
}

#[test]
fn waiting_request_is_refused_when_it_cannot_meet_its_deadline() {
    let mut controller = controller(1);
    arrive(&mut controller, Millis(1), arrival(1, "a"));
    arrive(&mut controller, Millis(1), Arrival { deadline: Millis(400), ..arrival(2, "a") });
    let wake_at = controller.wake_at().expect("a request waits");
    assert_eq!(wake_at, Millis(301));
    let actions = controller.on_event(wake_at, Event::Tick);
    assert_eq!(refused(&actions), [(2, RefusalReason::DeadlineUnmeetable)]);
    assert_eq!(controller.wake_at(), None);
}

#[test]
fn full_queue_refuses_the_newest_request_of_the_longest_queue() {
    let mut controller = controller(1);
    for key in 0..17 {
        arrive(&mut controller, Millis(1), arrival(key, "flood"));
    }
    let own = arrive(&mut controller, Millis(1), arrival(50, "flood"));
    assert_eq!(refused(&own), [(50, RefusalReason::QueueFull)]);
    let other = arrive(&mut controller, Millis(1), arrival(60, "quiet"));
    assert_eq!(refused(&other), [(16, RefusalReason::QueueFull)]);
    assert_eq!(controller.queued(&pool()), 16);
}

#[test]
fn team_limits_refuse_requests_and_give_a_retry_time() {
    let mut controller = controller(10);
    let limited = |key| {
        let terms = TeamTerms { requests_per_s: Some(2), ..terms() };
        Arrival { terms, ..arrival(key, "a") }
    };
    assert_eq!(admitted(&arrive(&mut controller, Millis(1), limited(1))), [1]);
    assert_eq!(admitted(&arrive(&mut controller, Millis(1), limited(2))), [2]);
    let actions = arrive(&mut controller, Millis(1), limited(3));
    let Action::Refuse(_, denial) = actions[0] else { panic!("{actions:?}") };
    assert_eq!(denial.reason, RefusalReason::TeamLimit);
    let retry_at = Millis(1) + denial.retry_after.expect("a time");
    assert_eq!(admitted(&arrive(&mut controller, retry_at, limited(4))), [4]);
    let single = |key| {
        let terms = TeamTerms { in_flight: Some(1), ..terms() };
        Arrival { terms, ..arrival(key, "b") }
    };
    assert_eq!(admitted(&arrive(&mut controller, retry_at, single(5))), [5]);
    let actions = arrive(&mut controller, retry_at, single(6));
    assert_eq!(refused(&actions), [(6, RefusalReason::TeamLimit)]);
}

#[test]
fn state_of_idle_teams_is_removed() {
    let mut controller = controller(100);
    for key in 0..50 {
        arrive(&mut controller, Millis(1), arrival(key, &format!("team-{key}")));
    }
    assert_eq!(controller.team_count(), 50);
    for key in 0..50 {
        controller.on_event(Millis(20), Event::Finish(RequestKey(key)));
    }
    controller.on_event(Millis(60_000), Event::Tick);
    assert_eq!(controller.team_count(), 0);
}

#[test]
fn a_burst_leaves_the_reserve_free_for_recently_active_teams() {
    let mut controller =
        AdmissionController::new(AdmissionSettings { max_queued: 64, reserve_percent: 20 });
    controller.on_event(Millis::ZERO, Event::Limit(pool(), 10));
    arrive(&mut controller, Millis(1), arrival(900, "quiet"));
    arrive(&mut controller, Millis(1), arrival(901, "quiet"));
    controller.on_event(Millis(5), Event::Finish(RequestKey(900)));
    controller.on_event(Millis(5), Event::Finish(RequestKey(901)));
    for key in 0..20 {
        arrive(&mut controller, Millis(10), arrival(key, "flood"));
    }
    assert_eq!(controller.running(&pool()), 8);
    assert_eq!(admitted(&arrive(&mut controller, Millis(11), arrival(902, "quiet"))), [902]);
}
