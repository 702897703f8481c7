//! This host's view of the cluster: the configuration in force and the list of servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::Notify;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::item_log::Changes;
use yuccanotch_core::forward::item_log::ItemChange;
use yuccanotch_core::forward::item_log::ItemLog;
use yuccanotch_core::forward::reason::LeavingSource;
use yuccanotch_core::forward::revision::era_of;
use yuccanotch_core::forward::routes::Configuration;
use yuccanotch_core::forward::servers::ServerChange;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerList;
use yuccanotch_core::name::ServerName;

use crate::adapter::ProtocolAdapter;
use crate::adapter::StoreKeys;
use crate::event_log::EventLog;

/// How long a host that cannot get the version by which another one has served its callers waits for it.
/// After that it serves by its own again rather than not at all.
const USED_VERSION_TTL: Millis = Millis(10_000);

/// The configuration in force, the list of servers and the store revision that they reflect.
pub struct Views {
    adapter: Rc<dyn ProtocolAdapter>,
    clock: Clock,
    event_log: Rc<EventLog>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    // The newest version by which another host has served a request of this one, and when that was heard
    // last.
    used_version: Cell<(u64, Millis)>,
    servers: RefCell<ServerList>,
    items: RefCell<ItemLog>,
    keys: StoreKeys,
    servers_read: Cell<bool>,
    restores: Cell<u64>,
    // The last revision, newer than this host's, that another host has reported.
    peer_revision: Cell<u64>,
    peer_is_newer: Notify,
    /// Notified when the configuration or the list of servers changes.
    pub changed: Notify,
}

/// Whether changes may be older than what is known, although their era is later.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Origin {
    /// The store as it is.
    Present,
    /// The first list after the store came back from an older copy.
    OlderCopy,
}

