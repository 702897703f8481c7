//! Quarantine of requests that crash backend servers.
//!
//! Runs `yuccanotch_core::quarantine`: records the attempts of this host and the crashes during
//! them, and tells the other entry hosts about crashes and about attempts of suspects.

use std::collections::HashSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::sync::mpsc;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use smallvec::SmallVec;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::NoticeScope;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineMessage;
use yuccanotch_core::quarantine::QuarantineReply;
use yuccanotch_core::quarantine::QuarantineSettings;
use yuccanotch_core::quarantine::QuarantineStatus;
use yuccanotch_core::quarantine::SuspectStart;
use yuccanotch_core::reason::RefusalReason;

use crate::host::Host;
use crate::problem::Refusal;

/// Longest wait for the other hosts to confirm a notice of a crash or of the start of a suspect.
const BROADCAST_TIMEOUT: Millis = Millis(250);
/// Longest wait for a connection when it is checked whether a server still listens.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two repeats of a crash notice.
const NOTICE_REPEAT_INTERVAL: Duration = Duration::from_millis(250);
/// What one repeat of notices carries.
const REPEATED_NOTICES: NoticeScope = NoticeScope { span: Millis(5_000), max_bytes: 16 << 10 };
/// Time after a crash for which a server that still reports the boot that ended is not used.
const CRASHED_BOOT_SPAN: Millis = Millis(5_000);
/// Length of the time spans whose number serves as the boot number of a server without a load
/// report.
const ASSUMED_BOOT_SPAN: Millis = Millis(10_000);

/// The quarantine state of one entry host.
pub struct Quarantines {
    clock: Clock,
    state: Mutex<Quarantine>,
}

impl fmt::Debug for Quarantines {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Quarantines").finish_non_exhaustive()
    }
}

impl Quarantines {
    /// Creates the state without suspects.
    pub fn new(clock: Clock) -> Self {
        Self { clock, state: Mutex::new(Quarantine::new(QuarantineSettings::default())) }
    }

    /// Handles a message about suspects from another entry host and returns the reply.
    pub fn on_peer(&self, message: QuarantineMessage) -> QuarantineReply {
        let now = self.clock.now();
        let mut state = self.lock();
        match message {
            QuarantineMessage::Notices(notices) => {
                notices.iter().for_each(|notice| state.on_notice(now, notice));
            }
            QuarantineMessage::Started(start) => state.on_remote_start(now, start),
            QuarantineMessage::Ended(request) => state.on_remote_end(request),
        }
        QuarantineReply::Taken
    }

    fn lock(&self) -> MutexGuard<'_, Quarantine> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Tracks the attempts of one request for the quarantine; dropping it ends the last attempt.
pub struct AttemptTracker<'a> {
    host: &'a Host,
    request: RequestId,
    fingerprint: Fingerprint,
    servers: SmallVec<[CrashId; 4]>,
    announced: bool,
    answer_complete: bool,
}

impl<'a> AttemptTracker<'a> {
    /// Creates a tracker of a request that has no attempt yet.
    pub fn new(host: &'a Host, request: RequestId, fingerprint: Fingerprint) -> Self {
        let servers = SmallVec::new();
        Self { host, request, fingerprint, servers, announced: false, answer_complete: false }
    }

    /// Refuses the request when it is quarantined.
    ///
    /// # Errors
    ///
    /// Returns a refusal of a request that was not run.
    pub fn refuse_if_quarantined(&self) -> Result<(), Refusal> {
        if self.is_quarantined() {
            let text = "requests with this body crashed backend servers and are quarantined";
            return Err(Refusal::not_run(RefusalReason::Quarantined, text));
        }
        Ok(())
    }

    /// Returns whether the request is quarantined.
    pub fn is_quarantined(&self) -> bool {
        self.status() == QuarantineStatus::Quarantined
    }

    /// Returns the servers that the request must not use at present: those that run suspects, and
    /// those that crashed.
    pub fn excluded_servers(&self) -> HashSet<ServerName> {
        let state = self.host.quarantine.lock();
        let mut excluded = state.excluded_servers(self.now(), self.fingerprint);
        drop(state);
        excluded.extend(self.crashed_servers());
        excluded
    }

    /// Returns the servers that crashed lately, as this or another host saw, and have not reported a
    /// new boot yet.
    pub fn crashed_servers(&self) -> HashSet<ServerName> {
        let view = self.host.fleet.view();
        let is_current = |crash: &&CrashId| {
            let server = view.servers.get(&crash.server);
            let report = server.and_then(|server| server.report.as_ref());
            report.is_some_and(|report| report.boot == crash.boot)
        };
        let state = self.host.quarantine.lock();
        let crashes = state.recent_crashes(self.now(), CRASHED_BOOT_SPAN);
        crashes.filter(is_current).map(|crash| crash.server.clone()).collect()
    }

