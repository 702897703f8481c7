//! This host's view of the cluster: the configuration in force and the list of servers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use tokio::sync::Notify;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::routes::Configuration;
use yuccanotch_core::forward::servers::ServerChange;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::forward::servers::ServerList;

use crate::adapter::Item;
use crate::adapter::ProtocolAdapter;
use crate::event_log::EventLog;

/// The configuration in force, the list of servers and the store revision that they reflect.
pub struct Views {
    adapter: Rc<dyn ProtocolAdapter>,
    clock: Clock,
    event_log: Rc<EventLog>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    configuration_bytes: RefCell<Bytes>,
    servers: RefCell<ServerList>,
    server_values: RefCell<BTreeMap<String, Bytes>>,
    servers_read: Cell<bool>,
    revision: Cell<u64>,
    // The last revision, newer than this host's, that another host has reported.
    peer_revision: Cell<u64>,
    peer_is_newer: Notify,
    /// Notified when the configuration or the list of servers changes.
    pub changed: Notify,
}

impl Views {
    /// Creates a view with no configuration and no servers.
    pub fn new(
        adapter: Rc<dyn ProtocolAdapter>,
        clock: Clock,
        event_log: Rc<EventLog>,
    ) -> Rc<Self> {
        Rc::new(Self {
            adapter,
            clock,
            event_log,
            configuration: RefCell::default(),
            configuration_bytes: RefCell::default(),
            servers: RefCell::default(),
            server_values: RefCell::default(),
            servers_read: Cell::new(false),
            revision: Cell::new(0),
            peer_revision: Cell::new(0),
            peer_is_newer: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the encoded configuration in force, as the store or another host gave it.
    pub fn configuration_bytes(&self) -> Bytes {
        self.configuration_bytes.borrow().clone()
    }

    /// Adopts an encoded configuration if its version is newer than the one in force. `source`
    /// names its origin in the log.
    pub fn on_configuration(&self, value: &Bytes, source: &str) {
        if *self.configuration_bytes.borrow() == *value {
            return;
        }
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
        *self.configuration_bytes.borrow_mut() = value.clone();
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

    /// Returns whether the whole list of servers has been read from the store at least once.
    pub fn servers_read(&self) -> bool {
        self.servers_read.get()
    }

    /// Replaces the list of servers by the one read from the store.
    pub fn on_server_list(&self, items: &[Item]) {
        let values = items.iter().map(|i| (i.key.clone(), i.value.clone())).collect();
        *self.server_values.borrow_mut() = values;
        let entries = items.iter().filter_map(|i| self.decode_entry(&i.key, &i.value)).collect();
        self.servers.borrow_mut().on_list(self.clock.now(), entries);
        self.servers_read.set(true);
        let count = self.servers.borrow().len();
        self.event_log.line(Event::ServerListChanged, &[("servers", &count), ("how", &"list")]);
        self.changed.notify_waiters();
    }

    /// Returns the keys and encoded values of the server entries, as the store gave them.
    pub fn server_values(&self) -> Vec<(String, Vec<u8>)> {
        self.server_values.borrow().iter().map(|(k, v)| (k.clone(), v.to_vec())).collect()
    }

    /// Replaces the list of servers by the entries in another host's snapshot.
    pub fn on_peer_servers(&self, values: &[(String, Vec<u8>)]) {
        let entries = values.iter().filter_map(|(k, v)| self.decode_entry(k, v)).collect();
        self.servers.borrow_mut().on_list(self.clock.now(), entries);
        self.changed.notify_waiters();
    }

    /// Applies a server entry that was written to the store. An entry that cannot be decoded counts
    /// as removed.
    pub fn on_server_put(&self, item: &Item) {
        self.server_values.borrow_mut().insert(item.key.clone(), item.value.clone());
        let change = match self.decode_entry(&item.key, &item.value) {
            Some(entry) => ServerChange::Put(entry),
            None => ServerChange::Gone(self.adapter.server_name(&item.key)),
        };
        self.on_server_change(change);
    }

    /// Applies the removal of a server entry from the store.
    pub fn on_server_removed(&self, key: &str) {
        self.server_values.borrow_mut().remove(key);
        self.on_server_change(ServerChange::Gone(self.adapter.server_name(key)));
    }

    fn on_server_change(&self, change: ServerChange) {
        let before = self.servers.borrow().generation();
        self.servers.borrow_mut().on_change(self.clock.now(), change.clone());
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

    /// Records that all changes up to `revision` of the store are applied.
    pub fn on_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// Returns the store revision up to which all changes are applied.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Records that another host has applied changes up to `revision`.
    pub fn on_peer_revision(&self, revision: u64) {
        let own_revision = self.revision.get();
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

    /// Updates state that depends on the time, such as entries whose removal is held back.
    pub fn on_tick(&self, now: Millis) {
        self.servers.borrow_mut().on_tick(now);
    }

    fn decode_entry(&self, key: &str, value: &[u8]) -> Option<ServerEntry> {
        match self.adapter.decode_server(key, value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                self.event_log.line(Event::EntryRejected, &[("key", &key), ("why", &e)]);
                None
            }
        }
    }
}
