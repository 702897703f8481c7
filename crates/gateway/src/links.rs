//! The links of this host to the servers. The decisions are those of `core::reachability`.
//!
//! Servers to which the links are cut are tried in the background, so that no request has to wait
//! for a connection that does not come.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use rand::seq::IteratorRandom;
use tokio::time;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerState;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::peering::observations::short_hash;
use yuccanotch_core::reachability::HostRow;
use yuccanotch_core::reachability::LinkChange;
use yuccanotch_core::reachability::LinkFailure;
use yuccanotch_core::reachability::ReachRows;
use yuccanotch_core::reachability::Reachability;

use crate::event_log::EventLog;
use crate::host::Gateway;
use crate::net;

/// The time between attempts to reach servers to which the links are cut.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);
/// The most servers that are tried at a time.
const MAX_PROBES: usize = 4;
/// The longest wait for a connection to a server that is tried.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// What this host knows of its links.
pub struct Links {
    clock: Clock,
    event_log: Rc<EventLog>,
    state: RefCell<Reachability>,
    /// The number of messages with rows so far.
    turn: Cell<u64>,
}

impl Links {
    /// Creates a state in which all links work.
    pub fn new(clock: Clock, event_log: Rc<EventLog>) -> Rc<Self> {
        Rc::new(Self { clock, event_log, state: RefCell::default(), turn: Cell::new(0) })
    }

    /// Returns what is known of the links.
    pub fn state(&self) -> std::cell::Ref<'_, Reachability> {
        self.state.borrow()
    }

    /// Records an answer of `server`, or a part of one; `is_new` tells whether its connection is new.
    pub fn on_heard(&self, server: &ServerName, is_new: bool) {
        let now = self.clock.now();
        if is_new {
            self.state.borrow_mut().on_reached(now, server);
        } else {
            self.state.borrow_mut().on_heard(now, server);
        }
    }

    /// Records a failure of the link to `server`.
    pub fn on_failure(&self, server: &ServerName, failure: LinkFailure) {
        self.state.borrow_mut().on_failure(self.clock.now(), server, failure);
    }

    /// Applies what another host tells.
    pub fn on_rows(&self, rows: &ReachRows) {
        self.state.borrow_mut().on_rows(self.clock.now(), rows);
    }

    /// Returns what to tell other hosts, in every message while some host's links fail, else only in
    /// a full exchange.
    pub fn rows(&self, own: HostRow, is_full_exchange: bool) -> ReachRows {
        let now = self.clock.now();
        let state = self.state.borrow();
        if !is_full_exchange && !state.is_urgent(now) {
            return ReachRows::default();
        }
        state.rows(now, own, self.next_turn())
    }

    /// Returns the number of one more message, by which messages differ that cannot carry everything.
    pub fn next_turn(&self) -> u64 {
        self.turn.set(self.turn.get() + 1);
        self.turn.get()
    }

    /// Returns whether to believe another host's suspicion of `server`.
    pub fn believes_suspicion(&self, server: &ServerName) -> bool {
        self.state.borrow_mut().on_suspicion(self.clock.now(), short_hash(server.as_str()))
    }

    /// Sends no request to the host at `relay` for `span`.
    pub fn avoid_host(&self, relay: SocketAddrV4, span: Millis) {
        self.state.borrow_mut().avoid_host(self.clock.now(), relay, span);
    }

    /// Logs changes and returns the servers to which the links have been found cut.
    fn take_cut(&self) -> Vec<ServerName> {
        let changes = self.state.borrow_mut().take_changes();
        let mut cut = Vec::new();
        for change in changes {
            match change {
                LinkChange::Cut(server) => {
                    self.event_log.line(Event::LinkCut, &[("server", &server)]);
                    cut.push(server);
                }
                LinkChange::Restored(server) => {
                    self.event_log.line(Event::LinkRestored, &[("server", &server)]);
                }
            }
        }
        cut
    }
}

/// Takes new findings about links into the health of servers.
pub fn apply_changes(gateway: &Gateway) {
    let cut = gateway.links.take_cut();
    let mut health = gateway.routing.health.borrow_mut();
    cut.iter().for_each(|server| health.on_link_cut(server));
}

/// Tries servers to which the links are cut for the life of the process.
pub async fn run(gateway: Rc<Gateway>) {
    let mut next = 0;
    loop {
        time::sleep(PROBE_INTERVAL).await;
        gateway.links.state.borrow_mut().on_tick(gateway.clock.now());
        let cut = gateway.links.state().cut_servers();
        for i in 0..cut.len().min(MAX_PROBES) {
            let server = cut[(next + i) % cut.len()].clone();
            let address = gateway.views.servers().get(&server).map(|entry| entry.address);
            match address {
                Some(address) => {
                    tokio::task::spawn_local(probe(gateway.clone(), server, address));
                }
                None => gateway.links.state.borrow_mut().forget(&server),
            }
        }
        next += MAX_PROBES;
        if gateway.links.state().is_cut_off(gateway.clock.now()) {
            probe_some(&gateway);
        }
    }
}

/// Tries some servers at which requests begin, whatever is known of the links to them: two lost
/// servers in a row are no cut.
fn probe_some(gateway: &Rc<Gateway>) {
    let servers = gateway.views.servers();
    let begins = |e: &&ServerEntry| e.state == ServerState::Ready && e.begins_requests();
    for entry in servers.iter().filter(begins).choose_multiple(&mut rand::rng(), MAX_PROBES) {
        tokio::task::spawn_local(probe(gateway.clone(), entry.id.clone(), entry.address));
    }
}

/// Finds out whether `server` answers on a new connection.
async fn probe(gateway: Rc<Gateway>, server: ServerName, address: SocketAddrV4) {
    let service = gateway.views.servers().get(&server).map(|entry| entry.service.clone());
    let configuration = gateway.views.configuration();
    let service = service.and_then(|name| configuration?.service(&name).cloned());
    let Some(service) = service else {
        return;
    };
    let answers = match (&service.engine, &service.health_path) {
        (Some(_), _) => gateway.fetch_fresh_report(address).await.is_some(),
        (None, Some(path)) => gateway.answers_health_check(address, path).await,
        (None, None) => net::connect(gateway.settings.source, address, PROBE_TIMEOUT).await.is_ok(),
    };
    if answers {
        gateway.links.on_heard(&server, true);
        apply_changes(&gateway);
    }
}