impl Views {
    /// Creates a view with no configuration and no servers.
    pub fn new(
        adapter: Rc<dyn ProtocolAdapter>,
        clock: Clock,
        event_log: Rc<EventLog>,
    ) -> Rc<Self> {
        Rc::new(Self {
            keys: adapter.store_keys(),
            adapter,
            clock,
            event_log,
            configuration: RefCell::default(),
            used_version: Cell::new((0, Millis::ZERO)),
            servers: RefCell::default(),
            items: RefCell::default(),
            servers_read: Cell::new(false),
            restores: Cell::new(0),
            peer_revision: Cell::new(0),
            peer_is_newer: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Records that another host has served a request of this one by `version` of the configuration;
    /// returns whether this host has an older one.
    pub fn on_version_used(&self, version: u64) -> bool {
        let (newest, _) = self.used_version.get();
        if version >= newest {
            self.used_version.set((version, self.clock.now()));
        }
        self.is_behind_used()
    }

    /// Returns whether a request of this host's callers was lately served by a newer version of the
    /// configuration than this host has.
    pub fn is_behind_used(&self) -> bool {
        let (newest, heard_at) = self.used_version.get();
        let is_recent = self.clock.now().since(heard_at) < USED_VERSION_TTL;
        is_recent && self.configuration.borrow().as_ref().is_none_or(|c| c.version < newest)
    }

    /// Returns the newest version by which a request of this host's callers may have been served.
    pub fn newest_version(&self) -> Option<u64> {
        let own = self.configuration.borrow().as_ref().map(|c| c.version);
        let (used, _) = self.used_version.get();
        own.max(self.is_behind_used().then_some(used))
    }

    /// Adopts an encoded configuration if its version is newer than the one in force. `source`
    /// names its origin in the log.
    fn adopt_configuration(&self, value: &Bytes, source: &str) {
        let new = match self.adapter.decode_configuration(value) {
            Ok(new) => new,
            Err(e) => {
                self.event_log.line(Event::EntryRejected, &[("source", &source), ("why", &e)]);
                return;
            }
        };
        let old = self.configuration.borrow().as_ref().map(|c| c.version);
        let version = new.version;
        if old.is_some_and(|old| old >= version) {
            let old = old.unwrap_or_default();
            self.event_log
                .line(Event::OlderVersionIgnored, &[("version", &version), ("in_force", &old)]);
            return;
        }
        *self.configuration.borrow_mut() = Some(Rc::new(new));
        let old = old.unwrap_or_default();
        self.event_log.line(
            Event::VersionAdopted,
            &[("version", &version), ("before", &old), ("source", &source)],
        );
        self.changed.notify_waiters();
    }

    /// Returns the list of servers.
    pub fn servers(&self) -> std::cell::Ref<'_, ServerList> {
        self.servers.borrow()
    }

    /// Returns whether the whole list of servers has been read at least once.
    pub fn servers_read(&self) -> bool {
        self.servers_read.get()
    }

    /// Applies changes that come from `source`, as far as they are newer than what is known.
    pub fn merge(&self, changes: Changes, source: &str) {
        let is_complete = changes.is_complete;
        let origin = self.origin_of(&changes);
        if origin == Origin::OlderCopy {
            self.on_store_restored(era_of(changes.revision), source);
        }
        let applied = self.items.borrow_mut().merge(changes);
        self.apply(applied, source, origin);
        if is_complete {
            self.servers_read.set(true);
            let count = self.servers.borrow().len();
            self.event_log.line(
                Event::ServerListChanged,
                &[("servers", &count), ("how", &"list"), ("source", &source)],
            );
            self.changed.notify_waiters();
        }
    }

    /// Returns whether changes may come from an older copy of the store than this host has seen.
    fn origin_of(&self, changes: &Changes) -> Origin {
        let is_later_era = era_of(changes.revision) > era_of(self.revision());
        if self.servers_read() && changes.is_complete && is_later_era {
            Origin::OlderCopy
        } else {
            Origin::Present
        }
    }

    fn on_store_restored(&self, era: u64, source: &str) {
        let before = era_of(self.revision());
        self.servers.borrow_mut().on_store_restored(self.clock.now());
        self.restores.set(self.restores.get() + 1);
        self.event_log
            .line(Event::StoreRestored, &[("era", &era), ("before", &before), ("source", &source)]);
    }

    /// Returns how often the store has come back from an older copy.
    pub fn restores(&self) -> u64 {
        self.restores.get()
    }

    /// Applies changes that are newer than what was known. If they hold several configurations,
    /// only the last one is adopted.
    fn apply(&self, changes: Vec<ItemChange>, source: &str, origin: Origin) {
        let mut configuration = None;
        for change in changes {
            if change.key == self.keys.configuration {
                configuration = change.value.or(configuration);
            } else if change.key.starts_with(&self.keys.servers) {
                self.on_server_change(self.decode_change(&change), origin);
            }
        }
        if let Some(value) = configuration {
            self.adopt_configuration(&value, source);
        }
    }

    /// Decodes the change of a server entry. An entry that cannot be decoded counts as removed.
    fn decode_change(&self, change: &ItemChange) -> ServerChange {
        let entry = change.value.as_ref().and_then(|v| self.decode_entry(&change.key, v));
        match entry {
            Some(entry) => ServerChange::Put(entry),
            None => ServerChange::Gone(self.adapter.server_name(&change.key)),
        }
    }

    /// Returns the changes after `revision`, for another host.
    pub fn changes_after(&self, revision: u64) -> Changes {
        self.items.borrow().changes_after(revision)
    }

    fn on_server_change(&self, change: ServerChange, origin: Origin) {
        let before = self.servers.borrow().generation();
        let now = self.clock.now();
        match origin {
            Origin::Present => self.servers.borrow_mut().on_change(now, change.clone()),
            Origin::OlderCopy => self.servers.borrow_mut().on_older_copy(now, change.clone()),
        }
        if self.servers.borrow().generation() == before {
            return;
        }
        match change {
            ServerChange::Put(e) => {
                let state = format!("{:?}", e.state);
                let layers = e.engine.as_ref().and_then(|e| e.layers);
                let layers = layers.map(|l| format!("{}-{}", l.from, l.to)).unwrap_or_default();
                self.event_log.line(
                    Event::ServerListChanged,
                    &[("server", &e.id), ("state", &state), ("layers", &layers)],
                );
            }
            ServerChange::Gone(id) => {
                self.event_log
                    .line(Event::ServerListChanged, &[("server", &id), ("state", &"Gone")]);
            }
        }
        self.changed.notify_waiters();
    }

    /// Records that the incarnation of `server` that started at `born` is leaving, whatever the list
    /// says; returns whether that is news.
    pub fn on_server_leaving(
        &self,
        server: &ServerName,
        born: Option<u64>,
        source: LeavingSource,
    ) -> bool {
        let now = self.clock.now();
        if !self.servers.borrow_mut().on_leaving(now, server, born, source) {
            return false;
        }
        self.event_log
            .line(Event::ServerLeaving, &[("server", server), ("source", &source.as_str())]);
        self.changed.notify_waiters();
        true
    }

    /// Returns the store revision up to which all changes are applied.
    pub fn revision(&self) -> u64 {
        self.items.borrow().revision()
    }

    /// Records that another host has applied changes up to `revision`.
    pub fn on_peer_revision(&self, revision: u64) {
        let own_revision = self.revision();
        if revision > own_revision && self.peer_revision.replace(revision) > own_revision {
            self.peer_is_newer.notify_waiters();
        }
    }

    /// Resolves when two messages have named revisions newer than this host's. The first one alone
    /// is not enough, since this host may be behind by less than one round of gossip.
    pub async fn wait_for_newer_peer(&self) {
        self.peer_is_newer.notified().await;
    }

    /// Records that the store answers again after an outage.
    pub fn on_store_recovered(&self) {
        self.servers.borrow_mut().on_store_recovered(self.clock.now());
    }

    /// Returns how much longer removals of server entries are delayed.
    pub fn removal_delay(&self) -> Millis {
        self.servers.borrow().removal_delay(self.clock.now())
    }

    /// Delays removals of server entries for `span` at least.
    pub fn delay_removals(&self, span: Millis) {
        self.servers.borrow_mut().delay_removals(self.clock.now(), span);
    }

    /// Updates state that depends on the time, such as entries whose removal is held back.
    pub fn on_tick(&self, now: Millis) {
        self.servers.borrow_mut().on_tick(now);
    }

    fn decode_entry(&self, key: &str, value: &[u8]) -> Option<ServerEntry> {
        let why = match self.adapter.decode_server(key, value) {
            Ok(entry) => match entry.fault() {
                None => return Some(entry),
                Some(fault) => fault.to_string(),
            },
            Err(e) => e.to_string(),
        };
        self.event_log.line(Event::EntryRejected, &[("key", &key), ("why", &why)]);
        None
    }
}
