//! The suspects and quarantined fingerprints that one host knows.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::collections::VecDeque;

use smallvec::SmallVec;

use super::messages::CrashId;
use super::messages::CrashNotice;
use super::messages::Fingerprint;
use super::messages::SuspectStart;
use crate::clock::Millis;
use crate::defect::planted;
use crate::ids::RequestId;
use crate::name::ServerName;

/// Number of counted crashes from which on a fingerprint may be quarantined.
const CRASHES_TO_QUARANTINE: usize = 2;
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
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            suspect_ttl: Millis(120_000),
            quarantine_ttl: Millis(900_000),
            common_cause_window: Millis(1_000),
            remote_run_ttl: Millis(30_000),
            capacity: 4_096,
            max_crashes: 4,
        }
    }
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

/// A crash at which a fingerprint was in flight.
#[derive(Debug)]
struct CrashRecord {
    crash: CrashId,
    /// When this host learned that the fingerprint was in flight.
    at: Millis,
}

#[derive(Debug)]
struct SuspectEntry {
    crashes: SmallVec<[CrashRecord; 2]>,
    last_crash_at: Millis,
}

impl SuspectEntry {
    fn was_running_on(&self, server: &ServerName) -> bool {
        self.crashes.iter().any(|record| record.crash.server == *server)
    }
}

#[derive(Debug)]
struct RunningRequest {
    fingerprint: Fingerprint,
    /// When the attempt was sent to its servers; `None` while it is only reserved.
    started: Option<Millis>,
    /// The servers that the attempt runs on, each as the id of the crash that would end its boot.
    servers: SmallVec<[CrashId; 4]>,
}

/// The crash of a server, whatever was in flight on it.
#[derive(Debug)]
struct ServerLoss {
    /// When this host learned of the crash.
    at: Millis,
    crash: CrashId,
}

/// The suspects and quarantined fingerprints that one host knows, and the requests in flight.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: BTreeMap<Fingerprint, SuspectEntry>,
    runs: HashMap<RequestId, RunningRequest>,
    /// Suspects in flight on other hosts, with the time at which their start was reported.
    remote_runs: HashMap<RequestId, (RunningRequest, Millis)>,
    losses: VecDeque<ServerLoss>,
}

