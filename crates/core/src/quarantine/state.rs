//! The suspects and quarantined fingerprints that one host knows.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use smallvec::SmallVec;

use super::evidence::age;
use super::evidence::find_causes;
use super::evidence::moment;
use super::evidence::Candidate;
use super::evidence::CrashRecord;
use super::evidence::Evidence;
use super::evidence::Moment;
use super::evidence::Thresholds;
use super::messages::CrashId;
use super::messages::CrashNotice;
use super::messages::Fingerprint;
use super::messages::Fingerprints;
use super::messages::SuspectStart;
use super::runs::RunningRequest;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::RequestId;
use crate::name::ServerName;

/// Number of separate crashes from which on a request may be quarantined.
const REQUEST_CRASHES_TO_QUARANTINE: usize = 2;
/// Number of separate crashes from which on a part of prompts may be quarantined. It is higher, since
/// sound requests may share the part.
const PART_CRASHES_TO_QUARANTINE: usize = 3;
/// Number of crashes from which on a fingerprint is a candidate, and is evicted last.
const MIN_CANDIDATE_CRASHES: usize = 2;
/// How long after its last crash a refuted fingerprint is repeated to other hosts.
const REFUTATION_SPAN: Millis = Millis(10_000);
/// The number of crashes with a fingerprint for each one without it from which on the fingerprint may
/// explain an outage of all servers.
const MIN_OUTAGE_COVERAGE_RATIO: usize = 2;
/// The most crashes without a part for each one with it at which the part may be their cause.
const MAX_OTHER_CRASHES_RATIO: usize = 4;
/// Most changes that are kept until they are taken.
const MAX_CHANGES: usize = 64;
/// Most server losses that are kept to find common causes.
const MAX_SERVER_LOSSES: usize = 256;

/// Times and limits of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a fingerprint stays suspect after its last crash, in ms.
    pub suspect_ttl: Millis,
    /// How long a fingerprint stays quarantined after its last crash, in ms.
    pub quarantine_ttl: Millis,
    /// Two server losses less than this time apart may have a common cause.
    pub common_cause_window: Millis,
    /// How long a suspect counts as running on another host after the report of its start.
    pub remote_run_ttl: Millis,
    /// Most fingerprints that are kept.
    pub capacity: usize,
    /// Most crashes that are kept per fingerprint.
    pub max_crashes: usize,
    /// Crashes of a part less than this time apart count as one.
    pub part_window: Millis,
    /// How long an attempt must have produced an answer to refute that a part of its prompt crashes
    /// servers that begin to answer.
    pub progress_proof: Millis,
    /// How long an attempt whose connection broke may still be found to have been in flight at a
    /// crash.
    pub confirmation_ttl: Millis,
    /// How long the success of a request with a part is remembered.
    pub success_ttl: Millis,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            suspect_ttl: Millis(120_000),
            quarantine_ttl: Millis(900_000),
            common_cause_window: Millis(1_000),
            remote_run_ttl: Millis(30_000),
            capacity: 4_096,
            max_crashes: 32,
            part_window: Millis(300),
            progress_proof: Millis(1_000),
            confirmation_ttl: Millis(2_000),
            success_ttl: Millis(120_000),
        }
    }
}

/// A fingerprint that began or ceased to explain crashes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuarantineChange {
    /// The fingerprint.
    pub fingerprint: Fingerprint,
    /// Whether it is quarantined now.
    pub is_quarantined: bool,
    /// The number of crashes at which it was in flight.
    pub crashes: usize,
}

/// The status of a fingerprint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// No crash counts against it.
    Clear,
    /// It was in flight at a crash; it may run on servers that run no other suspect.
    Suspect,
    /// It crashed servers; its requests are refused.
    Quarantined,
}

/// The crash of a server, whatever was in flight on it.
#[derive(Debug)]
struct ServerLoss {
    /// When this host learned of the crash.
    known_at: Millis,
    /// When the crash became known to the first host.
    at: Moment,
    crash: CrashId,
}

