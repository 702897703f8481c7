//! What the host believes: the configuration in force and the list of servers.

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

use crate::edge::Edge;
use crate::edge::Item;
use crate::journal::Journal;

/// The configuration and the servers, with their age.
pub struct Views {
    edge: Rc<dyn Edge>,
    clock: Clock,
    journal: Rc<Journal>,
    configuration: RefCell<Option<Rc<Configuration>>>,
    configuration_value: RefCell<Bytes>,
    servers: RefCell<ServerList>,
    server_values: RefCell<BTreeMap<String, Bytes>>,
    servers_read: Cell<bool>,
    revision: Cell<u64>,
    ahead: Cell<u64>,
    ahead_seen: Notify,
    /// Told of each change of the servers.
    pub changed: Notify,
}

impl Views {
    /// Creates views that know nothing.
    pub fn new(edge: Rc<dyn Edge>, clock: Clock, journal: Rc<Journal>) -> Rc<Self> {
        Rc::new(Self {
            edge,
            clock,
            journal,
            configuration: RefCell::default(),
            configuration_value: RefCell::default(),
            servers: RefCell::default(),
            server_values: RefCell::default(),
            servers_read: Cell::new(false),
            revision: Cell::new(0),
            ahead: Cell::new(0),
            ahead_seen: Notify::new(),
            changed: Notify::new(),
        })
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<Rc<Configuration>> {
        self.configuration.borrow().clone()
    }

    /// Returns the bytes of the configuration in force, as its source gave them.
    pub fn configuration_value(&self) -> Bytes {
        self.configuration_value.borrow().clone()
    }

    /// Adopts a configuration if it is newer than the one in force.
    pub fn on_configuration(&self, value: &Bytes, source: &str) {
        if *self.configuration_value.borrow() == *value {
            return;
        }
        let new = match self.edge.configuration(value) {
            Ok(new) => new,
            Err(e) => {
                self.journal.line(Event::EntryRejected, &[("source", &source), ("why", &e)]);
                return;
            }
        };
        let old = self.configuration.borrow().as_ref().map(|c| c.version);
        let version = new.version;
        if old.is_some_and(|old| old >= version) {
            let old = old.unwrap_or_default();
            self.journal
                .line(Event::OlderVersionIgnored, &[("version", &version), ("in_force", &old)]);
            return;
        }
        *self.configuration.borrow_mut() = Some(Rc::new(new));
        *self.configuration_value.borrow_mut() = value.clone();
        let old = old.unwrap_or_default();
        self.journal.line(
            Event::VersionAdopted,
            &[("version", &version), ("before", &old), ("source", &source)],
        );
        self.changed.notify_waiters();
    }

    /// Returns the list of servers.
    pub fn servers(&self) -> std::cell::Ref<'_, ServerList> {
        self.servers.borrow()
    }

    /// Returns whether the list of servers has been read whole.
    pub fn servers_read(&self) -> bool {
        self.servers_read.get()
    }

    /// Takes in a whole list of servers.
    pub fn on_server_list(&self, items: &[Item]) {
        let values = items.iter().map(|i| (i.key.clone(), i.value.clone())).collect();
        *self.server_values.borrow_mut() = values;
        let entries = items.iter().filter_map(|i| self.read_entry(&i.key, &i.value)).collect();
        self.servers.borrow_mut().on_list(self.clock.now(), entries);
        self.servers_read.set(true);
        let count = self.servers.borrow().len();
        self.journal.line(Event::ServerListChanged, &[("servers", &count), ("how", &"list")]);
        self.changed.notify_waiters();
    }

    /// Returns keys and values of the list of servers, as their source gave them.
    pub fn server_values(&self) -> Vec<(String, Vec<u8>)> {
        self.server_values.borrow().iter().map(|(k, v)| (k.clone(), v.to_vec())).collect()
    }

    /// Takes in a list that another host holds.
    pub fn on_peer_servers(&self, values: &[(String, Vec<u8>)]) {
        let entries = values.iter().filter_map(|(k, v)| self.read_entry(k, v)).collect();
        self.servers.borrow_mut().on_list(self.clock.now(), entries);
        self.changed.notify_waiters();
    }

    /// Takes in a written entry.
    pub fn on_server_put(&self, item: &Item) {
        self.server_values.borrow_mut().insert(item.key.clone(), item.value.clone());
        let change = match self.read_entry(&item.key, &item.value) {
            Some(entry) => ServerChange::Put(entry),
            None => ServerChange::Gone(self.edge.server_name(&item.key)),
        };
        self.on_server_change(change);
    }

    /// Takes in a removed entry.
    pub fn on_server_removed(&self, key: &str) {
        self.server_values.borrow_mut().remove(key);
        self.on_server_change(ServerChange::Gone(self.edge.server_name(key)));
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
                self.journal.line(
                    Event::ServerListChanged,
                    &[("server", &e.id), ("state", &state), ("layers", &layers)],
                );
            }
            ServerChange::Gone(id) => {
                self.journal.line(Event::ServerListChanged, &[("server", &id), ("state", &"Gone")]);
            }
        }
        self.changed.notify_waiters();
    }

    /// Notes the store's revision up to which changes are known.
    pub fn on_revision(&self, revision: u64) {
        self.revision.set(self.revision.get().max(revision));
    }

    /// Returns the store's revision up to which changes are known.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Notes that another host knows changes up to `revision`.
    pub fn on_peer_revision(&self, revision: u64) {
        let behind = self.revision.get();
        if revision > behind && self.ahead.replace(revision) > behind {
            self.ahead_seen.notify_waiters();
        }
    }

    /// Resolves when another host has known more for longer than a round of datagrams.
    pub async fn behind(&self) {
        self.ahead_seen.notified().await;
    }

    /// Notes that the store answers again.
    pub fn on_store_back(&self) {
        self.servers.borrow_mut().on_store_back(self.clock.now());
    }

    /// Lets the time pass.
    pub fn on_tick(&self, now: Millis) {
        self.servers.borrow_mut().on_tick(now);
    }

    fn read_entry(&self, key: &str, value: &[u8]) -> Option<ServerEntry> {
        match self.edge.server(key, value) {
            Ok(entry) => Some(entry),
            Err(e) => {
                self.journal.line(Event::EntryRejected, &[("key", &key), ("why", &e)]);
                None
            }
        }
    }
}