impl Quarantine {
    /// Creates a quarantine without suspects.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            runs: HashMap::new(),
            remote_runs: HashMap::new(),
            losses: VecDeque::new(),
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
        let age = now.since(entry.last_crash_at);
        if self.is_crash_cause(fingerprint, entry) {
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

    /// Returns the servers that must not run a suspect because another suspect runs there; none if
    /// the fingerprint was in flight at no recent crash.
    ///
    /// A fingerprint whose crash probably had another cause is kept off suspects too: if it were in
    /// flight at the next crash of one, neither could be told from the other.
    pub fn excluded_servers(&self, now: Millis, fingerprint: Fingerprint) -> HashSet<ServerName> {
        if !self.has_recent_crash(now, fingerprint) || planted!(SuspectsShareServers) {
            return HashSet::new();
        }
        let own = self.runs.values().filter(|run| run.fingerprint != fingerprint);
        let suspects =
            own.filter(|run| self.status(now, run.fingerprint) != QuarantineStatus::Clear);
        let span = self.settings.remote_run_ttl;
        let remote_runs = self.remote_runs.values().filter(|(_, at)| now.since(*at) < span);
        let remote_runs =
            remote_runs.map(|(run, _)| run).filter(|run| run.fingerprint != fingerprint);
        let runs = suspects.chain(remote_runs);
        runs.flat_map(|run| run.servers.iter().map(|at| at.server.clone())).collect()
    }

    /// Returns the crashes that became known within the last `span`.
    pub fn recent_crashes(&self, now: Millis, span: Millis) -> impl Iterator<Item = &CrashId> {
        let recent = self.losses.iter().filter(move |loss| now.since(loss.at) < span);
        recent.map(|loss| &loss.crash)
    }

    fn has_recent_crash(&self, now: Millis, fingerprint: Fingerprint) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| now.since(entry.last_crash_at) < self.settings.suspect_ttl)
    }

    /// Returns whether a request with the fingerprint is in flight on this host; a suspect must not
    /// run twice at a time.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.runs.values().any(|run| run.fingerprint == fingerprint)
    }

    /// Reserves the servers that a suspect is about to run on, before other hosts are told.
    ///
    /// The reservation keeps other suspects off the servers, but a crash before
    /// [`Self::on_start`] does not count against the fingerprint.
    pub fn on_reserve(
        &mut self,
        request: RequestId,
        fingerprint: Fingerprint,
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        let servers = servers.into_iter().collect();
        self.runs.insert(request, RunningRequest { fingerprint, started: None, servers });
    }

    /// Records the start of an attempt, which replaces the request's earlier attempt.
    pub fn on_start(
        &mut self,
        now: Millis,
        request: RequestId,
        fingerprint: Fingerprint,
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        let servers = servers.into_iter().collect();
        self.runs.insert(request, RunningRequest { fingerprint, started: Some(now), servers });
    }

    /// Records the end of a request; a suspect whose answer `is_complete` is cleared.
    pub fn on_end(&mut self, now: Millis, request: RequestId, is_complete: bool) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if is_complete && self.status(now, run.fingerprint) == QuarantineStatus::Suspect {
            self.entries.remove(&run.fingerprint);
        }
    }

    /// Records the crash of a server, and returns the notices to send to the other hosts.
    ///
    /// The crash counts against each fingerprint that this host had in flight on the server.
    pub fn on_crash(&mut self, now: Millis, crash: &CrashId) -> Vec<CrashNotice> {
        let lost_at = self.record_loss(now, crash);
        // An attempt that began after the crash was known was sent to a dead server; it cannot be
        // the cause.
        let was_running =
            |run: &&RunningRequest| run.started.is_some_and(|started| started <= lost_at);
        let on_server =
            self.runs.values().filter(was_running).filter(|run| run.servers.contains(crash));
        let running: HashSet<Fingerprint> = on_server.map(|run| run.fingerprint).collect();
        for fingerprint in &running {
            self.record_crash(now, *fingerprint, crash);
        }
        self.evict(now);
        running.iter().filter_map(|fingerprint| self.notice(*fingerprint)).collect()
    }

    /// Records the start of a suspect on another host.
    pub fn on_remote_start(&mut self, now: Millis, start: SuspectStart) {
        let span = self.settings.remote_run_ttl;
        self.remote_runs.retain(|_, (_, at)| now.since(*at) < span);
        if self.remote_runs.len() < self.settings.capacity {
            let SuspectStart { request, fingerprint, servers } = start;
            let run = RunningRequest { fingerprint, started: Some(now), servers };
            self.remote_runs.insert(request, (run, now));
        }
    }

    /// Records the end of a suspect on another host.
    pub fn on_remote_end(&mut self, request: RequestId) {
        self.remote_runs.remove(&request);
    }

    /// Records the crashes that another host reports for a fingerprint.
    pub fn on_notice(&mut self, now: Millis, notice: &CrashNotice) {
        for crash in &notice.crashes {
            self.record_loss(now, crash);
            self.record_crash(now, notice.fingerprint, crash);
        }
        self.evict(now);
    }

    /// Returns notices of at most `max` fingerprints with a crash within the last `span`, to be
    /// sent again to hosts that missed them.
    pub fn recent_notices(&self, now: Millis, span: Millis, max: usize) -> Vec<CrashNotice> {
        let recent = self.entries.iter().filter(|(_, entry)| now.since(entry.last_crash_at) < span);
        recent.take(max).filter_map(|(fingerprint, _)| self.notice(*fingerprint)).collect()
    }

    /// Returns the number of fingerprints that are kept.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is kept.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a fingerprint is to be quarantined: it was in flight at two counted
    /// crashes, at least one of which it does not share with another fingerprint that was in
    /// flight at two counted crashes as well.
    fn is_crash_cause(&self, fingerprint: Fingerprint, entry: &SuspectEntry) -> bool {
        if planted!(ConvictOnFirstCrash) {
            return !entry.crashes.is_empty();
        }
        if self.counted_crashes(entry).count() < CRASHES_TO_QUARANTINE {
            return false;
        }
        let others = self.entries.iter().filter(|(other, _)| **other != fingerprint);
        let repeated = others
            .filter(|(_, found)| self.counted_crashes(found).count() >= CRASHES_TO_QUARANTINE);
        let shared: HashSet<&CrashId> =
            repeated.flat_map(|(_, found)| self.counted_crashes(found)).collect();
        self.counted_crashes(entry).any(|crash| !shared.contains(crash))
    }

    /// Returns the crashes that count against a fingerprint: all but the first one that probably
    /// has another cause.
    fn counted_crashes<'a>(&'a self, entry: &'a SuspectEntry) -> impl Iterator<Item = &'a CrashId> {
        let uncounted = entry.crashes.iter().position(|record| self.has_other_cause(entry, record));
        let counted_crashes =
            entry.crashes.iter().enumerate().filter(move |(i, _)| Some(*i) != uncounted);
        counted_crashes.map(|(_, record)| &record.crash)
    }

    /// Returns whether a server on which the fingerprint was not in flight was lost at about the
    /// same time.
    fn has_other_cause(&self, entry: &SuspectEntry, record: &CrashRecord) -> bool {
        let span = self.settings.common_cause_window;
        let together =
            |loss: &&ServerLoss| loss.at.since(record.at) < span && record.at.since(loss.at) < span;
        let mut losses = self.losses.iter().filter(together);
        losses.any(|loss| !entry.was_running_on(&loss.crash.server))
    }

    /// Adds a crash to a fingerprint, unless it is already known or the fingerprint has
    /// `max_crashes`.
    fn record_crash(&mut self, now: Millis, fingerprint: Fingerprint, crash: &CrashId) {
        let max_crashes = self.settings.max_crashes;
        let fresh = || SuspectEntry { crashes: SmallVec::new(), last_crash_at: now };
        let entry = self.entries.entry(fingerprint).or_insert_with(fresh);
        let known = entry.crashes.iter().any(|record| record.crash == *crash);
        if !known && entry.crashes.len() < max_crashes {
            entry.crashes.push(CrashRecord { crash: crash.clone(), at: now });
            entry.last_crash_at = now;
        }
    }

    /// Adds the loss of a server, if it is new, and returns when it became known.
    fn record_loss(&mut self, now: Millis, crash: &CrashId) -> Millis {
        if let Some(known) = self.losses.iter().find(|loss| loss.crash == *crash) {
            return known.at;
        }
        if self.losses.len() == MAX_SERVER_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(ServerLoss { at: now, crash: crash.clone() });
        now
    }

    fn notice(&self, fingerprint: Fingerprint) -> Option<CrashNotice> {
        let entry = self.entries.get(&fingerprint)?;
        let crashes: SmallVec<[CrashId; 2]> =
            entry.crashes.iter().map(|record| record.crash.clone()).collect();
        (!crashes.is_empty()).then_some(CrashNotice { fingerprint, crashes })
    }

    /// Removes expired fingerprints, and the oldest ones beyond the capacity, those with fewer than
    /// two crashes first.
    fn evict(&mut self, now: Millis) {
        let longest = self.settings.quarantine_ttl.max(self.settings.suspect_ttl);
        self.entries.retain(|_, entry| now.since(entry.last_crash_at) < longest);
        while self.entries.len() > self.settings.capacity {
            let oldest = self.entries.iter().min_by_key(|(_, entry)| {
                (entry.crashes.len() >= CRASHES_TO_QUARANTINE, entry.last_crash_at)
            });
            let Some(oldest) = oldest.map(|(fingerprint, _)| *fingerprint) else {
                return;
            };
            self.entries.remove(&oldest);
        }
    }
}
