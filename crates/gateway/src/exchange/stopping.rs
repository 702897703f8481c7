//! What a request may still do at a host that was told to stop.

use http::StatusCode;
use yuccanotch_core::forward::reason::EndReason;

use crate::exchange::Exchange;

impl Exchange {
    /// Returns whether an attempt that is sent now can bring the answer before this host stops.
    pub(super) fn has_time(&self) -> bool {
        let left = self.deadline.since(self.gateway.clock.now());
        let expected = self.gateway.durations.borrow().expected(&self.route.name, self.work());
        self.gateway.has_time_for(left, expected)
    }

    /// Ends the request without another attempt if this host stops before a server could answer it;
    /// returns whether it did. Other hosts can serve the request. An answer that has begun goes on, since
    /// its caller would lose what it has.
    pub(super) fn refuse_if_stopping(&mut self) -> bool {
        if self.outcome.has_begun() || self.has_time() {
            return false;
        }
        self.end_reason = EndReason::HostStopping;
        let next = self.outcome.final_step();
        self.finish_unanswered(next, None, StatusCode::BAD_GATEWAY);
        true
    }

    /// Records how long it took from the sending of the request to the end of its answer.
    pub(super) fn record_duration(&self) {
        let duration = self.gateway.clock.now().since(self.first_sent_at.unwrap_or(self.sent_at));
        let mut durations = self.gateway.durations.borrow_mut();
        durations.record(&self.route.name, self.work(), duration);
    }
}
