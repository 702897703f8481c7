//! The suspects and quarantined fingerprints that one host knows.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use super::evidence::age;
use super::evidence::moment;
use super::evidence::to_signed;
use super::evidence::CrashRecord;
use super::evidence::Evidence;
use super::evidence::Moment;
use super::losses::ServerLoss;
use super::messages::CrashId;
use super::messages::CrashNotice;
use super::messages::Fingerprint;
use super::messages::Fingerprints;
use super::messages::SuspectStart;
use super::runs::RunningRequest;
use super::settings::QuarantineSettings;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::RequestId;
use crate::name::ServerName;

/// Number of crashes from which on a fingerprint is a candidate, and is evicted last.
pub(super) const MIN_CANDIDATE_CRASHES: usize = 2;
/// Most changes that are kept until they are taken.
const MAX_CHANGES: usize = 64;

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

/// The suspects and quarantined fingerprints that one host knows, and the requests in flight.
#[derive(Debug)]
pub struct Quarantine {
    pub(super) settings: QuarantineSettings,
    pub(super) entries: BTreeMap<Fingerprint, Evidence>,
    /// The entries that explain the crashes.
    causes: HashSet<Fingerprint>,
    runs: HashMap<RequestId, RunningRequest>,
    /// Attempts whose connection broke, with the time of the break.
    broken_runs: VecDeque<(RunningRequest, Millis)>,
    /// Suspects in flight on other hosts, with the time at which their start was reported.
    remote_runs: HashMap<RequestId, (RunningRequest, Millis)>,
    pub(super) losses: VecDeque<ServerLoss>,
    /// When requests with parts that are in no crash last succeeded.
    part_successes: HashMap<Fingerprint, Moment>,
    /// When requests that are in no crash last succeeded on this host.
    request_successes: HashMap<Fingerprint, Moment>,
    /// When a request with a part first succeeded on this host.
    pub(super) first_success_at: Option<Moment>,
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
            request_successes: HashMap::new(),
            first_success_at: None,
            changes: VecDeque::new(),
        }
    }

    /// Returns the status of a fingerprint.
    pub fn status(&self, now: Millis, fingerprint: Fingerprint) -> QuarantineStatus {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return QuarantineStatus::Clear;
        };
        if self.counted_crashes(fingerprint, entry).next().is_none() {
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

    /// Records that an attempt goes on at other servers, where it keeps what it has produced. A crash
    /// of the former ones that is found soon after still counts.
    pub fn on_move(
        &mut self,
        now: Millis,
        request: RequestId,
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        let Some(former) = self.runs.get(&request).cloned() else {
            return;
        };
        self.on_break(now, request);
        let servers = servers.into_iter().collect();
        let run = RunningRequest { started: Some(now), servers, ..former };
        self.runs.insert(request, run);
    }

    /// Records that an attempt has produced a part of its answer.
    pub fn on_progress(&mut self, now: Millis, request: RequestId) {
        let Some(run) = self.runs.get_mut(&request) else {
            return;
        };
        let since = *run.progressing_since.get_or_insert(now);
        if run.has_progressed || now.since(since) < self.settings.progress_proof {
            return;
        }
        run.has_progressed = true;
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
        self.on_crash_since(now, now, crash)
    }

    /// Records the crash of a server that has been silent since `silent_since`, as
    /// [`Self::on_crash`] does. Servers that are lost together are found one after the other, so the
    /// time of the crash must not be that of its discovery.
    pub fn on_crash_since(
        &mut self,
        now: Millis,
        silent_since: Millis,
        crash: &CrashId,
    ) -> Vec<CrashNotice> {
        let at = moment(silent_since, Millis::ZERO);
        let lost_at = self.record_loss(silent_since, at, crash);
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
                let last = started.entry(*fingerprint).or_insert(run_started);
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
    pub(super) fn update_causes(&mut self) {
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
        for fingerprint in fingerprints {
            if !self.entries.contains_key(fingerprint) {
                self.remember_success(now, *fingerprint, at);
            }
        }
        if changed {
            self.update_causes();
        }
    }

    /// Remembers the success of a fingerprint that is in no crash, within the capacity.
    fn remember_success(&mut self, now: Millis, fingerprint: Fingerprint, at: Moment) {
        let (successes, span) = if fingerprint.is_part() {
            (&mut self.part_successes, self.settings.success_ttl)
        } else {
            (&mut self.request_successes, self.settings.request_success_ttl)
        };
        if successes.len() >= self.settings.capacity {
            successes.retain(|_, at| age(now, *at) < span);
        }
        if successes.len() < self.settings.capacity {
            successes.insert(fingerprint, at);
        }
    }

    /// Returns when a fingerprint that is in no crash last succeeded before or after `crashed_at`, if that
    /// still counts then.
    fn known_success(&self, fingerprint: Fingerprint, crashed_at: Moment) -> Option<Moment> {
        if fingerprint.is_part() {
            return self.part_successes.get(&fingerprint).copied();
        }
        let span = to_signed(self.settings.request_success_ttl);
        let at = self.request_successes.get(&fingerprint).copied()?;
        (crashed_at - at < span).then_some(at)
    }

    /// Adds a crash to a fingerprint, unless a known success refutes it; returns whether it is new.
    fn record_crash(&mut self, fingerprint: Fingerprint, record: CrashRecord) -> bool {
        if self.losses.iter().any(|loss| loss.is_refuted && loss.crash == record.crash) {
            return false;
        }
        let max_crashes = self.settings.max_crashes;
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            return entry.add_crash(record, max_crashes);
        }
        let success = self.known_success(fingerprint, record.at);
        if success.is_some_and(|at| record.at <= at) {
            return false;
        }
        self.part_successes.remove(&fingerprint);
        self.request_successes.remove(&fingerprint);
        let mut entry = Evidence::new(success);
        entry.add_crash(record, max_crashes);
        self.entries.insert(fingerprint, entry);
        true
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
