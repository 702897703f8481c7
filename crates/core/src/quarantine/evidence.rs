//! What one host knows about a fingerprint that was in flight when servers crashed.

use std::collections::HashSet;

use smallvec::SmallVec;

use super::messages::CrashId;
use super::messages::CrashNotice;
use super::messages::CrashReport;
use super::messages::Fingerprint;
use crate::clock::Millis;
use crate::defect::planted;

/// The most crashes of a fingerprint in a notice, which must fit a datagram with others.
const MAX_REPORTED_CRASHES: usize = 16;

/// The shortest run of an attempt with a part that may have crashed its server, in ms; one that was
/// sent to a server about to be lost with others ends sooner.
const MIN_PART_RUN_MS: i64 = 10;

/// The number of crashes from which on a request is their cause if no other one was in flight at all
/// of them.
const MIN_CRASHES_OF_LONE_REQUEST: usize = 4;

/// The number of separate crashes from which on a request is refused although others explain all but
/// one of them as well. While hardly any request succeeds, what explains them may be wrong.
const REPEATED_REQUEST_EVENTS: usize = 4;

/// A point in time on the clock of this host, in ms; negative before the clock began to run.
pub(super) type Moment = i64;

/// Returns the moment that was `age` before `now`.
pub(super) fn moment(now: Millis, age: Millis) -> Moment {
    to_signed(now) - to_signed(age)
}

/// Returns the span from `at` to `now`, or zero when `at` is later.
pub(super) fn age(now: Millis, at: Moment) -> Millis {
    Millis(u64::try_from(to_signed(now).saturating_sub(at)).unwrap_or(0))
}

pub(super) fn to_signed(span: Millis) -> i64 {
    i64::try_from(span.0).unwrap_or(i64::MAX)
}

/// A crash at which a fingerprint was in flight.
#[derive(Clone, Debug)]
pub(super) struct CrashRecord {
    pub(super) crash: CrashId,
    /// When the crash became known.
    pub(super) at: Moment,
    /// When the last attempt on the server started.
    pub(super) started: Moment,
}

impl CrashRecord {
    /// Creates the record of a crash that another host reports.
    pub(super) fn from_report(now: Millis, report: &CrashReport) -> Self {
        let at = moment(now, report.age);
        Self { crash: report.crash.clone(), at, started: at - to_signed(report.ran_for) }
    }

    fn to_report(&self, now: Millis) -> CrashReport {
        let ran_for = Millis(u64::try_from(self.at - self.started).unwrap_or(0));
        CrashReport { crash: self.crash.clone(), age: age(now, self.at), ran_for }
    }
}

/// The crashes at which one fingerprint was in flight, and what speaks against it as their cause.
#[derive(Debug)]
pub(super) struct Evidence {
    /// The crashes since the last success, by time.
    pub(super) crashes: SmallVec<[CrashRecord; 2]>,
    pub(super) last_crash_at: Moment,
    /// When a request with the fingerprint last succeeded, if that is known.
    pub(super) success_at: Option<Moment>,
    /// When a request without the fingerprint last succeeded after the first crash.
    other_success_at: Option<Moment>,
    /// Whether the crashes cannot be a mere outage of the servers: a request without the fingerprint
    /// succeeded between two of them, or another host found so.
    pub(super) stands_out: bool,
}

impl Evidence {
    /// Creates evidence without crashes; `success_at` is the last success known so far.
    pub(super) fn new(success_at: Option<Moment>) -> Self {
        Self {
            crashes: SmallVec::new(),
            last_crash_at: Moment::MIN,
            success_at,
            other_success_at: None,
            stands_out: false,
        }
    }

    /// Adds a crash unless it is known or precedes the last success; returns whether it was added. Of
    /// more than `max_crashes`, the first and the latest ones are kept.
    pub(super) fn add_crash(&mut self, record: CrashRecord, max_crashes: usize) -> bool {
        let is_known = self.crashes.iter().any(|known| known.crash == record.crash);
        let is_refuted = self.success_at.is_some_and(|success| record.at <= success);
        if is_known || is_refuted {
            return false;
        }
        if self.crashes.len() >= max_crashes.max(2) {
            // The first and the latest ones show that the crashes go on.
            self.crashes.remove(1);
        }
        let first_at = self.crashes.first().map(|first| first.at);
        let contrast = self.other_success_at.zip(first_at).is_some_and(|(s, first)| s >= first);
        self.stands_out |= contrast;
        self.last_crash_at = self.last_crash_at.max(record.at);
        let index = self.crashes.partition_point(|known| known.at <= record.at);
        self.crashes.insert(index, record);
        true
    }

