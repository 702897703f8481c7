//! Refusal of requests that crash servers. The decisions are those of `core::quarantine`.
//!
//! A server whose connection breaks with a request in flight and that then refuses connections has
//! crashed. So has a later server of a chain that a request waits for and that refuses connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use smallvec::SmallVec;
use tokio::time;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::silence::ListeningServers;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::quarantine::CrashId;
use yuccanotch_core::quarantine::CrashNotice;
use yuccanotch_core::quarantine::Fingerprint;
use yuccanotch_core::quarantine::NoticeScope;
use yuccanotch_core::quarantine::Quarantine;
use yuccanotch_core::quarantine::QuarantineSettings;
use yuccanotch_core::reachability::LinkFailure;

use crate::event_log::EventLog;
use crate::host::Gateway;
use crate::net;
use crate::routing::Target;

/// The longest wait for a connection when it is checked whether a server still listens.
const CHECK_TIMEOUT: Duration = Duration::from_millis(300);
/// How long after a crash it may be taken back.
const REFUTABLE_SPAN: Millis = Millis(10_000);
/// The longest time that a request waits for the check of a later server of its chain, before it is
/// moved away from that server.
const LATER_SERVER_WAIT: Duration = Duration::from_millis(20);
/// The pause between two looks at whether checks have ended.
const CHECK_POLL: Duration = Duration::from_millis(1);
/// The most crashes found by this host that are remembered, so that each is checked once.
const MAX_CHECKED: usize = 64;
/// The requests in flight and the crashes that this host knows.
pub struct CrashTracker {
    clock: Clock,
    event_log: Rc<EventLog>,
    state: RefCell<Quarantine>,
    /// The servers that are being checked for a crash.
    checks: RefCell<HashSet<ServerName>>,
    /// The servers that accepted the connection of such a check lately.
    listening: RefCell<ListeningServers>,
    /// The last crashes that this host itself found.
    checked: RefCell<VecDeque<CrashId>>,
    last_request: Cell<u128>,
    /// The number of messages with notices so far.
    notice_turn: Cell<u64>,
}

impl CrashTracker {
    /// Creates a tracker that knows no crashes.
    pub fn new(clock: Clock, event_log: Rc<EventLog>) -> Self {
        Self {
            clock,
            event_log,
            state: RefCell::new(Quarantine::new(QuarantineSettings::default())),
            checks: RefCell::default(),
            listening: RefCell::default(),
            checked: RefCell::default(),
            last_request: Cell::new(0),
            notice_turn: Cell::new(0),
        }
    }

    /// Returns an id for one more request of this host.
    pub fn next_request(&self) -> RequestId {
        self.last_request.set(self.last_request.get() + 1);
        RequestId(self.last_request.get())
    }

    /// Returns the first of `fingerprints` that is quarantined, and for how long it stays so.
    pub fn find_quarantined(&self, fingerprints: &[Fingerprint]) -> Option<(Fingerprint, Millis)> {
        self.state.borrow().find_quarantined(self.clock.now(), fingerprints)
    }

    fn is_being_checked(&self, server: &ServerName) -> bool {
        self.checks.borrow().contains(server)
    }

    /// Forgets findings that are too old.
    pub fn on_tick(&self) {
        self.listening.borrow_mut().on_tick(self.clock.now());
    }

    /// Returns the number of fingerprints that are quarantined.
    pub fn quarantined_count(&self) -> usize {
        self.state.borrow().quarantined(self.clock.now()).count()
    }

    /// Records that `request` is in flight on `servers`.
    pub fn on_start(
        &self,
        request: RequestId,
        fingerprints: &[Fingerprint],
        servers: SmallVec<[CrashId; 8]>,
    ) {
        self.state.borrow_mut().on_start(self.clock.now(), request, fingerprints, servers);
    }