/// The suspects and quarantined fingerprints that one host knows, and the requests in flight.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: BTreeMap<Fingerprint, Evidence>,
    /// The entries that explain the crashes.
    causes: HashSet<Fingerprint>,
    runs: HashMap<RequestId, RunningRequest>,
    /// Attempts whose connection broke, with the time of the break.
    broken_runs: VecDeque<(RunningRequest, Millis)>,
    /// Suspects in flight on other hosts, with the time at which their start was reported.
    remote_runs: HashMap<RequestId, (RunningRequest, Millis)>,
    losses: VecDeque<ServerLoss>,
    /// When requests with parts that are in no crash last succeeded.
    part_successes: HashMap<Fingerprint, Moment>,
    /// When a request with a part first succeeded on this host.
    first_success_at: Option<Moment>,
    /// Changes that were not taken yet.
    changes: VecDeque<QuarantineChange>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            causes: HashSet::new(),
            runs: HashMap::new(),
            broken_runs: VecDeque::new(),
            remote_runs: HashMap::new(),
            losses: VecDeque::new(),
            part_successes: HashMap::new(),
            first_success_at: None,
            changes: VecDeque::new(),
        }
    }

    /// Returns the status of a fingerprint.
    pub fn status(&self, now: Millis, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        if self.counted_crashes(entry).next().is_none() {
            return QuarantineStatus::Clear;
        }
        let age = age(now, entry.last_crash_at);
        if self.causes.contains(&fingerprint) {
            return if age < self.settings.quarantine_ttl {
                QuarantineStatus::Quarantined
            } else {
                QuarantineStatus::Clear
            };
        }
        if age < self.settings.suspect_ttl {
            QuarantineStatus::Suspect
        } else {
            QuarantineStatus::Clear
        }
    }

    /// Returns the first of `fingerprints` that is quarantined, and for how long it stays so.
    pub fn find_quarantined(
        &self,
        now: Millis,
        fingerprints: &[Fingerprint],
    ) -> Option<(Fingerprint, Millis)> {
        if self.causes.is_empty() {
            return None;
        }
        let is_quarantined =
            |f: &&Fingerprint| self.status(now, **f) == QuarantineStatus::Quarantined;
        let found = *fingerprints.iter().find(is_quarantined)?;
        let last_crash_at = self.entries.get(&found)?.last_crash_at;
        Some((found, self.settings.quarantine_ttl.since(age(now, last_crash_at))))
    }

    /// Returns the servers that must not run a suspect because another suspect runs there; none if
    /// the fingerprint was in flight at no recent crash.
    ///
    /// A fingerprint whose crash probably had another cause is kept off suspects too: if it were in
    /// flight at the next crash of one, neither could be told from the other.
    pub fn excluded_servers(&self, now: Millis, fingerprint: Fingerprint) -> HashSet<ServerName> {
        if !self.has_recent_crash(now, fingerprint) || planted!(SuspectsShareServers) {
            return HashSet::new();
        }
        let is_other = |run: &&RunningRequest| !run.fingerprints.contains(&fingerprint);
        let is_suspect = |run: &&RunningRequest| {
            run.fingerprints.iter().any(|f| self.status(now, *f) != QuarantineStatus::Clear)
        };
        let suspects = self.runs.values().filter(is_other).filter(is_suspect);
        let span = self.settings.remote_run_ttl;
        let remote_runs = self.remote_runs.values().filter(|(_, at)| now.since(*at) < span);
        let remote_runs = remote_runs.map(|(run, _)| run).filter(is_other);
        let runs = suspects.chain(remote_runs);
        runs.flat_map(|run| run.servers.iter().map(|at| at.server.clone())).collect()
    }

    /// Returns the crashes that became known within the last `span`.
    pub fn recent_crashes(&self, now: Millis, span: Millis) -> impl Iterator<Item = &CrashId> {
        let recent = self.losses.iter().filter(move |loss| age(now, loss.at) < span);
        recent.map(|loss| &loss.crash)
    }

    fn has_recent_crash(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| {
            !entry.crashes.is_empty() && age(now, entry.last_crash_at) < self.settings.suspect_ttl
        })
    }

    /// Returns whether a request with the fingerprint is in flight on this host; a suspect must not
    /// run twice at a time.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.runs.values().any(|run| run.fingerprints.contains(&fingerprint))
    }

    /// Reserves the servers that a suspect is about to run on, before other hosts are told.
    ///
    /// The reservation keeps other suspects off the servers, but a crash before
    /// [`Self::on_start`] does not count against the fingerprint.
    pub fn on_reserve(
        &mut self,
        request: RequestId,
        fingerprints: &[Fingerprint],
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        self.runs.insert(request, RunningRequest::new(fingerprints, None, servers));
    }

    /// Records the start of an attempt, which replaces the request's earlier attempt.
    pub fn on_start(
        &mut self,
        now: Millis,
        request: RequestId,
        fingerprints: &[Fingerprint],
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        self.runs.insert(request, RunningRequest::new(fingerprints, Some(now), servers));
    }

    /// Records that an attempt has produced a part of its answer.
    pub fn on_progress(&mut self, now: Millis, request: RequestId) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let since = *run.progressing_since.get_or_insert(now);
        if run.refutes_parts || now.since(since) < self.settings.progress_proof {
            return;
        }
        run.refutes_parts = true;
        let parts: Fingerprints =
            run.fingerprints.iter().copied().filter(|f| f.is_part()).collect();
        self.record_success(now, &parts);
    }

    /// Records that the connection of an attempt broke; a crash of its server that is found soon
    /// after still counts against its fingerprints.
    pub fn on_break(&mut self, now: Millis, request: RequestId) {
        let span = self.settings.confirmation_ttl;
        self.broken_runs.retain(|(_, at)| now.since(*at) < span);
        if let Some(run) = self.runs.remove(&request) {
            if self.broken_runs.len() == self.settings.capacity {
                self.broken_runs.pop_front();
            }
            self.broken_runs.push_back((run, now));
        }
    }

    /// Records the end of a request. One whose answer `is_complete` refutes that its fingerprints
    /// crash servers, unless the request itself is quarantined.
    pub fn on_end(&mut self, now: Millis, request: RequestId, is_complete: bool) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if !is_complete {
            return;
        }
        let may_clear =
            |f: &Fingerprint| f.is_part() || self.status(now, *f) != QuarantineStatus::Quarantined;
        let cleared: Fingerprints = run.fingerprints.iter().copied().filter(may_clear).collect();
        self.record_success(now, &cleared);
    }

    /// Records the crash of a server, and returns the notices to send to the other hosts.
    ///
    /// The crash counts against each fingerprint that this host had in flight on the server.
    pub fn on_crash(&mut self, now: Millis, crash: &CrashId) -> Vec<CrashNotice> {
        let at = moment(now, Millis::ZERO);
        let lost_at = self.record_loss(now, at, crash);
        // An attempt that began after the crash was known was sent to a dead server; it cannot be
        // the cause.
        let was_running = |run: &&RunningRequest| {
            run.servers.contains(crash) && run.started.is_some_and(|started| started <= lost_at)
        };
        let broken = self.broken_runs.iter().map(|(run, _)| run);
        let mut started: HashMap<Fingerprint, Moment> = HashMap::new();
        for run in self.runs.values().chain(broken).filter(was_running) {
            let run_started = moment(run.started.unwrap_or_default(), Millis::ZERO);
            for fingerprint in run.possible_causes() {
                let last = started.entry(fingerprint).or_insert(run_started);
                *last = run_started.max(*last);
            }
        }
        let found: Vec<Fingerprint> = started.keys().copied().collect();
        for (fingerprint, started) in started {
            self.record_crash(fingerprint, CrashRecord { crash: crash.clone(), at, started });
        }
        self.evict(now);
        self.update_causes();
        found.into_iter().filter_map(|fingerprint| self.notice(now, fingerprint)).collect()
    }

    /// Records the start of a suspect on another host.
    pub fn on_remote_start(&mut self, now: Millis, start: SuspectStart) {
        let span = self.settings.remote_run_ttl;
        self.remote_runs.retain(|_, (_, at)| now.since(*at) < span);
        if self.remote_runs.len() < self.settings.capacity {
            let SuspectStart { request, fingerprint, servers } = start;
            let run = RunningRequest::new(&[fingerprint], Some(now), servers);
            self.remote_runs.insert(request, (run, now));
        }
    }

    /// Records the end of a suspect on another host.
    pub fn on_remote_end(&mut self, request: RequestId) {
        self.remote_runs.remove(&request);
    }

    /// Records what another host knows about a fingerprint.
    pub fn on_notice(&mut self, now: Millis, notice: &CrashNotice) {
        if planted!(CrashNoticeIgnored) {
            return;
        }
        let mut changed = false;
        if let Some(span) = notice.success_age {
            let at = moment(now, span);
            if let Some(entry) = self.entries.get_mut(&notice.fingerprint) {
                changed |= entry.on_success(at);
            } else if notice.fingerprint.is_part() {
                self.remember_success(now, notice.fingerprint, at);
            }
        }
        for report in &notice.crashes {
            let record = CrashRecord::from_report(now, report);
            self.record_loss(now, record.at, &report.crash);
            changed |= self.record_crash(notice.fingerprint, record);
        }
        if let Some(entry) = self.entries.get_mut(&notice.fingerprint) {
            let stands_out = notice.stands_out && !entry.crashes.is_empty();
            changed |= stands_out && !entry.stands_out;
            entry.stands_out |= stands_out;
        }
        if changed {
            self.evict(now);
            self.update_causes();
        }
    }

    /// Returns notices of at most `max` fingerprints with a crash within the last `span`, to be sent
    /// again to hosts that missed them. A fingerprint whose crashes are refuted is repeated for a
    /// shorter time.
    ///
    /// Parts with the most crashes, the latest refutations and requests with the most crashes take
    /// turns, so that none keeps the others out.
    pub fn recent_notices(&self, now: Millis, span: Millis, max: usize) -> Vec<CrashNotice> {
        let mut parts = Vec::new();
        let mut refuted = Vec::new();
        let mut requests = Vec::new();
        for (fingerprint, entry) in &self.entries {
            let age = age(now, entry.last_crash_at);
            match (entry.crashes.is_empty(), fingerprint.is_part()) {
                (true, _) if age < span.min(REFUTATION_SPAN) => refuted.push((fingerprint, entry)),
                (false, true) if age < span => parts.push((fingerprint, entry)),
                (false, false) if age < span => requests.push((fingerprint, entry)),
                _ => {}
            }
        }
        parts.sort_by_key(|(_, entry)| Reverse(entry.crashes.len()));
        requests.sort_by_key(|(_, entry)| Reverse(entry.crashes.len()));
        refuted.sort_by_key(|(_, entry)| Reverse(entry.success_at));
        let mut queues = [parts, refuted, requests].map(Vec::into_iter);
        let mut notices = Vec::new();
        while notices.len() < max {
            let turn = queues.iter_mut().filter_map(Iterator::next);
            let turn = turn.map(|(fingerprint, entry)| {
                entry.to_notice(now, *fingerprint, self.stands_out(entry))
            });
            let before = notices.len();
            notices.extend(turn);
            if notices.len() == before {
                break;
            }
        }
        notices.truncate(max);
        notices
    }

    /// Returns the fingerprints that are quarantined.
    pub fn quarantined(&self, now: Millis) -> impl Iterator<Item = Fingerprint> + '_ {
        let is_quarantined =
            move |f: &Fingerprint| self.status(now, *f) == QuarantineStatus::Quarantined;
        self.causes.iter().copied().filter(is_quarantined)
    }

    /// Returns the number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns the changes since the last call, at most [`MAX_CHANGES`].
    pub fn take_changes(&mut self) -> Vec<QuarantineChange> {
        self.changes.drain(..).collect()
    }

    /// Finds anew which fingerprints explain the crashes.
    fn update_causes(&mut self) {
        let causes = self.find_causes();
        let changed: Vec<Fingerprint> =
            self.causes.symmetric_difference(&causes).copied().collect();
        for fingerprint in changed {
            if self.changes.len() == MAX_CHANGES {
                self.changes.pop_front();
            }
            self.changes.push_back(QuarantineChange {
                fingerprint,
                is_quarantined: causes.contains(&fingerprint),
                crashes: self.entries.get(&fingerprint).map_or(0, |entry| entry.crashes.len()),
            });
        }
        self.causes = causes;
    }

    fn find_causes(&self) -> HashSet<Fingerprint> {
        if planted!(ConvictOnFirstCrash) {
            let has_crash = self.entries.iter().filter(|(_, entry)| !entry.crashes.is_empty());
            return has_crash.map(|(fingerprint, _)| *fingerprint).collect();
        }
        let candidates = self.entries.iter().filter_map(|(fingerprint, entry)| {
            let crashes: SmallVec<[&CrashRecord; 4]> = self.counted_crashes(entry).collect();
            (crashes.len() >= MIN_CANDIDATE_CRASHES).then_some(Candidate {
                fingerprint: *fingerprint,
                crashes,
                has_succeeded: entry.success_at.is_some(),
                stands_out: self.stands_out(entry),
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
    fn stands_out(&self, entry: &Evidence) -> bool {
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
        let losses = self.losses.iter().filter(|loss| (first.at..=last.at).contains(&loss.at));
        let (covered, others): (Vec<_>, Vec<_>) = losses.partition(|l| entry.includes(&l.crash));
        (covered.len(), others.len())
    }

    /// Returns the crashes that count against a fingerprint: all but the first one that probably
    /// has another cause.
    fn counted_crashes<'a>(&'a self, entry: &'a Evidence) -> impl Iterator<Item = &'a CrashRecord> {
        let uncounted = entry.crashes.iter().position(|record| self.has_other_cause(entry, record));
        entry
            .crashes
            .iter()
            .enumerate()
            .filter(move |(i, _)| Some(*i) != uncounted)
            .map(|(_, record)| record)
    }

    /// Returns whether a server on which the fingerprint was not in flight was lost at about the
    /// same time.
    fn has_other_cause(&self, entry: &Evidence, record: &CrashRecord) -> bool {
        let span = self.settings.common_cause_window.0;
        let together = |loss: &&ServerLoss| loss.at.abs_diff(record.at) < span;
        self.losses.iter().filter(together).any(|loss| !entry.includes(&loss.crash))
    }

    /// Records that a request with `fingerprints` succeeded.
    fn record_success(&mut self, now: Millis, fingerprints: &[Fingerprint]) {
        let at = moment(now, Millis::ZERO);
        let is_generation = fingerprints.iter().any(|f| f.is_part());
        if is_generation {
            self.first_success_at.get_or_insert(at);
        }
        let mut changed = false;
        for (fingerprint, entry) in &mut self.entries {
            if fingerprints.contains(fingerprint) {
                changed |= !planted!(PartNotRefuted) && entry.on_success(at);
            } else if is_generation {
                entry.on_other_success(at);
            }
        }
        for part in fingerprints.iter().filter(|f| f.is_part()) {
            if !self.entries.contains_key(part) {
                self.remember_success(now, *part, at);
            }
        }
        if changed {
            self.update_causes();
        }
    }

    /// Remembers the success of a part that is in no crash, within the capacity.
    fn remember_success(&mut self, now: Millis, part: Fingerprint, at: Moment) {
        if self.part_successes.len() >= self.settings.capacity {
            let span = self.settings.success_ttl;
            self.part_successes.retain(|_, at| age(now, *at) < span);
        }
        if self.part_successes.len() < self.settings.capacity {
            self.part_successes.insert(part, at);
        }
    }

    /// Adds a crash to a fingerprint, unless a known success refutes it; returns whether it is new.
    fn record_crash(&mut self, fingerprint: Fingerprint, record: CrashRecord) -> bool {
        let max_crashes = self.settings.max_crashes;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            return entry.add_crash(record, max_crashes);
        }
        let success = self.part_successes.get(&fingerprint).copied();
        if success.is_some_and(|at| record.at <= at) {
            return false;
        }
        self.part_successes.remove(&fingerprint);
        let mut entry = Evidence::new(success);
        entry.add_crash(record, max_crashes);
        self.entries.insert(fingerprint, entry);
        true
    }

    /// Adds the loss of a server at the moment `at`, if it is new, and returns when it became known.
    fn record_loss(&mut self, now: Millis, at: Moment, crash: &CrashId) -> Millis {
        if let Some(known) = self.losses.iter().find(|loss| loss.crash == *crash) {
            return known.known_at;
        }
        if self.losses.len() == MAX_SERVER_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(ServerLoss { known_at: now, at, crash: crash.clone() });
        now
    }

    fn notice(&self, now: Millis, fingerprint: Fingerprint) -> Option<CrashNotice> {
        let entry = self.entries.get(&fingerprint)?;
        let stands_out = self.stands_out(entry);
        (!entry.crashes.is_empty()).then(|| entry.to_notice(now, fingerprint, stands_out))
    }

    /// Removes expired fingerprints, and the oldest ones beyond the capacity, those with fewer than
    /// two crashes first.
    fn evict(&mut self, now: Millis) {
        let longest = self.settings.quarantine_ttl.max(self.settings.suspect_ttl);
        self.entries.retain(|_, entry| age(now, entry.last_crash_at) < longest);
        while self.entries.len() > self.settings.capacity {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                (entry.crashes.len() >= MIN_CANDIDATE_CRASHES, entry.last_crash_at)
            });
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
