//! Suspects and convictions as one host sees them.

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

const CRASHES_TO_QUARANTINE: usize = 2;
const MAX_SERVER_LOSSES: usize = 256;

/// Bounds of the quarantine.
#[derive(Clone, Copy, Debug)]
pub struct QuarantineSettings {
    /// How long a fingerprint stays suspect after its last crash.
    pub suspect_ttl: Millis,
    /// How long a fingerprint stays quarantined after its last crash.
    pub quarantine_ttl: Millis,
    /// Losses of servers within this span may have one cause.
    pub common_cause_window: Millis,
    /// How long the word of a suspect in flight on another host is believed.
    pub remote_run_ttl: Millis,
    /// Most fingerprints that are remembered.
    pub capacity: usize,
    /// Most crashes that are remembered of one fingerprint.
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

/// What is known against a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QuarantineStatus {
    /// Nothing.
    Clear,
    /// It was in flight at a crash; it may run where no other suspect runs.
    Suspect,
    /// It crashes servers and is refused.
    Quarantined,
}

#[derive(Debug)]
struct CrashRecord {
    crash: CrashId,
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
    /// When the attempt left for its servers, if it did.
    started: Option<Millis>,
    /// The servers with their boots, named as their next crash would be.
    servers: SmallVec<[CrashId; 4]>,
}

#[derive(Debug)]
struct ServerLoss {
    at: Millis,
    crash: CrashId,
}

/// The suspects and convictions that one host knows.
#[derive(Debug)]
pub struct Quarantine {
    settings: QuarantineSettings,
    entries: BTreeMap<Fingerprint, SuspectEntry>,
    runs: HashMap<RequestId, RunningRequest>,
    /// Suspects in flight on other hosts, with the time of the word.
    remote_runs: HashMap<RequestId, (RunningRequest, Millis)>,
    losses: VecDeque<ServerLoss>,
}

impl Quarantine {
    /// Creates a state without suspects.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self {
            settings,
            entries: BTreeMap::new(),
            runs: HashMap::new(),
            remote_runs: HashMap::new(),
            losses: VecDeque::new(),
        }
    }

    /// Returns what is known against a request.
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

    /// Returns the servers that a suspect has to keep away from, because another suspect runs
    /// there; none for a request that is clear.
    pub fn excluded_servers(&self, now: Millis, fingerprint: Fingerprint) -> HashSet<ServerName> {
        if self.status(now, fingerprint) == QuarantineStatus::Clear
            || planted!(SuspectsShareServers)
        {
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

    /// Returns whether the fingerprint is in flight on this host; a suspect runs once at a time.
    pub fn is_running(&self, fingerprint: Fingerprint) -> bool {
        self.runs.values().any(|run| run.fingerprint == fingerprint)
    }

    /// Records the servers that a suspect is about to run on, before other hosts are told.
    pub fn on_reserve(
        &mut self,
        request: RequestId,
        fingerprint: Fingerprint,
        servers: impl IntoIterator<Item = CrashId>,
    ) {
        let servers = servers.into_iter().collect();
        self.runs.insert(request, RunningRequest { fingerprint, started: None, servers });
    }

    /// Records the start of an attempt; it replaces the request's earlier one.
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

    /// Records the end of a request; a whole answer clears a suspect.
    pub fn on_end(&mut self, now: Millis, request: RequestId, whole: bool) {
        let Some(run) = self.runs.remove(&request) else {
            return;
        };
        if whole && self.status(now, run.fingerprint) == QuarantineStatus::Suspect {
            self.entries.remove(&run.fingerprint);
        }
    }

    /// Records the crash of a server, and returns what the other hosts have to know.
    ///
    /// Work of this host on the server becomes suspect, or suspect again.
    pub fn on_crash(&mut self, now: Millis, crash: &CrashId) -> Vec<CrashNotice> {
        let lost_at = self.record_loss(now, crash);
        // An attempt that began after the crash was known met a dead server; it is no suspect.
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

    /// Takes word of a suspect that starts on another host.
    pub fn on_remote_start(&mut self, now: Millis, start: SuspectStart) {
        let span = self.settings.remote_run_ttl;
        self.remote_runs.retain(|_, (_, at)| now.since(*at) < span);
        if self.remote_runs.len() < self.settings.capacity {
            let SuspectStart { request, fingerprint, servers } = start;
            let run = RunningRequest { fingerprint, started: Some(now), servers };
            self.remote_runs.insert(request, (run, now));
        }
    }

    /// Takes word of the end of a suspect on another host.
    pub fn on_remote_end(&mut self, request: RequestId) {
        self.remote_runs.remove(&request);
    }

    /// Takes what another host tells.
    pub fn on_notice(&mut self, now: Millis, notice: &CrashNotice) {
        for crash in &notice.crashes {
            self.record_loss(now, crash);
            self.record_crash(now, notice.fingerprint, crash);
        }
        self.evict(now);
    }

    /// Returns what was learned within `span`, to be told again to hosts that missed it.
    pub fn recent_notices(&self, now: Millis, span: Millis, most: usize) -> Vec<CrashNotice> {
        let recent = self.entries.iter().filter(|(_, entry)| now.since(entry.last_crash_at) < span);
        recent.take(most).filter_map(|(fingerprint, _)| self.notice(*fingerprint)).collect()
    }

    /// Returns the number of remembered fingerprints.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no fingerprint is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// A fingerprint is convicted by two crashes, one of which is not shared with another
    /// fingerprint that was in flight at two crashes as well.
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

    /// Returns the crashes that count; the first one that probably has another cause does not.
    fn counted_crashes<'a>(&'a self, entry: &'a SuspectEntry) -> impl Iterator<Item = &'a CrashId> {
        let uncounted = entry.crashes.iter().position(|record| self.has_other_cause(entry, record));
        let counted_crashes =
            entry.crashes.iter().enumerate().filter(move |(i, _)| Some(*i) != uncounted);
        counted_crashes.map(|(_, record)| &record.crash)
    }

    /// Returns whether a server on which the fingerprint did not run was lost at the same time.
    fn has_other_cause(&self, entry: &SuspectEntry, record: &CrashRecord) -> bool {
        let span = self.settings.common_cause_window;
        let together =
            |loss: &&ServerLoss| loss.at.since(record.at) < span && record.at.since(loss.at) < span;
        let mut losses = self.losses.iter().filter(together);
        losses.any(|loss| !entry.was_running_on(&loss.crash.server))
    }

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

    /// Returns when the loss became known.
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

    /// Forgets what has expired, and the oldest entries beyond the capacity.
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