    /// Records that `request` goes on at `servers`.
    pub fn on_move(&self, request: RequestId, servers: SmallVec<[CrashId; 8]>) {
        self.state.borrow_mut().on_move(self.clock.now(), request, servers);
    }

    /// Records that a part of the answer to `request` has arrived.
    pub fn on_progress(&self, request: RequestId) {
        self.state.borrow_mut().on_progress(self.clock.now(), request);
        self.log_changes();
    }

    /// Records the end of an attempt whose server may still crash because of it.
    pub fn on_break(&self, request: RequestId) {
        self.state.borrow_mut().on_break(self.clock.now(), request);
    }

    /// Records the end of an attempt that no longer runs on its server.
    pub fn on_end(&self, request: RequestId, is_complete: bool) {
        self.state.borrow_mut().on_end(self.clock.now(), request, is_complete);
        self.log_changes();
    }

    /// Records what other hosts know.
    pub fn on_notices(&self, notices: &[CrashNotice]) {
        if notices.is_empty() {
            return;
        }
        let now = self.clock.now();
        let mut state = self.state.borrow_mut();
        notices.iter().for_each(|notice| state.on_notice(now, notice));
        drop(state);
        self.log_changes();
    }

    /// Returns what to tell other hosts: all that hosts that start need, or only what is new.
    pub fn notices(&self, is_full_exchange: bool) -> Vec<CrashNotice> {
        let scope = if is_full_exchange { NoticeScope::SHARED } else { NoticeScope::URGENT };
        self.notice_turn.set(self.notice_turn.get() + 1);
        self.state.borrow().recent_notices(self.clock.now(), scope, self.notice_turn.get())
    }

    fn on_crash(&self, silent_since: Millis, crash: &CrashId) {
        let now = self.clock.now();
        let notices = self.state.borrow_mut().on_crash_since(now, silent_since, crash);
        self.event_log.line(
            Event::ServerCrashed,
            &[("server", &crash.server), ("boot", &crash.boot), ("in_flight", &notices.len())],
        );
        self.log_changes();
    }

    /// Takes back crashes of incarnations that `is_heard` says were heard within the given time.
    fn refute(&self, is_heard: impl Fn(&CrashId, Millis) -> bool) {
        let now = self.clock.now();
        let refuted = self.state.borrow_mut().refute_crashes(now, REFUTABLE_SPAN, is_heard);
        for crash in refuted {
            self.event_log
                .line(Event::CrashRefuted, &[("server", &crash.server), ("boot", &crash.boot)]);
        }
        self.log_changes();
    }

    fn remember_checked(&self, crash: &CrashId) {
        let mut checked = self.checked.borrow_mut();
        if checked.len() == MAX_CHECKED {
            checked.pop_front();
        }
        checked.push_back(crash.clone());
    }

    fn log_changes(&self) {
        let changes = self.state.borrow_mut().take_changes();
        for change in changes {
            let event =
                if change.is_quarantined { Event::QuarantineBegan } else { Event::QuarantineEnded };
            self.event_log
                .line(event, &[("fingerprint", &change.fingerprint), ("crashes", &change.crashes)]);
        }
    }
}

/// Returns the id of the crash that would end the present incarnation of `server`.
fn crash_id(gateway: &Gateway, server: &ServerName) -> CrashId {
    let born = gateway.views.servers().get(server).and_then(|entry| entry.born);
    CrashId { server: server.clone(), boot: born.unwrap_or_default() }
}

/// Returns the ids of the crashes that would end the present incarnations of the servers of `target`.
pub fn crash_ids(gateway: &Gateway, target: &Target) -> SmallVec<[CrashId; 8]> {
    match target {
        Target::Server { server, .. } => SmallVec::from_iter([crash_id(gateway, server)]),
        Target::Chain(chain) => {
            chain.stages().iter().map(|stage| crash_id(gateway, &stage.server)).collect()
        }
    }
}

