//! When the silence of a stream calls for a check of the servers that produce it, and which of them
//! are checked.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::ServerName;

/// The longest silence within a stream before its servers are checked. Together with the time that
/// a move to another chain takes, it stays below the usual target for pauses.
pub const MAX_EVENT_TIMEOUT: Millis = Millis(120);
/// The shortest silence within a stream before its servers are checked; below it, jitter of the
/// network and of the host looks like silence.
pub const MIN_EVENT_TIMEOUT: Millis = Millis(60);
/// The ratio of the silence that calls for a check to the longest pause of the stream so far, in
/// percent.
const USUAL_GAP_PERCENT: u64 = 150;
/// How long a server that was found listening is not checked again.
const LISTENING_TTL: Millis = Millis(200);

/// Returns the silence after which the servers of a stream are checked. `longest_gap` is the longest
/// pause of the stream so far, and `target_gap` the target for its pauses. Without such a target,
/// an early check gains nothing.
pub fn event_timeout(longest_gap: Millis, target_gap: Option<Millis>) -> Millis {
    if longest_gap == Millis::ZERO || target_gap.is_none() {
        return MAX_EVENT_TIMEOUT;
    }
    let usual = Millis(longest_gap.0 * USUAL_GAP_PERCENT / 100);
    usual.clamp(MIN_EVENT_TIMEOUT, MAX_EVENT_TIMEOUT)
}

/// The servers that this host found listening lately. Many streams that fall silent together share
/// one check of each server.
#[derive(Debug, Default)]
pub struct ListeningServers {
    found_at: HashMap<ServerName, Millis>,
}

impl ListeningServers {
    /// Returns whether `server` is to be checked.
    pub fn is_check_due(&self, now: Millis, server: &ServerName) -> bool {
        self.found_at.get(server).is_none_or(|at| now.since(*at) >= LISTENING_TTL)
    }

    /// Records that `server` accepted a connection.
    pub fn on_listening(&mut self, now: Millis, server: &ServerName) {
        self.found_at.insert(server.clone(), now);
    }

    /// Forgets servers that are to be checked anyway.
    pub fn on_tick(&mut self, now: Millis) {
        self.found_at.retain(|_, at| now.since(*at) < LISTENING_TTL);
    }

    /// Returns the number of servers that are remembered.
    pub fn len(&self) -> usize {
        self.found_at.len()
    }

    /// Returns whether no server is remembered.
    pub fn is_empty(&self) -> bool {
        self.found_at.is_empty()
    }
}
