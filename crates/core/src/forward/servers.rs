//! The list of backend servers as the platform publishes it in the store.
//!
//! Entries that expire because the store was not reachable are kept for a grace period.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use crate::clock::Millis;
use crate::defect::planted;
use crate::forward::leaving::LeavingServers;
use crate::forward::reason::EntryFault;
use crate::forward::reason::LeavingSource;
use crate::name::DomainName;
use crate::name::ServerName;
use crate::name::ServiceName;
use crate::placement::engine::LayerRange;

/// How long entries that expired while the store was unreachable are kept after the store answers
/// again.
pub const LAPSE_GRACE: Millis = Millis(2_000);

/// How long the list remembers entries that were removed.
const DEPARTED_TTL: Millis = Millis(60_000);

/// The longest name in an entry, in bytes.
const MAX_NAME_BYTES: usize = 256;

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServerState {
    /// The server takes new work.
    Ready,
    /// The server finishes its requests and then stops.
    Leaving,
}

/// The part of a server's entry that describes its model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EngineEntry {
    /// The kind of accelerator, as the service's engine profile lists it.
    pub kind: String,
    /// The layers that it holds, if any.
    pub layers: Option<LayerRange>,
    /// The version of the weights that it holds.
    pub version: u64,
}

/// The entry of one server in the list.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServerEntry {
    /// The name of the server. Where the platform gives a new name at each start, it also
    /// identifies the incarnation.
    pub id: ServerName,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The failure domain that it is in.
    pub domain: DomainName,
    /// Whether it takes new work.
    pub state: ServerState,
    /// The number of requests that it runs at the same time.
    pub slots: u32,
    /// When it started, in ms since the Unix epoch.
    pub born: Option<u64>,
    /// The description of the engine, for servers of model engines.
    pub engine: Option<EngineEntry>,
}

impl ServerEntry {
    /// Returns why the entry names no server that can be used, whoever wrote it; `None` if it may.
    pub fn fault(&self) -> Option<EntryFault> {
        let ip = self.address.ip();
        let is_host = !ip.is_unspecified() && !ip.is_multicast() && !ip.is_broadcast();
        let is_name = |name: &str| (1..=MAX_NAME_BYTES).contains(&name.len());
        let kind = self.engine.as_ref().map(|engine| engine.kind.as_str());
        let mut names =
            [self.id.as_str(), self.service.as_str(), self.domain.as_str()].into_iter().chain(kind);
        if self.address.port() == 0 || !is_host {
            Some(EntryFault::Address)
        } else if !names.all(is_name) {
            Some(EntryFault::Name)
        } else {
            None
        }
    }

    /// Returns whether the server takes no new work, since it leaves.
    pub fn is_leaving(&self) -> bool {
        self.state == ServerState::Leaving
    }

    /// Returns whether requests of its service may begin at it: it is a plain server, or it holds the
    /// first layer.
    pub fn begins_requests(&self) -> bool {
        let layers = self.engine.as_ref().map(|engine| engine.layers);
        layers.is_none_or(|layers| layers.is_some_and(|l| l.from == 0))
    }
}

/// A change of the list.
#[derive(Clone, Debug)]
pub enum ServerChange {
    /// An entry was written.
    Put(ServerEntry),
    /// An entry was removed, or is no longer usable.
    Gone(ServerName),
}

/// An entry of the list. `removal_at` is set if the store removed the entry and it is only kept for
/// the grace period.
#[derive(Clone, Debug)]
struct ListedServer {
    entry: ServerEntry,
    removal_at: Option<Millis>,
}

/// An entry that was removed, which an older copy of the store may still have.
#[derive(Clone, Copy, Debug)]
struct DepartedServer {
    born: Option<u64>,
    removed_at: Millis,
}

/// The list of servers that this host uses.
#[derive(Debug, Default)]
pub struct ServerList {
    listed: HashMap<ServerName, ListedServer>,
    // Outlives the entries, which may be older than the announcements.
    leaving: LeavingServers,
    // Entries of an older copy of the store that differ from what is known.
    held: HashMap<ServerName, ServerEntry>,
    departed: HashMap<ServerName, DepartedServer>,
    grace_until: Millis,
    generation: u64,
}

impl ServerList {
    /// Replaces the list by `entries`; entries that are missing there are removed.
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

    /// Applies one change to the list.
    pub fn on_change(&mut self, now: Millis, change: ServerChange) {
        match change {
            ServerChange::Put(mut entry) => {
                self.held.remove(&entry.id);
                self.departed.remove(&entry.id);
                if self.leaving.includes(&entry) && !planted!(LeavingForgottenOnReload) {
                    entry.state = ServerState::Leaving;
                }
                let is_unchanged = self
                    .listed
                    .get(&entry.id)
                    .is_some_and(|listed| listed.entry == entry && listed.removal_at.is_none());
                if !is_unchanged {
                    self.generation += 1;
                    self.listed.insert(entry.id.clone(), ListedServer { entry, removal_at: None });
                }
            }
            ServerChange::Gone(id) => self.on_gone(now, &id),
        }
    }

