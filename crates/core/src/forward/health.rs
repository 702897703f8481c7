//! Which servers are believed lost, faulty or slow, from this host's own requests and from others.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::name::ServerName;

/// How long a first suspicion lasts when nothing confirms it.
const FIRST_SPAN: Millis = Millis(500);
/// The factor from which a server counts as slow.
pub const SLOWNESS_THRESHOLD: f64 = 1.1;
/// How long a server counts as slow without news of it.
const SLOW_SPAN: Millis = Millis(2_500);
/// The time in which a fault comes to count half.
const FAULT_HALF_LIFE: Millis = Millis(3_000);
/// How long a server that declined a request is left alone.
const DECLINED_SPAN: Millis = Millis(250);
/// Doublings of that span for a server that goes on declining.
const DECLINES_MOST: u32 = 3;
/// The time without a decline after which earlier ones no longer count.
const DECLINES_FORGET: Millis = Millis(3_000);
/// The longest span of a suspicion.
const LONGEST_SPAN: Millis = Millis(8_000);
/// The time without a failure after which earlier ones no longer count.
const FORGET: Millis = Millis(20_000);

/// What is believed of one server.
#[derive(Clone, Debug)]
struct Belief {
    strikes: u32,
    suspect_until: Millis,
    told_until: Millis,
    busy_until: Millis,
    declines: u32,
    faults: f64,
    faults_at: Millis,
    last_strike: Millis,
    slowness: f64,
    slow_until: Millis,
}

impl Default for Belief {
    fn default() -> Self {
        Self {
            strikes: 0,
            suspect_until: Millis::ZERO,
            told_until: Millis::ZERO,
            busy_until: Millis::ZERO,
            declines: 0,
            faults: 0.0,
            faults_at: Millis::ZERO,
            last_strike: Millis::ZERO,
            slowness: 1.0,
            slow_until: Millis::ZERO,
        }
    }
}

impl Belief {
    fn tellable_until(&self) -> Millis {
        let busy = if self.declines > 1 { self.busy_until } else { Millis::ZERO };
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
    beliefs: HashMap<ServerName, Belief>,
}

impl Health {
    /// Notes a failure of `server`; returns how long it is left alone.
    pub fn on_failure(&mut self, now: Millis, server: &ServerName) -> Millis {
        let belief = self.beliefs.entry(server.clone()).or_default();
        let fresh = belief.last_strike == Millis::ZERO || now.since(belief.last_strike) > FORGET;
        if fresh {
            belief.strikes = 0;
        }
        if now < belief.suspect_until {
            return belief.suspect_until.since(now);
        }
        belief.strikes += 1;
        belief.last_strike = now;
        let span = FIRST_SPAN.0 << (belief.strikes - 1).min(4);
        let span = Millis(span.min(LONGEST_SPAN.0));
        belief.suspect_until = now + span;
        span
    }

    /// Notes that `server` declined a request: it is full, is leaving or has changed what it holds.
    /// It is left alone for a moment, and longer the more often it declines without serving.
    pub fn on_declined(&mut self, now: Millis, server: &ServerName) {
        let belief = self.beliefs.entry(server.clone()).or_default();
        if now < belief.busy_until {
            return;
        }
        if now.since(belief.busy_until) > DECLINES_FORGET {
            belief.declines = 0;
        }
        let span = DECLINED_SPAN.0 << belief.declines.min(DECLINES_MOST);
        belief.declines += 1;
        belief.busy_until = now + Millis(span);
    }

    /// Notes that `server` spoiled or lost one answer; it goes on serving others, so it is only
    /// avoided as far as there are better ones.
    pub fn on_fault(&mut self, now: Millis, server: &ServerName) {
        let belief = self.beliefs.entry(server.clone()).or_default();
        belief.faults = belief.faults_at(now) + 1.0;
        belief.faults_at = now;
    }

    /// Returns the recent faults of `server`, the older the less.
    pub fn faults(&self, now: Millis, server: &ServerName) -> f64 {
        self.beliefs.get(server).map_or(0.0, |b| b.faults_at(now))
    }

    /// Notes that another host suspects `server` for `span`.
    pub fn on_peer_suspicion(&mut self, now: Millis, server: &ServerName, span: Millis) {
        let belief = self.beliefs.entry(server.clone()).or_default();
        belief.told_until = belief.told_until.max(now + span.min(LONGEST_SPAN));
    }

    /// Notes that `server` did its work; returns whether it was suspected.
    pub fn on_success(&mut self, now: Millis, server: &ServerName) -> bool {
        let Some(belief) = self.beliefs.get_mut(server) else {
            return false;
        };
        let was = now < belief.suspect_until;
        belief.strikes = 0;
        belief.declines = 0;
        belief.suspect_until = Millis::ZERO;
        belief.told_until = Millis::ZERO;
        was
    }

    /// Notes by what factor `server` is slow, as it says itself or as another host tells.
    pub fn on_slowness(&mut self, now: Millis, server: &ServerName, slowness: f64) {
        if slowness > SLOWNESS_THRESHOLD || self.beliefs.contains_key(server) {
            let belief = self.beliefs.entry(server.clone()).or_default();
            belief.slowness = slowness.max(1.0);
            belief.slow_until = now + SLOW_SPAN;
        }
    }

    /// Returns the servers that are slow, and by what factor.
    pub fn slow_servers(&self, now: Millis) -> impl Iterator<Item = (&ServerName, f64)> {
        self.beliefs
            .iter()
            .filter(move |(_, b)| b.slowness > SLOWNESS_THRESHOLD && now < b.slow_until)
            .map(|(id, b)| (id, b.slowness))
    }

    /// Returns whether `server` may get work.
    pub fn is_usable(&self, now: Millis, server: &ServerName) -> bool {
        self.beliefs
            .get(server)
            .is_none_or(|b| now >= b.suspect_until.max(b.told_until).max(b.busy_until))
    }

    /// Returns by what factor `server` is slow.
    pub fn slowness(&self, now: Millis, server: &ServerName) -> f64 {
        self.beliefs.get(server).filter(|b| now < b.slow_until).map_or(1.0, |b| b.slowness)
    }

    /// Returns the servers that this host itself leaves alone now, and for how much longer. One that
    /// declined only once says nothing to others.
    pub fn suspects(&self, now: Millis) -> impl Iterator<Item = (&ServerName, Millis)> {
        self.beliefs
            .iter()
            .map(move |(id, b)| (id, b.tellable_until().since(now)))
            .filter(|(_, span)| *span > Millis::ZERO)
    }
}