    /// Records a success of a request with the fingerprint, which refutes the crashes before it;
    /// returns whether that changed anything but the time of the last success.
    pub(super) fn on_success(&mut self, at: Moment) -> bool {
        if self.success_at.is_some_and(|known| known >= at) {
            return false;
        }
        self.success_at = Some(at);
        let before = self.crashes.len();
        self.crashes.retain(|record| record.at > at);
        if self.crashes.is_empty() {
            self.other_success_at = None;
            self.stands_out = false;
        }
        self.crashes.len() != before
    }

    /// Records the success of a request without the fingerprint.
    pub(super) fn on_other_success(&mut self, at: Moment) {
        if !self.crashes.is_empty() {
            self.other_success_at = Some(at.max(self.other_success_at.unwrap_or(at)));
        }
    }

    /// Returns whether the fingerprint was in flight at `crash`.
    pub(super) fn includes(&self, crash: &CrashId) -> bool {
        self.crashes.iter().any(|record| record.crash == *crash)
    }

    /// Returns the first and the latest crashes, at most [`MAX_REPORTED_CRASHES`].
    fn reported_crashes(&self) -> impl Iterator<Item = &CrashRecord> {
        let skipped = 1..self.crashes.len().saturating_sub(MAX_REPORTED_CRASHES - 1);
        let records = self.crashes.iter().enumerate();
        records.filter(move |(i, _)| !skipped.contains(i)).map(|(_, record)| record)
    }

    /// Returns what to tell other hosts about `fingerprint`.
    pub(super) fn to_notice(
        &self,
        now: Millis,
        fingerprint: Fingerprint,
        stands_out: bool,
    ) -> CrashNotice {
        CrashNotice {
            fingerprint,
            crashes: self.reported_crashes().map(|record| record.to_report(now)).collect(),
            success_age: self.success_at.map(|at| age(now, at)),
            stands_out,
        }
    }
}

/// Returns the number of separate events among the `crashes`, which are in the order of time.
///
/// Crashes less than `window` apart count as one, since servers that are lost together have one
/// cause, unless the later attempt started after the first of them and ran for `min_run_ms`.
fn count_events(crashes: &[&CrashRecord], window: Millis, min_run_ms: i64) -> usize {
    let mut count = 0;
    let mut event_at = None;
    for record in crashes {
        let ran_again =
            |at: Moment| record.started > at && record.at - record.started >= min_run_ms;
        let belongs =
            event_at.is_some_and(|at: Moment| record.at - at < to_signed(window) && !ran_again(at));
        if !belongs {
            count += 1;
            event_at = Some(record.at);
        }
    }
    count
}

/// A fingerprint that may be the cause of crashes.
#[derive(Debug)]
pub(super) struct Candidate<'a> {
    pub(super) fingerprint: Fingerprint,
    pub(super) crashes: SmallVec<[&'a CrashRecord; 4]>,
    pub(super) has_succeeded: bool,
    /// Whether the crashes cannot be a mere outage of the servers, at which whatever many requests
    /// share is in flight too.
    pub(super) stands_out: bool,
    /// Whether all servers that were lost together had the fingerprint in flight.
    pub(super) is_at_all_losses: bool,
}

impl Candidate<'_> {
    fn covers(&self, crashes: &[&CrashRecord]) -> bool {
        crashes.iter().all(|record| self.includes(&record.crash))
    }

    fn includes(&self, crash: &CrashId) -> bool {
        self.crashes.iter().any(|record| record.crash == *crash)
    }

    /// Returns whether this is a request that came at several servers at once, which were all lost, and
    /// no server without it. In an outage, servers without it would be lost too, or a rival would be in
    /// flight at some of them; and a request that is that frequent would have succeeded before.
    fn is_burst(&self, open: &[&CrashRecord], rivals: &[&Candidate<'_>]) -> bool {
        let is_rivalled = |record: &&CrashRecord| rivals.iter().any(|r| r.includes(&record.crash));
        let is_request = !self.fingerprint.is_part() && !self.has_succeeded;
        is_request
            && self.is_at_all_losses
            && open.len() >= MIN_CRASHES_OF_LONE_REQUEST
            && !open.iter().any(is_rivalled)
    }

    /// Returns whether this is a request that comes again and again and was in flight at a crash each
    /// time, so that it is refused whatever else was.
    fn is_repeated_request(&self, window: Millis) -> bool {
        let is_request = !self.fingerprint.is_part();
        is_request && count_events(&self.crashes, window, 0) >= REPEATED_REQUEST_EVENTS
    }
}