/// Takes back crashes of servers that still run, which some host does not reach.
pub fn refute_crashes(gateway: &Gateway) {
    let now = gateway.clock.now();
    gateway.crashes.refute(|crash, span| {
        let is_same_boot = crash_id(gateway, &crash.server) == *crash;
        is_same_boot && gateway.links.state().is_heard_within(now, &crash.server, span)
    });
}

/// Handles a connection to `target` that broke while `request` was in flight, and finds out in the
/// background whether the server has crashed.
pub fn on_connection_broken(gateway: &Rc<Gateway>, request: RequestId, target: &Target) {
    gateway.crashes.on_break(request);
    let silent_since = gateway.clock.now();
    tokio::task::spawn_local(check_server(
        gateway.clone(),
        target.server().clone(),
        target.address(),
        silent_since,
    ));
}

/// Finds out, within a short time, whether the later server of a chain at `address` has crashed, for
/// which a request has waited since `silent_since`. The check goes on in the background after that
/// time.
pub async fn check_later_server(
    gateway: &Rc<Gateway>,
    address: SocketAddrV4,
    silent_since: Millis,
) {
    let Some(server) = gateway.routing.server_at(address) else {
        return;
    };
    let check = check_server(gateway.clone(), server, address, silent_since);
    let check = tokio::task::spawn_local(check);
    let _ = time::timeout(LATER_SERVER_WAIT, check).await;
}

/// Finds out, within a short time, which of the later servers of `chain` have crashed, for which a
/// request has waited since `silent_since`; returns whether one has. The checks go on in the
/// background after that time.
pub async fn check_later_servers(
    gateway: &Rc<Gateway>,
    chain: &Chain,
    silent_since: Millis,
) -> bool {
    let now = gateway.clock.now();
    let later = &chain.stages()[1..];
    for stage in later {
        if gateway.crashes.listening.borrow().is_check_due(now, &stage.server) {
            let server = stage.server.clone();
            let check = check_server(gateway.clone(), server, stage.address, silent_since);
            tokio::task::spawn_local(check);
        }
    }
    // The check of a server may have been begun for another request.
    let all_done = async {
        time::sleep(CHECK_POLL).await;
        while later.iter().any(|stage| gateway.crashes.is_being_checked(&stage.server)) {
            time::sleep(CHECK_POLL).await;
        }
    };
    let _ = time::timeout(LATER_SERVER_WAIT, all_done).await;
    let checked = gateway.crashes.checked.borrow();
    // An event since then has shown that the server works after all.
    let is_down = |server: &ServerName| {
        checked.contains(&crash_id(gateway, server)) && !gateway.routing.is_usable(server)
    };
    chain.stages().iter().any(|stage| is_down(&stage.server))
}

/// Records a crash of `server`, which has been silent since `silent_since`, if it refuses
/// connections. One check of a server runs at a time.
async fn check_server(
    gateway: Rc<Gateway>,
    server: ServerName,
    address: SocketAddrV4,
    silent_since: Millis,
) {
    let crash = crash_id(&gateway, &server);
    let is_known = gateway.crashes.checked.borrow().contains(&crash);
    if is_known || !gateway.crashes.checks.borrow_mut().insert(server.clone()) {
        return;
    }
    let connected = net::connect(gateway.settings.source, address, CHECK_TIMEOUT).await;
    gateway.crashes.checks.borrow_mut().remove(&server);
    if connected.is_ok() {
        gateway.crashes.listening.borrow_mut().on_listening(gateway.clock.now(), &server);
    }
    if connected.is_err_and(|e| e.kind() == io::ErrorKind::ConnectionRefused) {
        gateway.routing.suspect(&server, "crashed");
        // Another host may hear the server, which is then cut off from this one alone.
        gateway.links.on_failure(&server, LinkFailure::NoConnection);
        gateway.crashes.remember_checked(&crash);
        gateway.pool.close_idle(address);
        gateway.crashes.on_crash(silent_since, &crash);
    }
}
