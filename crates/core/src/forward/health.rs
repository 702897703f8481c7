//! Which servers are believed lost, faulty or slow, from this host's own requests and from others.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::ServerName;

/// How long a first suspicion lasts when nothing confirms it.
const INITIAL_SUSPICION: Millis = Millis(500);
/// The factor from which a server counts as slow.
pub const SLOWNESS_THRESHOLD: f64 = 1.1;
/// How long a server counts as slow without news of it.
const SLOWNESS_TTL: Millis = Millis(2_500);
/// The time in which a fault comes to count half.
const FAULT_HALF_LIFE: Millis = Millis(3_000);
/// How long a server that declined a request is left alone.
const INITIAL_DECLINE_BACKOFF: Millis = Millis(250);
/// Doublings of that span for a server that goes on declining.
const MAX_DECLINE_DOUBLINGS: u32 = 3;
/// The time without a decline after which earlier ones no longer count.
const DECLINE_RESET_TIME: Millis = Millis(3_000);
/// The longest span of a suspicion.
const MAX_SUSPICION: Millis = Millis(8_000);
/// The time without a failure after which earlier ones no longer count.
const FAILURE_RESET_TIME: Millis = Millis(20_000);

/// What is believed of one server.
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
    fn gossiped_until(&self) -> Millis {
        let busy = if self.declines > 1 { self.backoff_until } else { Millis::ZERO };
        self.suspect_until.max(busy)
    }

    fn faults_at(&self, now: Millis) -> f64 {
        let age = now.since(self.faults_at).0 as f64 / FAULT_HALF_LIFE.0 as f64;
        self.faults * (-age).exp2()
    }
}

/// Beliefs about servers.
#[derive(Debug, Default)]
pub struct Health {
    servers: HashMap<ServerName, ServerHealth>,
}

impl Health {
    /// Notes a failure of `server`; returns how long it is left alone.
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

    /// Notes that `server` declined a request: it is full, is leaving or has changed what it holds.
    /// It is left alone for a moment, and longer the more often it declines without serving.
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

    /// Notes that `server` spoiled or lost one answer; it goes on serving others, so it is only
    /// avoided as far as there are better ones.
    pub fn on_fault(&mut self, now: Millis, server: &ServerName) {
        let server_health = self.servers.entry(server.clone()).or_default();
        server_health.faults = server_health.faults_at(now) + 1.0;
        server_health.faults_at = now;
    }

    /// Returns the recent faults of `server`, the older the less.
    pub fn faults(&self, now: Millis, server: &ServerName) -> f64 {
        self.servers.get(server).map_or(0.0, |b| b.faults_at(now))
    }

    /// Notes that another host suspects `server` for `span`.
    pub fn on_peer_suspicion(&mut self, now: Millis, server: &ServerName, span: Millis) {
        let server_health = self.servers.entry(server.clone()).or_default();
        server_health.peer_suspect_until =
            server_health.peer_suspect_until.max(now + span.min(MAX_SUSPICION));
    }

    /// Notes that `server` did its work; returns whether it was suspected.
    pub fn on_success(&mut self, now: Millis, server: &ServerName) -> bool {
        let Some(server_health) = self.servers.get_mut(server) else {
            return false;
        };
        let was = now < server_health.suspect_until;
        server_health.failures = 0;
        server_health.declines = 0;
        server_health.suspect_until = Millis::ZERO;
        server_health.peer_suspect_until = Millis::ZERO;
        was
    }

    /// Notes by what factor `server` is slow, as it says itself or as another host tells.
    pub fn on_slowness(&mut self, now: Millis, server: &ServerName, slowness: f64) {
        if slowness > SLOWNESS_THRESHOLD || self.servers.contains_key(server) {
            let server_health = self.servers.entry(server.clone()).or_default();
            server_health.slowness = slowness.max(1.0);
            server_health.slow_until = now + SLOWNESS_TTL;
        }
    }

    /// Returns the servers that are slow, and by what factor.
    pub fn slow_servers(&self, now: Millis) -> impl Iterator<Item = (&ServerName, f64)> {
        self.servers
            .iter()
            .filter(move |(_, b)| b.slowness > SLOWNESS_THRESHOLD && now < b.slow_until)
            .map(|(id, b)| (id, b.slowness))
    }

    /// Returns whether `server` may get work.
    pub fn is_usable(&self, now: Millis, server: &ServerName) -> bool {
        self.servers
            .get(server)
            .is_none_or(|b| now >= b.suspect_until.max(b.peer_suspect_until).max(b.backoff_until))
    }

    /// Returns by what factor `server` is slow.
    pub fn slowness(&self, now: Millis, server: &ServerName) -> f64 {
        self.servers.get(server).filter(|b| now < b.slow_until).map_or(1.0, |b| b.slowness)
    }

    /// Returns the servers that this host itself leaves alone now, and for how much longer. One that
    /// declined only once says nothing to others.
    pub fn suspects(&self, now: Millis) -> impl Iterator<Item = (&ServerName, Millis)> {
        self.servers
            .iter()
            .map(move |(id, b)| (id, b.gossiped_until().since(now)))
            .filter(|(_, span)| *span > Millis::ZERO)
    }
}
