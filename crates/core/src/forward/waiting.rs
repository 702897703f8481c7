//! The queue of a host's requests that wait for free capacity at servers.

use std::collections::BTreeSet;

/// Whether the answer of a request has begun. Begun answers go first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// The caller has a part of the answer, which is lost if the request fails.
    Begun,
    /// The caller has nothing of the answer yet.
    NotBegun,
}

/// The position of a request in the queue; the least position goes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    rank: Rank,
    arrival: u64,
}

/// The rank of a request in the queue. Requests of the same rank may all try to get capacity: a
/// large request that finds none does not block smaller ones.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    progress: Progress,
    priority: u8,
}

/// The requests of one service that wait for capacity.
#[derive(Debug, Default)]
pub struct WaitQueue {
    positions: BTreeSet<QueuePosition>,
    last_arrival: u64,
}

impl WaitQueue {
    /// Adds a request; `priority` 0 is the most urgent.
    pub fn insert(&mut self, progress: Progress, priority: u8) -> QueuePosition {
        self.last_arrival += 1;
        let rank = Rank { progress, priority };
        let position = QueuePosition { rank, arrival: self.last_arrival };
        self.positions.insert(position);
        position
    }

    /// Returns the position of a request that only some servers may take. It blocks no other request,
    /// since the servers that others find may be of no use to it.
    pub fn position_without_precedence(&mut self, priority: u8) -> QueuePosition {
        self.last_arrival += 1;
        let rank = Rank { progress: Progress::Begun, priority };
        QueuePosition { rank, arrival: self.last_arrival }
    }

    /// Returns the position of a request that only some servers may take and that gives way to more
    /// urgent ones. It blocks no other request.
    pub fn position_behind_urgent(&mut self, priority: u8) -> QueuePosition {
        self.last_arrival += 1;
        let rank = Rank { progress: Progress::NotBegun, priority };
        QueuePosition { rank, arrival: self.last_arrival }
    }

    /// Removes a request that got capacity or no longer waits.
    pub fn remove(&mut self, position: QueuePosition) {
        self.positions.remove(&position);
    }

    /// Returns whether the request at `position` may try to get capacity: no request of a rank
    /// before its own waits.
    pub fn may_try(&self, position: QueuePosition) -> bool {
        self.positions.first().is_none_or(|first| first.rank >= position.rank)
    }

    /// Returns the number of requests that wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
