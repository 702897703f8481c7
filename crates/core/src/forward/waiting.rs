//! The order in which the requests of a host that wait for room at servers get it.

use std::collections::BTreeSet;

/// How far the answer of a request has come.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Progress {
    /// The caller has a part of it, which is lost if the request gets no further.
    Begun,
    /// The caller has nothing.
    NotBegun,
}

/// The place of a request among those that wait; a lesser one goes before.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct QueuePosition {
    rank: Rank,
    arrival: u64,
}

/// What decides which requests go before others. Requests of one rank look for room side by side:
/// a large one that finds none does not keep smaller ones from what there is.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    progress: Progress,
    priority: u8,
}

/// The requests of one service that wait for room.
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

    /// Removes a request that has got room or waits no longer.
    pub fn remove(&mut self, position: QueuePosition) {
        self.positions.remove(&position);
    }

    /// Returns whether no request that waits goes before the one at `position`.
    pub fn may_try(&self, position: QueuePosition) -> bool {
        self.positions.first().is_none_or(|first| first.rank >= position.rank)
    }

    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.positions.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.positions.is_empty()
    }
}
