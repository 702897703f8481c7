//! The changes of the configuration and the list of servers that hosts fetch from each other over
//! HTTP/2: hosts that do not follow the store, and hosts that the store does not answer. The decisions
//! are those of `core::catch_up`.

mod client;
mod server;
mod wire;
#[cfg(test)]
mod wire_tests;

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use hyper::rt::Executor;
use tokio::sync::Notify;
use tokio::time;
use yuccanotch_core::catch_up::FetchEnd;
use yuccanotch_core::catch_up::Fetches;
use yuccanotch_core::catch_up::Lag;
use yuccanotch_core::catch_up::Transfers;
use yuccanotch_core::catch_up::Waits;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;

use crate::host::Gateway;
use crate::relay::ServedBy;
use crate::sync::client::Fetched;
use crate::sync::wire::PackedValues;

pub use self::server::serve;

/// The time between checks whether another host knows of newer changes, and whether a fetch in
/// progress is still worth its while.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The path of the resource that holds the changes; the last part is the revision that the asking
/// host has.
const CHANGES_PATH: &str = "/changes/";

/// The fetches of changes from other hosts, and the answers to them.
pub struct SyncState {
    waits: Waits,
    lag: RefCell<Lag>,
    fetches: RefCell<Fetches>,
    transfers: RefCell<Transfers>,
    packed: PackedValues,
    /// Notified when a source has named another host that has the changes.
    referred: Notify,
    /// Notified when a large answer has been sent.
    transfer_ended: Notify,
}

impl SyncState {
    /// Creates the state of a host that has exchanged nothing.
    pub fn new(waits: Waits) -> Self {
        Self {
            waits,
            lag: RefCell::default(),
            fetches: RefCell::new(Fetches::new(waits)),
            transfers: RefCell::default(),
            packed: PackedValues::default(),
            referred: Notify::new(),
            transfer_ended: Notify::new(),
        }
    }

    /// Returns the waits of a host that is behind.
    pub fn waits(&self) -> Waits {
        self.waits
    }

    /// Returns whether no host has brought this one the changes that it has heard of for so long that
    /// it reads the store itself.
    pub fn is_stuck(&self, now: Millis) -> bool {
        self.lag.borrow().span(now) >= self.waits.store_fallback()
    }

    /// Returns the number of large answers that this host is sending.
    pub fn transfers(&self) -> usize {
        self.transfers.borrow().active()
    }
}

impl Gateway {
    /// Records by which version of the configuration another host has served a request of this one. If that
    /// is newer than this host's, this one gets it from there before it serves others: callers must not be
    /// served by an older version than before.
    pub(crate) fn on_version_used(&self, served_by: ServedBy) {
        let ServedBy { version, control } = served_by;
        let own = self.views.configuration().map_or(0, |c| c.version);
        if version <= own || !self.views.on_version_used(version) {
            return;
        }
        self.event_log.line(
            Event::NewerVersionUsed,
            &[("version", &version), ("in_force", &own), ("host", &control)],
        );
        self.sync.fetches.borrow_mut().refer(control);
        self.sync.referred.notify_one();
    }

    /// Returns whether this host follows the store, and is not behind what the store should have
    /// told it.
    fn expects_changes_from_store(&self, now: Millis) -> bool {
        let has_state = self.views.configuration().is_some() && self.views.servers_read();
        let is_late = self.sync.lag.borrow().span(now) >= self.sync.waits.store_silence();
        self.hears_store(now) && has_state && !is_late
    }

    /// Returns whether this host follows the store, and has lately had an answer of it.
    pub(crate) fn hears_store(&self, now: Millis) -> bool {
        let ttl = self.sync.waits.store_answer_ttl();
        let is_heard = self.store.answered_at().is_some_and(|at| now.since(at) < ttl);
        self.follows_store.get() && self.store.lost_since().is_none() && is_heard
    }
}

#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

/// Fetches changes for the life of the process whenever another host has newer ones, unless this
/// host is about to get them from the store.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        tokio::select! {
            () = time::sleep(CHECK_INTERVAL) => {}
            () = gateway.sync.referred.notified() => {}
        }
        let now = gateway.clock.now();
        let revision = gateway.views.revision();
        let newest = gateway.peers.node().newer_revision(now, revision);
        gateway.sync.lag.borrow_mut().on_revisions(now, revision, newest);
        let is_behind_used = gateway.views.is_behind_used();
        if gateway.expects_changes_from_store(now) && !is_behind_used {
            continue;
        }
        let sources = gateway.peers.node().newer_sources(now, revision);
        let newest = newest.unwrap_or(revision + u64::from(is_behind_used));
        let next = gateway.sync.fetches.borrow_mut().next(now, &sources);
        if let Some(source) = next {
            tokio::task::spawn_local(fetch(gateway.clone(), source, newest));
        }
    }
}

/// Fetches the changes of the host at `source` that this host does not have, and applies them.
/// `newest` is the revision up to which other hosts have applied changes.
async fn fetch(gateway: Rc<Gateway>, source: SocketAddrV4, newest: u64) {
    let after = gateway.views.revision();
    let began = gateway.clock.now();
    let bytes = Cell::new(0);
    let result = tokio::select! {
        result = client::fetch(&gateway, source, after, &bytes) => result,
        result = wait_until_needless(&gateway, source, newest) => result,
    };
    let took = gateway.clock.now().since(began);
    let end = match result {
        Ok(Fetched::Changes(shared)) => {
            gateway.event_log.line(
                Event::ChangesFetched,
                &[
                    ("from", &source),
                    ("items", &shared.changes.items.len()),
                    ("after", &after),
                    ("revision", &shared.changes.revision),
                    ("bytes", &bytes.get()),
                    ("took_ms", &took.0),
                ],
            );
            gateway.views.delay_removals(shared.removal_delay);
            gateway.views.merge(shared.changes, "host");
            FetchEnd::Applied
        }
        Ok(Fetched::Referral(to)) => {
            gateway.event_log.line(Event::ChangesReferred, &[("from", &source), ("to", &to)]);
            FetchEnd::Referred(to)
        }
        Ok(Fetched::Needless) => FetchEnd::Applied,
        Err(why) => {
            gateway.event_log.line(
                Event::ChangesUnavailable,
                &[("from", &source), ("why", &why), ("bytes", &bytes.get()), ("took_ms", &took.0)],
            );
            FetchEnd::Failed
        }
    };
    let now = gateway.clock.now();
    gateway.sync.fetches.borrow_mut().on_end(now, source, end);
    // Whatever else follows has time until the next check; a source may fail many times in that time.
    if matches!(end, FetchEnd::Referred(_)) {
        gateway.sync.referred.notify_one();
    }
}

/// Resolves when the fetch from `source` has taken too long, or another one has brought this host to
/// the revision `newest`.
async fn wait_until_needless(
    gateway: &Gateway,
    source: SocketAddrV4,
    newest: u64,
) -> Result<Fetched, client::FetchError> {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        if gateway.views.revision() >= newest {
            return Ok(Fetched::Needless);
        }
        if gateway.sync.fetches.borrow().overdue(gateway.clock.now()).contains(&source) {
            return Err(client::FetchError::Timeout);
        }
    }
}
