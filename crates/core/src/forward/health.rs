//! Tracks which servers are suspected, faulty, declining requests or slow, from the host's own
//! requests and from reports of other hosts.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::ServerName;

/// The time for which a server is suspected after a first failure. It doubles with each further
/// one.
const INITIAL_SUSPICION: Millis = Millis(500);
/// The slowness factor above which a server counts as slow.
pub const SLOWNESS_THRESHOLD: f64 = 1.1;
/// The time for which a server counts as slow after the last report of its slowness.
const SLOWNESS_TTL: Millis = Millis(2_500);
/// The half-life of the weight of a fault.
const FAULT_HALF_LIFE: Millis = Millis(3_000);
/// The time for which a server gets no requests after its first decline. It doubles with each
/// further one.
const INITIAL_DECLINE_BACKOFF: Millis = Millis(250);
/// The most times that the backoff after a decline doubles.
const MAX_DECLINE_DOUBLINGS: u32 = 3;
/// The time without a decline after which earlier declines no longer count.
const DECLINE_RESET_TIME: Millis = Millis(3_000);
/// The longest time for which a server is suspected without a further failure.
const MAX_SUSPICION: Millis = Millis(8_000);
/// The time without a failure after which earlier failures no longer count.
const FAILURE_RESET_TIME: Millis = Millis(20_000);

/// The health of one server, as this host knows it.
#[derive(Clone, Debug)]
struct ServerHealth {
    failures: u32,
    suspect_until: Millis,
    peer_suspect_until: Millis,
    backoff_until: Millis,
    declines: u32,
    faults: f64,
    faults_at: Millis,
    last_failure: Millis,
    slowness: f64,
    slow_until: Millis,
}

impl Default for ServerHealth {
    fn default() -> Self {
        Self {
            failures: 0,
            suspect_until: Millis::ZERO,
            peer_suspect_until: Millis::ZERO,
            backoff_until: Millis::ZERO,
            declines: 0,
            faults: 0.0,
            faults_at: Millis::ZERO,
            last_failure: Millis::ZERO,
            slowness: 1.0,
            slow_until: Millis::ZERO,
        }
    }
}

impl ServerHealth {
    /// Returns until when other hosts are told to avoid the server. A single decline is not
    /// reported to them.
    fn gossiped_until(&self) -> Millis {
        let declining_until = if self.declines > 1 { self.backoff_until } else { Millis::ZERO };
        self.suspect_until.max(declining_until)
    }

    /// Returns the faults, weighted by their age at `now`.
    fn faults_at(&self, now: Millis) -> f64 {
        let age = now.since(self.faults_at).0 as f64 / FAULT_HALF_LIFE.0 as f64;
        self.faults * (-age).exp2()
    }
}

/// The health of all servers of which a failure, a decline, a fault or slowness is known.
#[derive(Debug, Default)]
pub struct Health {
    servers: HashMap<ServerName, ServerHealth>,
}

impl Health {
    /// Records a failure of `server`; returns for how long it is suspected from now on.
    pub fn on_failure(&mut self, now: Millis, server: &ServerName) -> Millis {
        let server_health = self.servers.entry(server.clone()).or_default();
        let is_first = server_health.last_failure == Millis::ZERO
            || now.since(server_health.last_failure) > FAILURE_RESET_TIME;
        if is_first {
            server_health.failures = 0;
        }
        if now < server_health.suspect_until {
            return server_health.suspect_until.since(now);
        }
        server_health.failures += 1;
        server_health.last_failure = now;
        let span = INITIAL_SUSPICION.0 << (server_health.failures - 1).min(4);
        let span = Millis(span.min(MAX_SUSPICION.0));
        server_health.suspect_until = now + span;
        span
    }

    /// Records that `server` declined a request, because it is full, is leaving or holds other
    /// layers than expected.
    ///
    /// It gets no requests for a backoff that doubles with each decline until it serves one.
    pub fn on_declined(&mut self, now: Millis, server: &ServerName) {
        let server_health = self.servers.entry(server.clone()).or_default();
        if now < server_health.backoff_until {
            return;
        }
        if now.since(server_health.backoff_until) > DECLINE_RESET_TIME {
            server_health.declines = 0;
        }
        let span = INITIAL_DECLINE_BACKOFF.0 << server_health.declines.min(MAX_DECLINE_DOUBLINGS);
        server_health.declines += 1;
        server_health.backoff_until = now + Millis(span);
    }

