//! How long a host has been behind what it has heard of.

use crate::clock::Millis;

/// The newest revision that this host had heard of when it fell behind, and when that was.
#[derive(Debug, Default)]
pub struct Lag {
    target: Option<(u64, Millis)>,
}

impl Lag {
    /// Records the revision that this host has applied, and the newest one that another host names
    /// if that is beyond it.
    pub fn on_revisions(&mut self, now: Millis, own: u64, newest: Option<u64>) {
        let is_reached = self.target.is_none_or(|(target, _)| own >= target);
        if is_reached || newest.is_none() {
            self.target = newest.map(|newest| (newest, now));
        }
    }

    /// Returns how long this host has not reached a revision that it has heard of; zero if it is not
    /// behind.
    pub fn span(&self, now: Millis) -> Millis {
        self.target.map_or(Millis::ZERO, |(_, since)| now.since(since))
    }
}