    /// Applies a change that comes from the first list that was read after the store came back from
    /// an older copy; see [`Self::on_store_restored`].
    ///
    /// What differs from what is known is held back for [`LAPSE_GRACE`], since servers write their
    /// entries again; an entry that was removed is not taken from the copy at all.
    pub fn on_older_copy(&mut self, now: Millis, change: ServerChange) {
        let is_held = match &change {
            ServerChange::Put(entry) => self.is_known_better(entry) && !planted!(OlderCopyAdopted),
            ServerChange::Gone(_) => false,
        };
        match change {
            ServerChange::Put(entry) if is_held => {
                if self.listed.contains_key(&entry.id) {
                    self.held.insert(entry.id.clone(), entry);
                }
            }
            change => self.on_change(now, change),
        }
    }

    /// Returns whether this host may know a later state of the incarnation that `entry` of an older
    /// copy describes.
    fn is_known_better(&self, entry: &ServerEntry) -> bool {
        let is_later =
            |born: Option<u64>| matches!((entry.born, born), (Some(e), Some(b)) if e > b);
        if let Some(departed) = self.departed.get(&entry.id) {
            return !is_later(departed.born);
        }
        let known = self.listed.get(&entry.id).map(|listed| &listed.entry);
        known.is_some_and(|known| {
            known != entry && entry.state == ServerState::Ready && !is_later(known.born)
        })
    }

    fn on_gone(&mut self, now: Millis, id: &ServerName) {
        self.held.remove(id);
        let Some(listed) = self.listed.get_mut(id) else {
            return;
        };
        let may_return = listed.entry.state == ServerState::Ready || planted!(LeavingEntryKept);
        if now < self.grace_until && may_return {
            listed.removal_at.get_or_insert(self.grace_until);
            return;
        }
        self.remove(now, id);
    }

    fn remove(&mut self, now: Millis, id: &ServerName) {
        if let Some(listed) = self.listed.remove(id) {
            let departed = DepartedServer { born: listed.entry.born, removed_at: now };
            self.departed.insert(id.clone(), departed);
            self.generation += 1;
        }
    }

    /// Records that the incarnation of the server `id` that started at `born` is leaving, whatever
    /// its entry says; returns whether that is news.
    pub fn on_leaving(
        &mut self,
        now: Millis,
        id: &ServerName,
        born: Option<u64>,
        source: LeavingSource,
    ) -> bool {
        if !self.leaving.insert(now, id, born, source) {
            return false;
        }
        let leaving = &self.leaving;
        let listed = self.listed.get_mut(id).filter(|listed| leaving.includes(&listed.entry));
        let Some(listed) = listed.filter(|listed| listed.entry.state == ServerState::Ready) else {
            return false;
        };
        listed.entry.state = ServerState::Leaving;
        self.generation += 1;
        true
    }

    /// Returns the listed servers that have announced to this host itself that they are leaving,
    /// with their starts.
    pub fn announced_leaving(&self) -> impl Iterator<Item = (&ServerName, Option<u64>)> {
        self.leaving.received().filter(|(id, _)| self.listed.contains_key(*id))
    }

    /// Records that the store answers again after it was unreachable. Entries may have expired in
    /// the meantime, so removals are delayed for [`LAPSE_GRACE`].
    pub fn on_store_recovered(&mut self, now: Millis) {
        self.grace_until = now + LAPSE_GRACE;
    }

    /// Records that the store has come back from an older copy, which lacks what was written since;
    /// removals are delayed for [`LAPSE_GRACE`].
    pub fn on_store_restored(&mut self, now: Millis) {
        self.grace_until = self.grace_until.max(now + LAPSE_GRACE);
    }

    /// Returns how much longer removals are delayed.
    pub fn removal_delay(&self, now: Millis) -> Millis {
        self.grace_until.since(now)
    }

    /// Delays removals for `span` at least, as the host does from which they come.
    pub fn delay_removals(&mut self, now: Millis, span: Millis) {
        self.grace_until = self.grace_until.max(now + span.min(LAPSE_GRACE));
    }

    /// Drops entries whose grace period is over, and announcements of servers that are gone.
    pub fn on_tick(&mut self, now: Millis) {
        let listed = &self.listed;
        self.leaving.on_tick(now, |id| listed.contains_key(id));
        self.departed.retain(|_, departed| now.since(departed.removed_at) < DEPARTED_TTL);
        if now >= self.grace_until {
            for (_, entry) in std::mem::take(&mut self.held) {
                self.on_change(now, ServerChange::Put(entry));
            }
        }
        let is_over = |listed: &ListedServer| listed.removal_at.is_some_and(|at| now >= at);
        let over = self.listed.iter().filter(|(_, listed)| is_over(listed));
        let over: Vec<ServerName> = over.map(|(id, _)| id.clone()).collect();
        over.iter().for_each(|id| self.remove(now, id));
    }

    /// Returns a number that increases with each change of the list.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Returns the entry of the server `id`.
    pub fn get(&self, id: &ServerName) -> Option<&ServerEntry> {
        self.listed.get(id).map(|listed| &listed.entry)
    }

    /// Returns all entries.
    pub fn iter(&self) -> impl Iterator<Item = &ServerEntry> {
        self.listed.values().map(|listed| &listed.entry)
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.listed.len()
    }

    /// Returns whether the list has no entry.
    pub fn is_empty(&self) -> bool {
        self.listed.is_empty()
    }
}