    /// Records that `server` corrupted or lost one answer. It still serves other requests, so
    /// faults only raise its cost.
    pub fn on_fault(&mut self, now: Millis, server: &ServerName) {
        let server_health = self.servers.entry(server.clone()).or_default();
        server_health.faults = server_health.faults_at(now) + 1.0;
        server_health.faults_at = now;
    }

    /// Returns the number of recent faults of `server`, weighted by their age.
    pub fn faults(&self, now: Millis, server: &ServerName) -> f64 {
        self.servers.get(server).map_or(0.0, |h| h.faults_at(now))
    }

    /// Records that another host suspects `server` for `span`.
    pub fn on_peer_suspicion(&mut self, now: Millis, server: &ServerName, span: Millis) {
        let server_health = self.servers.entry(server.clone()).or_default();
        server_health.peer_suspect_until =
            server_health.peer_suspect_until.max(now + span.min(MAX_SUSPICION));
    }

    /// Ends this host's own suspicion of `server`, since its links are at fault.
    pub fn on_link_cut(&mut self, server: &ServerName) {
        if let Some(server_health) = self.servers.get_mut(server) {
            server_health.failures = 0;
            server_health.suspect_until = Millis::ZERO;
        }
    }

    /// Ends the suspicion of `server` by other hosts, since it was heard after it began.
    pub fn on_suspicion_refuted(&mut self, server: &ServerName) {
        if let Some(server_health) = self.servers.get_mut(server) {
            server_health.peer_suspect_until = Millis::ZERO;
        }
    }

    /// Records that `server` served a request, which ends a suspicion; returns whether this host
    /// itself suspected it.
    pub fn on_success(&mut self, now: Millis, server: &ServerName) -> bool {
        let Some(server_health) = self.servers.get_mut(server) else {
            return false;
        };
        let was_suspected = now < server_health.suspect_until;
        server_health.failures = 0;
        server_health.declines = 0;
        server_health.suspect_until = Millis::ZERO;
        server_health.peer_suspect_until = Millis::ZERO;
        was_suspected
    }

    /// Records the slowness factor of `server`, as reported by itself or by another host.
    pub fn on_slowness(&mut self, now: Millis, server: &ServerName, slowness: f64) {
        if slowness > SLOWNESS_THRESHOLD || self.servers.contains_key(server) {
            let server_health = self.servers.entry(server.clone()).or_default();
            server_health.slowness = slowness.max(1.0);
            server_health.slow_until = now + SLOWNESS_TTL;
        }
    }

    /// Returns the servers that are slow, with their slowness factors.
    pub fn slow_servers(&self, now: Millis) -> impl Iterator<Item = (&ServerName, f64)> {
        self.servers
            .iter()
            .filter(move |(_, h)| h.slowness > SLOWNESS_THRESHOLD && now < h.slow_until)
            .map(|(id, h)| (id, h.slowness))
    }

    /// Returns whether `server` may get requests: it is not suspected by any host and is in no
    /// backoff after a decline.
    pub fn is_usable(&self, now: Millis, server: &ServerName) -> bool {
        self.servers
            .get(server)
            .is_none_or(|h| now >= h.suspect_until.max(h.peer_suspect_until).max(h.backoff_until))
    }

    /// Returns the slowness factor of `server`; 1 if it is not slow.
    pub fn slowness(&self, now: Millis, server: &ServerName) -> f64 {
        self.servers.get(server).filter(|h| now < h.slow_until).map_or(1.0, |h| h.slowness)
    }

    /// Returns the servers that other hosts should avoid, with the time left: those that this host
    /// itself suspects, and those that declined more than once.
    pub fn suspects(&self, now: Millis) -> impl Iterator<Item = (&ServerName, Millis)> {
        self.servers
            .iter()
            .map(move |(id, h)| (id, h.gossiped_until().since(now)))
            .filter(|(_, span)| *span > Millis::ZERO)
    }
}
