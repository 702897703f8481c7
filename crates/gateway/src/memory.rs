//! Log lines about the memory budget and about connections that are closed for others, at most one of
//! each kind in a second.

use std::cell::Cell;

use yuccanotch_core::bytes::UseKind;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;

use crate::host::Gateway;

/// The time between two lines about closed connections, and the least time from a line about an
/// exhausted kind to the one about its end.
const REPORT_INTERVAL: Millis = Millis(1_000);
/// The part of its limit below which a kind counts as having room again, as a fraction.
const ROOM_SHARE: (usize, usize) = (3, 4);

/// What the log says about exhausted memory and closed connections.
#[derive(Debug, Default)]
pub struct MemoryReport {
    /// Since when each kind is exhausted, as the log says.
    exhausted_since: [Cell<Option<Millis>>; UseKind::ALL.len()],
    idle_closed: Cell<u64>,
    refused: Cell<u64>,
    connections_reported_at: Cell<Millis>,
}

impl Gateway {
    /// Logs that `kind` has no room, unless the log says so already.
    pub(crate) fn note_exhausted(&self, kind: UseKind) {
        let since = &self.memory_report.exhausted_since[kind as usize];
        if since.get().is_some() {
            return;
        }
        since.set(Some(self.clock.now()));
        let (used, limit) = (self.byte_budget.used(kind), self.byte_budget.limit(kind));
        self.event_log.line(
            Event::MemoryExhausted,
            &[("kind", &kind.as_str()), ("used", &used), ("limit", &limit)],
        );
    }

    /// Counts an idle connection that was closed for a new one.
    pub(crate) fn note_idle_closed(&self) {
        self.counters.idle_connection_closed();
        self.memory_report.idle_closed.set(self.memory_report.idle_closed.get() + 1);
    }

    /// Counts a new connection that found no place.
    pub(crate) fn note_connection_refused(&self) {
        self.counters.connection_refused();
        self.memory_report.refused.set(self.memory_report.refused.get() + 1);
    }

    /// Logs what has changed since the last call.
    pub(crate) fn report_memory(&self) {
        let now = self.clock.now();
        for kind in UseKind::ALL {
            self.report_room(now, kind);
        }
        self.report_connections(now);
    }

    fn report_room(&self, now: Millis, kind: UseKind) {
        let since = &self.memory_report.exhausted_since[kind as usize];
        let (numerator, denominator) = ROOM_SHARE;
        let used = self.byte_budget.used(kind);
        let has_room = used < self.byte_budget.limit(kind) / denominator * numerator;
        let Some(began) = since.get() else {
            return;
        };
        let lasted = now.since(began);
        if has_room && lasted >= REPORT_INTERVAL {
            since.set(None);
            self.event_log.line(
                Event::MemoryRegained,
                &[("kind", &kind.as_str()), ("used", &used), ("after_ms", &lasted.0)],
            );
        }
    }

    fn report_connections(&self, now: Millis) {
        let report = &self.memory_report;
        let (idle, refused) = (report.idle_closed.get(), report.refused.get());
        let is_due = now.since(report.connections_reported_at.get()) >= REPORT_INTERVAL;
        if idle + refused > 0 && is_due {
            report.connections_reported_at.set(now);
            report.idle_closed.set(0);
            report.refused.set(0);
            let details: [(&'static str, &dyn std::fmt::Display); 2] =
                [("idle", &idle), ("refused", &refused)];
            self.event_log.line(Event::ConnectionsClosed, &details);
        }
    }
}
