//! The phases of the shutdown of a host, which follow from its grace period.
//!
//! A host that is told to stop serves for as long as it can: it takes connections until load balancers
//! have noticed, finishes what it holds, answers the rest shortly before the grace period ends, and
//! exits before it would be killed.

use crate::clock::Millis;

/// How long a stopping host still accepts connections: a load balancer needs two readiness checks to
/// stop sending new ones.
const DRAIN_NOTICE: Millis = Millis(2_600);
/// How long before the end of the grace period requests in progress get a final answer, at most.
/// Answers need time to be written and sent before the exit.
const ANSWER_MARGIN: Millis = Millis(450);
/// How long before the end of the grace period the process exits, at most.
const EXIT_MARGIN: Millis = Millis(150);
/// The share of a short grace period that the margin for answers takes, as a divisor.
const ANSWER_SHARE: u64 = 4;
/// The share of a short grace period that the margin for the exit takes, as a divisor.
const EXIT_SHARE: u64 = 10;

/// How far the shutdown of a host has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum ShutdownPhase {
    /// The host serves callers.
    Running,
    /// The host reports that it is not ready but still accepts connections.
    Stopping,
    /// The host accepts no connections and closes each after its current request.
    Closing,
    /// Each request in progress gets the final answer that what is known of it allows.
    Answering,
    /// The process exits.
    Exiting,
}

/// When the phases of a shutdown begin, counted from the signal to stop.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ShutdownPlan {
    closing: Millis,
    answering: Millis,
    exiting: Millis,
}

impl ShutdownPlan {
    /// Creates the plan for a grace period. One that is shorter than the sum of the margins is divided
    /// in proportion, and shortens the time in which connections are accepted.
    pub fn new(grace: Millis) -> Self {
        let exiting = grace.since(EXIT_MARGIN.min(Millis(grace.0 / EXIT_SHARE)));
        let answering = grace.since(ANSWER_MARGIN.min(Millis(grace.0 / ANSWER_SHARE)));
        Self { closing: DRAIN_NOTICE.min(answering), answering, exiting }
    }

    /// Returns the phase at `elapsed` after the signal to stop.
    pub fn phase(&self, elapsed: Millis) -> ShutdownPhase {
        match elapsed {
            _ if elapsed >= self.exiting => ShutdownPhase::Exiting,
            _ if elapsed >= self.answering => ShutdownPhase::Answering,
            _ if elapsed >= self.closing => ShutdownPhase::Closing,
            _ => ShutdownPhase::Stopping,
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

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
}
