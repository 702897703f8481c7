//! The rates that one host knows, and what it may still send.

use std::collections::HashMap;

use crate::clock::Millis;
use crate::defect::planted;
use crate::limits::messages::LimitRow;
use crate::limits::messages::LimitRows;
use crate::limits::messages::RequestedLimit;
use crate::share::MilliRate;

/// The most servers whose rates are known, and told of in a message.
const MAX_SERVERS: usize = 1_024;
const MAX_ROWS: usize = 48;
/// How long after the end of a rate other hosts are told of it.
const ENDED_SPAN: Millis = Millis(10_000);
/// The most requests that a host may send to a server at once after a pause: its share of this span,
/// in s, and one at least.
const BURST_SPAN_S: f64 = 0.2;

/// A point in time on the clock of this host, in ms; negative before the clock began to run.
type Moment = i64;

/// A change of what is known of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitChange {
    /// The server names a rate and did not before.
    Began(MilliRate),
    /// The server names a rate no more.
    Ended,
}

#[derive(Clone, Copy, Debug)]
struct KnownLimit {
    boot: u64,
    rate: Option<MilliRate>,
    /// When the answer came that said so.
    at: Moment,
    /// The requests a second that this host may send.
    share: f64,
    /// The requests that this host may send now.
    allowance: f64,
    updated_at: Millis,
}

/// The rates that one host knows, by the short hash of the server's name.
#[derive(Debug, Default)]
pub struct ServerLimits {
    known: HashMap<u32, KnownLimit>,
}

impl ServerLimits {
    /// Records what an answer of the incarnation `boot` of a server says. An answer without a rate
    /// ends one only if it `is_to_request`: reports may name none at any time.
    pub fn on_answer(
        &mut self,
        now: Millis,
        server: u32,
        boot: u64,
        limit: Option<RequestedLimit>,
        is_to_request: bool,
    ) -> Option<LimitChange> {
        let rate = match limit {
            Some(RequestedLimit::Rate(rate)) => Some(rate),
            Some(RequestedLimit::Unusable) => return None,
            Some(RequestedLimit::Unlimited) => None,
            None if !is_to_request || planted!(LimitNeverEnds) => return None,
            None => None,
        };
        self.learn(now, server, boot, rate, signed(now))
    }

    /// Records what another host tells. `current_boot` returns the incarnation of a server that this
    /// host knows; what is said of another one does not count.
    pub fn on_rows(
        &mut self,
        now: Millis,
        rows: &LimitRows,
        current_boot: impl Fn(u32) -> Option<u64>,
    ) -> Vec<(u32, LimitChange)> {
        let is_current = |row: &&LimitRow| current_boot(row.server) == Some(row.boot);
        let current = rows.servers.iter().filter(is_current);
        let learned = current.filter_map(|row| {
            let at = signed(now) - i64::from(row.age_ms);
            let change = self.learn(now, row.server, row.boot, row.rate, at)?;
            Some((row.server, change))
        });
        learned.collect()
    }

    fn learn(
        &mut self,
        now: Millis,
        server: u32,
        boot: u64,
        rate: Option<MilliRate>,
        at: Moment,
    ) -> Option<LimitChange> {
        let former = self.known.get(&server).copied();
        let former = former.filter(|known| known.boot == boot);
        if former.is_some_and(|known| known.at >= at) || (former.is_none() && rate.is_none()) {
            return None;
        }
        if former.is_none() && self.known.len() >= MAX_SERVERS {
            return None;
        }
        let start = KnownLimit {
            boot,
            rate: None,
            at,
            share: 0.0,
            allowance: if planted!(LimitBucketStartsFull) { 20.0 } else { 0.0 },
            updated_at: now,
        };
        let known = former.unwrap_or(start);
        self.known.insert(server, KnownLimit { rate, at, ..known });
        match (known.rate, rate) {
            (None, Some(rate)) => Some(LimitChange::Began(rate)),
            (Some(_), None) => Some(LimitChange::Ended),
            _ => None,
        }
    }

    /// Sets this host's share of each rate to what `share_of` returns for the server, its incarnation
    /// and its rate, in requests a second; `None` for a server that has ended.
    pub fn update_shares(
        &mut self,
        now: Millis,
        mut share_of: impl FnMut(u32, u64, MilliRate) -> Option<f64>,
    ) {
        self.known.retain(|server, known| {
            let Some(rate) = known.rate else {
                return age(now, known.at) < ENDED_SPAN;
            };
            let Some(share) = share_of(*server, known.boot, rate) else {
                return false;
            };
            known.refill(now);
            known.share = share;
            if share == 0.0 {
                known.allowance = 0.0;
            }
            true
        });
    }

    /// Returns whether this host may send a request to the server now.
    pub fn may_send(&self, now: Millis, server: u32) -> bool {
        match self.known.get(&server) {
            Some(known) if known.rate.is_some() => known.allowance_at(now) >= 1.0,
            _ => true,
        }
    }

    /// Returns whether this host may send requests to the server at any time.
    pub fn has_share(&self, server: u32) -> bool {
        let known = self.known.get(&server).filter(|known| known.rate.is_some());
        known.is_none_or(|known| known.share > 0.0)
    }

    /// Records that this host sends a request to the server.
    pub fn on_send(&mut self, now: Millis, server: u32) {
        if let Some(known) = self.known.get_mut(&server) {
            known.refill(now);
            if !planted!(LimitUncounted) {
                known.allowance = (known.allowance - 1.0).max(0.0);
            }
        }
    }

    /// Returns whether nothing is known of any server, not even a rate that has ended lately.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Returns the number of servers that name a rate.
    pub fn count(&self) -> usize {
        self.known.values().filter(|known| known.rate.is_some()).count()
    }

    /// Returns what to tell other hosts; with more servers than fit, others in each `turn`.
    pub fn rows(&self, now: Millis, turn: u64) -> LimitRows {
        let mut rows: Vec<LimitRow> = self.known.iter().map(|(s, k)| k.row(now, *s)).collect();
        rows.sort_unstable_by_key(|row| row.server);
        if rows.len() > MAX_ROWS {
            let start = (turn as usize).wrapping_mul(MAX_ROWS) % rows.len();
            rows.rotate_left(start);
            rows.truncate(MAX_ROWS);
        }
        LimitRows { servers: rows }
    }
}

impl KnownLimit {
    fn allowance_at(&self, now: Millis) -> f64 {
        let gained = self.share * now.since(self.updated_at).0 as f64 / 1_000.0;
        let most = (self.share * BURST_SPAN_S).max(1.0);
        (self.allowance + gained).min(most.max(self.allowance))
    }

    fn refill(&mut self, now: Millis) {
        self.allowance = self.allowance_at(now);
        self.updated_at = now;
    }

    fn row(&self, now: Millis, server: u32) -> LimitRow {
        let age_ms = u32::try_from(age(now, self.at).0).unwrap_or(u32::MAX);
        LimitRow { server, boot: self.boot, rate: self.rate, age_ms }
    }
}

fn signed(now: Millis) -> Moment {
    i64::try_from(now.0).unwrap_or(i64::MAX)
}

fn age(now: Millis, at: Moment) -> Millis {
    Millis(u64::try_from(signed(now).saturating_sub(at)).unwrap_or(0))
}
