//! Tests of the phases of a shutdown.

use crate::clock::Millis;
use crate::shutdown::ShutdownPhase;
use crate::shutdown::ShutdownPlan;

/// The least share of a grace period, as a divisor, in which answers are written.
const MIN_WRITE_SHARE: u64 = 7;

fn times(grace: Millis, phase: ShutdownPhase) -> Vec<Millis> {
    let plan = ShutdownPlan::new(grace);
    (0..grace.0).map(Millis).filter(|elapsed| plan.phase(*elapsed) == phase).collect()
}

#[test]
fn the_usual_grace_period_leaves_as_much_time_as_it_can() {
    let grace = Millis(8_000);
    assert_eq!(times(grace, ShutdownPhase::Stopping).len(), 2_600);
    assert_eq!(times(grace, ShutdownPhase::Answering).first(), Some(&Millis(7_550)));
    assert_eq!(times(grace, ShutdownPhase::Exiting).first(), Some(&Millis(7_850)));
}

/// Guards against a grace period shorter than the sum of the margins, in which a host would be
/// killed before it has answered.
#[test]
fn each_grace_period_has_time_for_answers_and_ends_before_the_kill() {
    for grace in (20..12_000).step_by(10).map(Millis) {
        let answering = times(grace, ShutdownPhase::Answering).len() as u64;
        let least = (grace.0 / MIN_WRITE_SHARE).min(300);
        assert!(answering >= least, "{answering} ms of {grace:?}");
        assert!(!times(grace, ShutdownPhase::Exiting).is_empty(), "{grace:?}");
    }
}

#[test]
fn phases_never_go_back() {
    for grace in [0, 1, 100, 1_000, 3_000, 8_000].map(Millis) {
        let plan = ShutdownPlan::new(grace);
        let phases: Vec<_> = (0..10_000).map(|ms| plan.phase(Millis(ms))).collect();
        assert!(phases.is_sorted(), "{grace:?}");
        assert_eq!(phases.last(), Some(&ShutdownPhase::Exiting));
    }
}