/// How many separate crashes make a fingerprint the cause.
#[derive(Clone, Copy, Debug)]
pub(super) struct Thresholds {
    pub(super) request_events: usize,
    pub(super) part_events: usize,
    pub(super) request_window: Millis,
    pub(super) part_window: Millis,
}

impl Thresholds {
    fn events(&self, fingerprint: Fingerprint) -> usize {
        if fingerprint.is_part() {
            self.part_events
        } else {
            self.request_events
        }
    }

    /// Returns the time within which crashes may have one cause.
    fn window(&self, fingerprint: Fingerprint) -> Millis {
        if fingerprint.is_part() {
            self.part_window
        } else {
            self.request_window
        }
    }
}

/// Returns the fingerprints that explain the crashes.
///
/// The candidate with the most crashes comes first, then one that has never succeeded, then a
/// request before a part, which affects more requests. The crashes of a cause do not count against
/// the candidates after it, which merely came with it. A request at [`REPEATED_REQUEST_EVENTS`]
/// separate crashes, one of which no cause explains, is a cause all the same.
pub(super) fn find_causes(
    mut candidates: Vec<Candidate<'_>>,
    thresholds: Thresholds,
) -> HashSet<Fingerprint> {
    candidates.sort_by_key(|c| {
        let crashes = std::cmp::Reverse(c.crashes.len());
        (crashes, c.has_succeeded, c.fingerprint.is_part(), c.fingerprint)
    });
    let mut causes = HashSet::new();
    let mut explained: HashSet<&CrashId> = HashSet::new();
    for candidate in &candidates {
        let is_open = |record: &&&CrashRecord| !explained.contains(&record.crash);
        let open: SmallVec<[&CrashRecord; 4]> =
            candidate.crashes.iter().filter(is_open).copied().collect();
        let window = thresholds.window(candidate.fingerprint);
        let min_run_ms = if candidate.fingerprint.is_part() { MIN_PART_RUN_MS } else { 0 };
        let events = count_events(&open, window, min_run_ms);
        let is_convincing = !candidate.fingerprint.is_part() || candidate.stands_out;
        let is_repeated = candidate.is_repeated_request(window) && !open.is_empty();
        let is_rival = |c: &&Candidate<'_>| {
            c.fingerprint != candidate.fingerprint
                && c.fingerprint.is_part() == candidate.fingerprint.is_part()
                && !causes.contains(&c.fingerprint)
        };
        let rivals: Vec<&Candidate<'_>> = candidates.iter().filter(is_rival).collect();
        let has_events = is_repeated
            || events >= thresholds.events(candidate.fingerprint)
            || candidate.is_burst(&open, &rivals);
        if !has_events || !is_convincing {
            continue;
        }
        let is_ambiguous = !is_repeated && is_ambiguous(candidate, &open, &rivals);
        if is_ambiguous && !planted!(PartUnexplained) {
            continue;
        }
        causes.insert(candidate.fingerprint);
        if planted!(PartUnexplained) {
            continue;
        }
        explained.extend(candidate.crashes.iter().map(|record| &record.crash));
    }
    causes
}

/// Returns whether `rivals` explain the open crashes of a candidate as well as it does.
///
/// A request needs a crash that no rival was in flight at, or several of which no single rival was
/// in flight at all. A part needs that no single rival was in flight at all of them, unless only
/// the rival has succeeded.
fn is_ambiguous(
    candidate: &Candidate<'_>,
    open: &[&CrashRecord],
    rivals: &[&Candidate<'_>],
) -> bool {
    if candidate.fingerprint.is_part() {
        return rivals
            .iter()
            .any(|rival| (candidate.has_succeeded || !rival.has_succeeded) && rival.covers(open));
    }
    let stands_alone =
        open.len() >= MIN_CRASHES_OF_LONE_REQUEST && !rivals.iter().any(|rival| rival.covers(open));
    !stands_alone
        && open.iter().all(|record| rivals.iter().any(|rival| rival.includes(&record.crash)))
}
