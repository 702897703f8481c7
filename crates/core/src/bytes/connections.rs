//! The open connections of a listener, and which of them is closed when a new one needs its place.

use std::collections::BTreeMap;

use crate::clock::Millis;

/// The part of the connections beyond which no further one ends after its answer, as a divisor. It
/// keeps sound callers from all having to connect anew under overload, and lets one of few end.
const ENDING_SHARE: usize = 8;

/// An open connection.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ConnectionId(u64);

#[derive(Clone, Copy, Debug)]
struct OpenConnection {
    idle_since: Millis,
    /// The number of requests that are not answered completely.
    requests: usize,
    has_answered: bool,
    is_ending: bool,
}

/// The open connections of a listener, each with the time since which it has no request.
#[derive(Debug)]
pub struct OpenConnections {
    connections: BTreeMap<ConnectionId, OpenConnection>,
    /// How long a connection that has been answered stays open without a request at least.
    kept_for: Millis,
    next: u64,
}

impl OpenConnections {
    /// Creates an empty set of connections. Those that have been answered are not closed for others
    /// within `kept_for`, since the system may still hold a part of the answer.
    pub fn new(kept_for: Millis) -> Self {
        Self { connections: BTreeMap::new(), kept_for, next: 0 }
    }

    /// Adds a connection that is accepted at `now`.
    pub fn begin(&mut self, now: Millis) -> ConnectionId {
        let id = ConnectionId(self.next);
        self.next += 1;
        let connection =
            OpenConnection { idle_since: now, requests: 0, has_answered: false, is_ending: false };
        self.connections.insert(id, connection);
        id
    }

    /// Records that the head of a request has arrived.
    pub fn on_request(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests += 1;
        }
    }

    /// Records that the answer to a request was passed on completely, or given up.
    pub fn on_answered(&mut self, now: Millis, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.requests = connection.requests.saturating_sub(1);
            connection.idle_since = now;
            connection.has_answered = true;
        }
    }

    /// Removes a connection that is closed.
    pub fn end(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// Returns the number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Removes and returns the connection that has had no whole head of a request for the longest time;
    /// `None` if all of them have requests or have been answered a short time ago.
    pub fn take_oldest_idle(&mut self, now: Millis) -> Option<ConnectionId> {
        let idle = self.connections.iter().filter(|(_, c)| {
            let is_kept = c.has_answered && now.since(c.idle_since) < self.kept_for;
            c.requests == 0 && !is_kept && !c.is_ending
        });
        let (id, _) = idle.min_by_key(|(_, c)| c.idle_since)?;
        let id = *id;
        self.connections.remove(&id);
        Some(id)
    }

    /// Chooses the oldest connection with a request, which is to end after the answer to it; `None` if
    /// enough of them are about to end. A caller that pipelines requests without end leaves its place
    /// in this way, and no request is cut.
    pub fn choose_to_end(&mut self) -> Option<ConnectionId> {
        let ending = self.connections.values().filter(|c| c.is_ending).count();
        if ending > self.connections.len() / ENDING_SHARE {
            return None;
        }
        let mut busy = self.connections.iter_mut().filter(|(_, c)| c.requests > 0 && !c.is_ending);
        let (id, connection) = busy.next()?;
        connection.is_ending = true;
        Some(*id)
    }
}
