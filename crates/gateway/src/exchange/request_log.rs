//! The log lines, counters and times of a request.

use http::StatusCode;
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::name::PromptPart;

use crate::exchange::CurrentTarget;
use crate::exchange::Exchange;
use crate::routing::Target;

/// The time in which the events of a stream are recorded once as a sign of their server.
const HEARD_INTERVAL: Millis = Millis(100);

impl Exchange {
    /// Logs that the request is sent to `target`.
    pub(super) fn log_sent(&mut self, target: &Target) {
        let left = self.deadline.since(self.gateway.clock.now());
        self.target_text = describe_target(target);
        self.gateway.counters.attempt_sent();
        let parts = self.caller.prompt_parts.iter().map(PromptPart::as_str);
        let parts = parts.collect::<SmallVec<[&str; 4]>>().join(",");
        self.gateway.event_log.line(
            Event::RequestSent,
            &[
                ("id", &self.id()),
                ("chain", &self.target_text),
                ("parts", &parts),
                ("left_ms", &left.0),
            ],
        );
    }

    /// Records, at the first event of an attempt or after a move, that all servers of its target
    /// work and have prefilled its tokens.
    pub(super) fn record_working(&mut self) {
        if let Some(CurrentTarget { target, seen_working, in_progress }) = &mut self.current {
            in_progress.on_event();
            if !std::mem::replace(seen_working, true) {
                self.gateway.routing.record_success(target);
            }
        }
    }

    /// Records that the server that sends the answer is heard, now and then.
    pub(super) fn record_heard(&self) {
        let now = self.gateway.clock.now();
        let is_due = now.since(self.last_event_at) >= HEARD_INTERVAL
            || now.0 / HEARD_INTERVAL.0 != self.last_event_at.0 / HEARD_INTERVAL.0;
        if let Some(current) = self.current.as_ref().filter(|_| is_due) {
            self.gateway.links.on_heard(current.target.server(), false);
        }
    }

    /// Records the arrival of events that go to the caller: the time to the first one, or the
    /// longest gap since.
    pub(super) fn record_event_time(&mut self) {
        let now = self.gateway.clock.now();
        if self.outcome.has_begun() {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event_at));
        } else {
            self.first_event_delay = now.since(self.started);
        }
        self.last_event_at = now;
    }

    /// Logs and counts the final answer.
    pub(super) fn log_done(&mut self, status: StatusCode) {
        self.has_ended = true;
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.counters.request_ended(self.end_reason);
        self.gateway.event_log.line(
            Event::RequestDone,
            &[
                ("id", &self.id()),
                ("route", &self.route.name),
                ("status", &status.as_u16()),
                ("why", &self.end_reason),
                ("ms", &ms.0),
                ("gap_ms", &self.longest_gap.0),
                ("chain", &self.target_text),
            ],
        );
    }

    /// Logs the end of a request that got no final answer.
    pub(super) fn log_end(&mut self, event: Event) {
        self.has_ended = true;
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway
            .event_log
            .line(event, &[("id", &self.id()), ("why", &self.end_reason), ("ms", &ms.0)]);
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        if self.has_ended {
            return;
        }
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.event_log.line(
            Event::RequestAbandoned,
            &[
                ("id", &self.id()),
                ("may_have_run", &self.outcome.may_have_run()),
                ("ms", &ms.0),
                ("chain", &self.target_text),
            ],
        );
    }
}

/// Formats the servers of a target, with their layer ranges, for the log.
pub(super) fn describe_target(target: &Target) -> String {
    match target {
        Target::Server { server, .. } => server.to_string(),
        Target::Chain(chain) => {
            let parts: Vec<String> = chain
                .stages()
                .iter()
                .map(|p| format!("{}={}-{}", p.server, p.layers.from, p.layers.to))
                .collect();
            parts.join(",")
        }
    }
}
