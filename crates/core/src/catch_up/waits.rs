//! The waits of a host that is behind.

use crate::clock::Millis;

/// The shortest time limit that the waits follow.
const MIN_LIMIT: Millis = Millis(500);

/// The waits that follow from the time within which a change has to be in force on every host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Waits {
    limit: Millis,
}

impl Waits {
    /// Creates the waits for a time limit; one below 500 ms counts as 500 ms.
    pub fn new(limit: Millis) -> Self {
        Self { limit: limit.max(MIN_LIMIT) }
    }

    /// Returns the time limit itself.
    pub fn limit(&self) -> Millis {
        self.limit
    }

    /// Returns how long a source may leave a request without a first byte before another one is
    /// asked beside it.
    pub fn first_byte(&self) -> Millis {
        Millis(self.limit.0 / 6)
    }

    /// Returns how long a host that reads the store waits for changes that another host has, before it
    /// fetches them from there.
    pub fn store_silence(&self) -> Millis {
        Millis(self.limit.0 / 6)
    }

    /// Returns the shortest time without a host of the own failure domain that reads the store after
    /// which any other host reads it itself; hosts add up to [`Self::reader_spread`].
    pub fn reader_silence(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }

    /// Returns the span over which the hosts of a domain spread that step.
    pub fn reader_spread(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }

    /// Returns how long a host may be behind what it has heard of before it reads the store itself.
    pub fn store_fallback(&self) -> Millis {
        Millis(self.limit.0 / 2)
    }

    /// Returns the longest time from the moment at which a host hears no host of its domain that reads
    /// the store, or hears of changes that it does not get, until it reads the store itself.
    pub fn worst_case(&self) -> Millis {
        (self.reader_silence() + self.reader_spread()).max(self.store_fallback())
    }

    /// Returns how long a request may wait for its turn before it is given up.
    pub fn queue_wait(&self) -> Millis {
        Millis(self.limit.0 / 2)
    }

    /// Returns how long a source may send nothing in the middle of an answer.
    pub fn silence(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }

    /// Returns how long a request may wait for changes that would allow it.
    pub fn request_wait(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }

    /// Returns how long a source is asked only if there is no other one after a fetch from it failed.
    pub fn source_backoff(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }
}
