//! The ranks of the requests of a service.

use std::fmt;

use smallvec::SmallVec;

/// The largest rank; further priorities share it.
pub const MAX_RANK: Rank = Rank(9);

/// The place of a priority among the distinct priorities of a service; 0 is the most urgent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Rank(pub u8);

impl Rank {
    /// The most urgent rank.
    pub const MOST_URGENT: Self = Self(0);
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The distinct priorities that requests of a service can have; two or more.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Ranks {
    priorities: SmallVec<[u8; 4]>,
}

impl Ranks {
    /// Creates the ranks of a service; `None` if `priorities` has fewer than two distinct values,
    /// since no request is then more urgent than another.
    pub fn new(priorities: impl IntoIterator<Item = u8>) -> Option<Self> {
        let mut priorities: SmallVec<[u8; 4]> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        (priorities.len() >= 2).then_some(Self { priorities })
    }

    /// Returns the rank of a request with `priority`. A priority that is not among those of the
    /// service, as with a request of an earlier configuration, has the rank of the next less urgent
    /// one.
    pub fn rank(&self, priority: u8) -> Rank {
        let index = self.priorities.partition_point(|p| *p < priority);
        let rank = u8::try_from(index).unwrap_or(u8::MAX);
        Rank(rank).min(self.least_urgent())
    }

    /// Returns the least urgent rank.
    pub fn least_urgent(&self) -> Rank {
        Rank(u8::try_from(self.priorities.len() - 1).unwrap_or(u8::MAX)).min(MAX_RANK)
    }
}