    /// Records the start of an attempt on `servers`; returns whether it may start now.
    ///
    /// A suspect is announced to the other hosts first. It may not start while another suspect runs
    /// on one of the servers, or while this host runs a request with the same fingerprint.
    pub fn try_start(&mut self, servers: impl IntoIterator<Item = ServerName>) -> bool {
        let crash_ids: SmallVec<[CrashId; 4]> =
            servers.into_iter().map(|server| self.crash_id(server)).collect();
        self.end_attempt();
        if self.status() == QuarantineStatus::Suspect && !self.announce_suspect(&crash_ids) {
            return false;
        }
        let state = &self.host.quarantine;
        let now = self.now();
        state.lock().on_start(now, self.request, &[self.fingerprint], crash_ids.iter().cloned());
        self.servers = crash_ids;
        true
    }

    /// Handles the failure of a server during an attempt; records a crash, if it was one, and
    /// reports it to the other hosts.
    pub fn on_server_lost(&self, server: &ServerName) {
        let Some(crash) = self.servers.iter().find(|id| id.server == *server) else {
            return;
        };
        if !self.has_crashed(crash) {
            return;
        }
        self.host.telemetry.increment_counter("yuccanotch_server_crashes_seen_total", "");
        let notices = self.host.quarantine.lock().on_crash(self.now(), crash);
        self.broadcast(&QuarantineMessage::Notices(notices));
    }

    /// Records that the request was answered completely, which clears a suspect.
    pub fn mark_answer_complete(&mut self) {
        self.answer_complete = true;
    }

    fn now(&self) -> Millis {
        self.host.clock.now()
    }

    fn status(&self) -> QuarantineStatus {
        self.host.quarantine.lock().status(self.now(), self.fingerprint)
    }

    fn crash_id(&self, server: ServerName) -> CrashId {
        let view = self.host.fleet.view();
        let report = view.servers.get(&server).and_then(|server| server.report.as_ref());
        let assumed_boot = self.host.clock.unix_now().0 / ASSUMED_BOOT_SPAN.0;
        CrashId { boot: report.map_or(assumed_boot, |report| report.boot), server }
    }

    /// Announces the attempt of a suspect to the other hosts; returns whether it may start.
    fn announce_suspect(&mut self, crash_ids: &SmallVec<[CrashId; 4]>) -> bool {
        let state = &self.host.quarantine;
        if state.lock().is_running(self.fingerprint) {
            return false;
        }
        state.lock().on_reserve(self.request, &[self.fingerprint], crash_ids.iter().cloned());
        self.announced = true;
        let start = SuspectStart {
            request: self.request,
            fingerprint: self.fingerprint,
            servers: crash_ids.clone(),
        };
        self.broadcast(&QuarantineMessage::Started(start));
        let excluded = self.excluded_servers();
        if crash_ids.iter().any(|id| excluded.contains(&id.server)) {
            self.end_attempt();
            return false;
        }
        true
    }

    fn end_attempt(&mut self) {
        let now = self.now();
        let mut state = self.host.quarantine.lock();
        if self.answer_complete {
            state.on_end(now, self.request, true);
        } else {
            // A server that the attempt was given up at may still crash because of it.
            state.on_break(now, self.request);
        }
        drop(state);
        if std::mem::take(&mut self.announced) {
            for name in self.host.peers.known_peers() {
                let message = QuarantineMessage::Ended(self.request);
                self.host.peers.send(&name, PeerRequest::Quarantine(message));
            }
        }
    }

    /// Returns whether the server refuses connections or has another boot than at the start of the
    /// attempt.
    fn has_crashed(&self, crash: &CrashId) -> bool {
        let view = self.host.fleet.view();
        let Some(server) = view.servers.get(&crash.server) else {
            return false;
        };
        if server.report.as_ref().is_some_and(|report| report.boot != crash.boot) {
            return true;
        }
        server.address.parse().is_ok_and(refuses_connections)
    }

    /// Sends a message to all hosts and waits up to [`BROADCAST_TIMEOUT`] for their replies.
    fn broadcast(&self, message: &QuarantineMessage) {
        let (tx, rx) = mpsc::channel();
        for name in self.host.peers.known_peers() {
            let tx = tx.clone();
            let request = PeerRequest::Quarantine(message.clone());
            self.host
                .peers
                .call_with_callback(&name, request, BROADCAST_TIMEOUT, move |_| drop(tx));
        }
        drop(tx);
        // Returns when all calls have dropped their senders.
        let _: Result<(), _> = rx.recv_timeout(BROADCAST_TIMEOUT.to_duration());
    }
}

impl Drop for AttemptTracker<'_> {
    fn drop(&mut self) {
        self.end_attempt();
    }
}

/// Repeats recent crash notices to the other hosts until the host stops.
pub fn run(host: &Arc<Host>) {
    while !host.is_stopped() {
        thread::sleep(NOTICE_REPEAT_INTERVAL);
        let now = host.clock.now();
        let notices = host.quarantine.lock().recent_notices(now, REPEATED_NOTICES, now.0);
        if notices.is_empty() {
            continue;
        }
        for name in host.peers.known_peers() {
            let message = QuarantineMessage::Notices(notices.clone());
            host.peers.send(&name, PeerRequest::Quarantine(message));
        }
    }
}

fn refuses_connections(address: SocketAddr) -> bool {
    let probe = TcpStream::connect_timeout(&address, PROBE_TIMEOUT);
    probe.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused)
}
