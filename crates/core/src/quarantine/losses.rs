//! The crashes of servers that one host knows, whatever was in flight on them.

use super::evidence::age;
use super::evidence::Moment;
use super::messages::CrashId;
use super::state::Quarantine;
use crate::clock::Millis;

/// How long after a crash its server must be heard to refute it.
const HEARD_MARGIN: Millis = Millis(300);
/// How long the server of a crash must be heard to refute it.
const REFUTATION_DELAY: Millis = Millis(500);
/// Most server losses that are kept to find common causes.
const MAX_SERVER_LOSSES: usize = 256;

/// The crash of a server, whatever was in flight on it.
#[derive(Debug)]
pub(super) struct ServerLoss {
    /// When this host learned of the crash.
    known_at: Millis,
    /// When the crash became known to the first host.
    pub(super) at: Moment,
    pub(super) crash: CrashId,
    /// Since when the incarnation that ended is heard nevertheless.
    heard_since: Option<Millis>,
    /// Whether it did not happen.
    pub(super) is_refuted: bool,
}

impl Quarantine {
    /// Returns the crashes that became known within the last `span`.
    pub fn recent_crashes(&self, now: Millis, span: Millis) -> impl Iterator<Item = &CrashId> {
        let recent = self.losses.iter().filter(move |loss| age(now, loss.at) < span);
        recent.map(|loss| &loss.crash)
    }

    /// Takes back crashes of the last `span` that did not happen: some host cannot reach a server that
    /// works. `is_heard` tells whether the incarnation that is said to have ended was heard later than
    /// the given time ago. It must be so for some time, since a new incarnation may be heard before
    /// it is known. Returns the crashes that are taken back.
    pub fn refute_crashes(
        &mut self,
        now: Millis,
        span: Millis,
        is_heard: impl Fn(&CrashId, Millis) -> bool,
    ) -> Vec<CrashId> {
        let mut refuted = Vec::new();
        for loss in self.losses.iter_mut().filter(|loss| age(now, loss.at) < span) {
            let since = age(now, loss.at).since(HEARD_MARGIN);
            if loss.is_refuted || !is_heard(&loss.crash, since) {
                loss.heard_since = None;
                continue;
            }
            if now.since(*loss.heard_since.get_or_insert(now)) >= REFUTATION_DELAY {
                loss.is_refuted = true;
                refuted.push(loss.crash.clone());
            }
        }
        if !refuted.is_empty() {
            for entry in self.entries.values_mut() {
                entry.crashes.retain(|record| !refuted.contains(&record.crash));
            }
            self.update_causes();
        }
        refuted
    }

    /// Adds the loss of a server at the moment `at`, if it is new, and returns when it became known.
    pub(super) fn record_loss(&mut self, now: Millis, at: Moment, crash: &CrashId) -> Millis {
        if let Some(known) = self.losses.iter().find(|loss| loss.crash == *crash) {
            return known.known_at;
        }
        if self.losses.len() == MAX_SERVER_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(ServerLoss {
            known_at: now,
            at,
            crash: crash.clone(),
            heard_since: None,
            is_refuted: false,
        });
        now
    }
}
