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

    /// Returns whether a request that is sent at `elapsed` after the signal to stop can be answered by its
    /// server before the host answers it. `deadline` is the time left until its deadline, and `expected`
    /// the time that it is expected to take, if that is known.
    pub fn has_time_for(
        &self,
        elapsed: Millis,
        deadline: Millis,
        expected: Option<Millis>,
    ) -> bool {
        let needed = expected.map_or(deadline, |expected| expected.min(deadline));
        needed <= self.answering.since(elapsed)
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
