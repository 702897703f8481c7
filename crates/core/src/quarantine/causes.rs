//! Which fingerprints explain the crashes that one host knows.

use std::collections::HashSet;

use smallvec::SmallVec;

use super::evidence::find_causes;
use super::evidence::Candidate;
use super::evidence::CrashRecord;
use super::evidence::Evidence;
use super::evidence::Thresholds;
use super::losses::ServerLoss;
use super::messages::Fingerprint;
use super::state::Quarantine;
use super::state::MIN_CANDIDATE_CRASHES;
use crate::clock::Millis;
use crate::defect::planted;

/// Number of separate crashes from which on a request may be quarantined.
const REQUEST_CRASHES_TO_QUARANTINE: usize = 2;
/// Number of separate crashes from which on a part of prompts may be quarantined. It is higher, since
/// sound requests may share the part.
const PART_CRASHES_TO_QUARANTINE: usize = 3;
/// The number of crashes with a fingerprint for each one without it from which on the fingerprint may
/// explain an outage of all servers.
const MIN_OUTAGE_COVERAGE_RATIO: usize = 2;
/// The most crashes without a part for each one with it at which the part may be their cause.
const MAX_OTHER_CRASHES_RATIO: usize = 4;
/// The fewest servers without a part that are lost at once in an outage.
const MIN_OUTAGE_LOSSES: usize = 2;

impl Quarantine {
    /// Returns the fingerprints that explain the crashes.
    pub(super) fn find_causes(&self) -> HashSet<Fingerprint> {
        if planted!(ConvictOnFirstCrash) {
            let has_crash = self.entries.iter().filter(|(_, entry)| !entry.crashes.is_empty());
            return has_crash.map(|(fingerprint, _)| *fingerprint).collect();
        }
        let candidates = self.entries.iter().filter_map(|(fingerprint, entry)| {
            let crashes: SmallVec<[&CrashRecord; 4]> =
                self.counted_crashes(*fingerprint, entry).collect();
            (crashes.len() >= MIN_CANDIDATE_CRASHES).then_some(Candidate {
                fingerprint: *fingerprint,
                crashes,
                has_succeeded: entry.success_at.is_some(),
                stands_out: self.stands_out(entry),
                is_at_all_losses: !entry.crashes.iter().any(|r| self.has_other_cause(entry, r)),
            })
        });
        let thresholds = Thresholds {
            request_events: REQUEST_CRASHES_TO_QUARANTINE,
            part_events: PART_CRASHES_TO_QUARANTINE,
            request_window: self.settings.common_cause_window,
            part_window: self.settings.part_window,
        };
        find_causes(candidates.collect(), thresholds)
    }

    /// Returns whether the crashes of a fingerprint cannot be a mere outage of the servers.
    pub(super) fn stands_out(&self, entry: &Evidence) -> bool {
        let (covered, others) = self.coverage(entry);
        let is_frequent = others <= MAX_OTHER_CRASHES_RATIO * covered;
        is_frequent && (entry.stands_out || self.covers_outage(entry))
    }

    /// Returns whether a fingerprint was in flight at nearly all crashes of its time and has never
    /// succeeded, although others had before. That sets it apart if no request succeeds any more.
    fn covers_outage(&self, entry: &Evidence) -> bool {
        let Some(first) = entry.crashes.first() else {
            return false;
        };
        let others_succeeded = self.first_success_at.is_some_and(|at| at < first.at);
        if entry.success_at.is_some() || !others_succeeded {
            return false;
        }
        let (covered, others) = self.coverage(entry);
        covered >= MIN_OUTAGE_COVERAGE_RATIO * others
    }

    /// Returns the numbers of crashes with and without a fingerprint from its first to its last one.
    fn coverage(&self, entry: &Evidence) -> (usize, usize) {
        let (Some(first), Some(last)) = (entry.crashes.first(), entry.crashes.last()) else {
            return (0, 0);
        };
        let losses = self.losses.iter().filter(|loss| !loss.is_refuted);
        let losses = losses.filter(|loss| (first.at..=last.at).contains(&loss.at));
        let (covered, others): (Vec<_>, Vec<_>) = losses.partition(|l| entry.includes(&l.crash));
        (covered.len(), others.len())
    }

    /// Returns the crashes that count against a fingerprint: all but the first one that probably
    /// has another cause and, for a part, those of outages.
    pub(super) fn counted_crashes<'a>(
        &'a self,
        fingerprint: Fingerprint,
        entry: &'a Evidence,
    ) -> impl Iterator<Item = &'a CrashRecord> {
        let uncounted = entry.crashes.iter().position(|record| self.has_other_cause(entry, record));
        entry
            .crashes
            .iter()
            .enumerate()
            .filter(move |(i, _)| Some(*i) != uncounted)
            .map(|(_, record)| record)
            .filter(move |record| !(fingerprint.is_part() && self.is_of_outage(entry, record)))
    }

    /// Returns whether a server on which the fingerprint was not in flight was lost at about the
    /// same time.
    fn has_other_cause(&self, entry: &Evidence, record: &CrashRecord) -> bool {
        self.losses_beside(entry, record, self.settings.common_cause_window).next().is_some()
    }

    /// Returns whether a crash is one of several that came at once, at most of which the fingerprint
    /// was not in flight. Whatever many requests share is in flight at some crashes of an outage.
    fn is_of_outage(&self, entry: &Evidence, record: &CrashRecord) -> bool {
        let window = self.settings.part_window;
        let others = self.losses_beside(entry, record, window).count();
        let is_near = |known: &&CrashRecord| known.at.abs_diff(record.at) < window.0;
        others >= MIN_OUTAGE_LOSSES && others > entry.crashes.iter().filter(is_near).count()
    }

    /// Returns the losses of servers on which the fingerprint was not in flight, less than `span`
    /// before or after a crash at which it was.
    fn losses_beside<'a>(
        &'a self,
        entry: &'a Evidence,
        record: &'a CrashRecord,
        span: Millis,
    ) -> impl Iterator<Item = &'a ServerLoss> {
        let is_near = move |loss: &&ServerLoss| loss.at.abs_diff(record.at) < span.0;
        self.losses
            .iter()
            .filter(|loss| !loss.is_refuted)
            .filter(is_near)
            .filter(|loss| !entry.includes(&loss.crash))
    }
}
