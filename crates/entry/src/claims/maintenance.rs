//! Periodic work of the claims: the share of the write limit, postponed outcomes and metrics.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use yuccanotch_core::claim::SlotCounts;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;

use super::Claims;
use crate::host::Host;

/// Time between two passes of [`run`].
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of writes to the store per second by the claims of all entry hosts together.
const TOTAL_CLAIM_WRITES_PER_S: usize = 150;

impl Claims {
    fn maintain(&self, host: &Host) {
        let members = host.fleet.members().usable().count().max(1);
        let share = (TOTAL_CLAIM_WRITES_PER_S / members).max(1) as u32;
        let counts =
            self.committer.maintain(share, |slot| self.choose_home(host, slot) == self.holder.host);
        let published_counts = std::mem::replace(&mut self.lock().published_counts, counts);
        publish_counts(host, published_counts, counts);
        host.telemetry.set_gauge("yuccanotch_claim_records", self.committer.record_count() as f64);
        host.telemetry.set_gauge("yuccanotch_claim_backlog", self.unrecorded_outcomes() as f64);
    }
}

/// Runs one worker thread of the committer until the host stops.
pub fn run_store_worker(host: &Arc<Host>) {
    host.claims.committer.run_worker(|| host.is_stopped());
}

/// Reads the layout, records postponed outcomes and publishes metrics until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        host.claims.layout.get(host.store.as_ref());
        host.claims.record_backlog(host);
        host.claims.maintain(host);
        thread::sleep(MAINTENANCE_INTERVAL);
    }
}

fn publish_counts(host: &Host, published_counts: SlotCounts, counts: SlotCounts) {
    let changes = [
        ("swap", counts.swaps - published_counts.swaps),
        ("conflict", counts.conflicts - published_counts.conflicts),
        ("lost_answer", counts.lost_answers - published_counts.lost_answers),
        ("seal", counts.seals - published_counts.seals),
        ("read", counts.reads - published_counts.reads),
        ("restored", counts.restores - published_counts.restores),
        ("damaged", counts.damaged - published_counts.damaged),
    ];
    for (label, change) in changes.into_iter().filter(|(_, change)| *change > 0) {
        host.telemetry.add_to_counter("yuccanotch_claim_store_total", label, change);
    }
    let written = counts.written_bytes - published_counts.written_bytes;
    host.telemetry.add_to_counter("yuccanotch_claim_written_bytes_total", "", written);
    if counts.restores > published_counts.restores {
        emit(Event::ClaimsRestored, format_args!("host={}", host.settings.host));
    }
    if counts.damaged > published_counts.damaged {
        emit(Event::ClaimsDamaged, format_args!("host={}", host.settings.host));
    }
}
