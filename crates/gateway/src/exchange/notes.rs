//! Log lines, counters and times of a request.

use http::StatusCode;
use yuccanotch_core::event::Event;

use crate::exchange::Current;
use crate::exchange::Exchange;
use crate::traffic::Target;

impl Exchange {
    /// Notes that the request goes to `target`.
    pub(super) fn note_sent(&mut self, target: &Target) {
        let left = self.due.since(self.gateway.clock.now());
        self.chain = describe(target);
        self.gateway.counters.sent();
        self.gateway.journal.line(
            Event::RequestSent,
            &[("id", &self.id()), ("chain", &self.chain), ("left_ms", &left.0)],
        );
    }

    /// Notes with the first event of an attempt that all servers of its chain do their work.
    pub(super) fn note_sound(&mut self) {
        if let Some(Current { target, sound, .. }) = &mut self.current {
            if !std::mem::replace(sound, true) {
                self.gateway.traffic.sound_target(target);
            }
        }
    }

    /// Takes the time of events that go to the caller; the first gap is the time to the first one.
    pub(super) fn note_event(&mut self) {
        let now = self.gateway.clock.now();
        if self.outcome.has_begun() {
            self.longest_gap = self.longest_gap.max(now.since(self.last_event));
        } else {
            self.first_event = now.since(self.started);
        }
        self.last_event = now;
    }

    /// Notes the final answer.
    pub(super) fn note_done(&self, status: StatusCode) {
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.counters.request(self.why);
        self.gateway.journal.line(
            Event::RequestDone,
            &[
                ("id", &self.id()),
                ("route", &self.route.name),
                ("status", &status.as_u16()),
                ("why", &self.why),
                ("ms", &ms.0),
                ("gap_ms", &self.longest_gap.0),
                ("chain", &self.chain),
            ],
        );
    }

    /// Notes an end without a final answer.
    pub(super) fn note(&self, event: Event) {
        let ms = self.gateway.clock.now().since(self.started);
        self.gateway.journal.line(event, &[("id", &self.id()), ("why", &self.why), ("ms", &ms.0)]);
    }
}

/// Writes the servers of a target.
pub(super) fn describe(target: &Target) -> String {
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
