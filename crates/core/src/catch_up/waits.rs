//! The waits of a host that is behind.

use crate::clock::Millis;

/// The shortest time limit that the waits follow.
const MIN_LIMIT: Millis = Millis(500);
/// The longest time between a host's checks whether it has to read the store.
const MAX_ROLE_CHECK_INTERVAL: Millis = Millis(100);

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

    /// Returns how long a host that reads the store leaves it without a call that is answered at once,
    /// while a call is held for the next change.
    pub fn store_check_interval(&self) -> Millis {
        Millis(self.limit.0 / 6)
    }

    /// Returns how long such a call may take.
    pub fn store_check_timeout(&self) -> Millis {
        Millis(self.limit.0 / 6)
    }

    /// Returns how long after the store's last answer a host still says that it reads the store. One
    /// check without an answer is too few to doubt it.
    pub fn store_answer_ttl(&self) -> Millis {
        Millis(self.limit.0 * 2 / 5)
    }

    /// Returns the shortest time after the store's last answer to a host that reads it for the failure
    /// domain, after which any other host reads it itself; hosts add up to [`Self::reader_spread`].
    pub fn reader_silence(&self) -> Millis {
        Millis(self.limit.0 / 2)
    }

    /// Returns the span over which the hosts of a domain spread that step.
    pub fn reader_spread(&self) -> Millis {
        Millis(self.limit.0 / 4)
    }

    /// Returns the time between a host's checks whether it has to read the store.
    pub fn role_check_interval(&self) -> Millis {
        Millis(self.limit.0 / 20).min(MAX_ROLE_CHECK_INTERVAL)
    }

    /// Returns how long a host may be behind what it has heard of before it reads the store itself.
    pub fn store_fallback(&self) -> Millis {
        Millis(self.limit.0 / 2)
    }

    /// Returns the longest time for which a change may be in the store before a host begins to read it
    /// itself: from the store's last answer to the hosts that read it for the failure domain, or from
    /// the moment at which this host hears of changes that it does not get.
    pub fn worst_case(&self) -> Millis {
        let without_reader = self.reader_silence() + self.reader_spread();
        without_reader.max(self.store_fallback()) + self.role_check_interval()
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
