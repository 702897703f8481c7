//! The list of backend servers as the platform publishes it, and how far it is believed.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::defect::planted;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::name::ServiceName;
use crate::placement::engine::LayerRange;

/// How long an entry that lapsed while the store was away is still believed after its return.
pub const LAPSE_GRACE: Millis = Millis(2_000);

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// It takes new work.
    Ready,
    /// It finishes what it has and leaves.
    Leaving,
}

/// What a model engine reports of itself.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineEntry {
    /// The kind of accelerator, as the service's engine profile lists it.
    pub kind: String,
    /// The layers held, if any.
    pub layers: Option<LayerRange>,
    /// The version of the weights held.
    pub version: u64,
}

/// One server of the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// Names the server, and so its incarnation where that is new at each start.
    pub id: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its failure domain.
    pub domain: DomainName,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Requests that it runs at once.
    pub slots: u32,
    /// When it started, in ms since the Unix epoch.
    pub born: Option<u64>,
    /// The engine's part, for servers of model engines.
    pub engine: Option<EngineEntry>,
}

/// A change of the list.
#[derive(Clone, Debug)]
pub enum ServerChange {
    /// An entry was written.
    Put(ServerEntry),
    /// An entry is gone, or cannot be used any more.
    Gone(ServerName),
}

#[derive(Clone, Debug)]
struct ListedServer {
    entry: ServerEntry,
    removal_at: Option<Millis>,
}

/// The believed list of servers, with the store's revision and its age.
#[derive(Debug, Default)]
pub struct ServerList {
    listed: HashMap<ServerName, ListedServer>,
    grace_until: Millis,
    generation: u64,
}

impl ServerList {
    /// Takes in a whole list; entries that it lacks are gone.
    pub fn on_list(&mut self, now: Millis, entries: Vec<ServerEntry>) {
        let missing: Vec<ServerName> = self
            .listed
            .keys()
            .filter(|id| !entries.iter().any(|e| e.id == **id))
            .cloned()
            .collect();
        for id in missing {
            self.on_change(now, ServerChange::Gone(id));
        }
        for entry in entries {
            self.on_change(now, ServerChange::Put(entry));
        }
    }

    /// Takes in one change.
    pub fn on_change(&mut self, now: Millis, change: ServerChange) {
        match change {
            ServerChange::Put(entry) => {
                let is_unchanged = self
                    .listed
                    .get(&entry.id)
                    .is_some_and(|k| k.entry == entry && k.removal_at.is_none());
                if !is_unchanged {
                    self.generation += 1;
                    self.listed.insert(entry.id.clone(), ListedServer { entry, removal_at: None });
                }
            }
            ServerChange::Gone(id) => self.on_gone(now, &id),
        }
    }

    fn on_gone(&mut self, now: Millis, id: &ServerName) {
        let Some(listed) = self.listed.get_mut(id) else {
            return;
        };
        let may_return = listed.entry.state == ServerState::Ready || planted!(LeavingEntryKept);
        if now < self.grace_until && may_return {
            listed.removal_at.get_or_insert(self.grace_until);
            return;
        }
        self.listed.remove(id);
        self.generation += 1;
    }

    /// Notes that the store answers again after it was away: entries may have lapsed meanwhile.
    pub fn on_store_recovered(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Drops entries whose grace after a lapse is over.
    pub fn on_tick(&mut self, now: Millis) {
        let before = self.listed.len();
        self.listed.retain(|_, k| k.removal_at.is_none_or(|at| now < at));
        if self.listed.len() != before {
            self.generation += 1;
        }
    }

    /// Returns a number that rises with each change.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the entry called `id`.
    pub fn get(&self, id: &ServerName) -> Option<&ServerEntry> {
        self.listed.get(id).map(|k| &k.entry)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &ServerEntry> {
        self.listed.values().map(|k| &k.entry)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether no entry is known.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }
}
