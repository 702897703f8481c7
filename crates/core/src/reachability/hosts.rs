//! The hosts that may take requests of this one.

use std::collections::HashMap;
use std::net::SocketAddrV4;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::messages::HostRow;
use crate::clock::Millis;

/// How long what a host said of its links counts.
const HOST_ROW_TTL: Millis = Millis(3_000);
/// The most rows of other hosts in a message.
const MAX_HOST_ROWS: usize = 8;

/// What another host said last, and whether this host avoids it.
#[derive(Clone, Copy, Debug)]
struct KnownHost {
    row: HostRow,
    said_at: Millis,
    avoided_until: Millis,
}

/// The hosts that have told of their links.
#[derive(Debug, Default)]
pub(super) struct Hosts {
    known: HashMap<SocketAddrV4, KnownHost>,
}

impl Hosts {
    pub(super) fn on_row(&mut self, now: Millis, row: HostRow) {
        let said_at = now.since(Millis(u64::from(row.age_ms)));
        let known = self.known.entry(row.relay).or_insert(KnownHost {
            row,
            said_at,
            avoided_until: Millis::ZERO,
        });
        if said_at > known.said_at {
            known.row = row;
            known.said_at = said_at;
        }
    }

    pub(super) fn on_tick(&mut self, now: Millis) {
        self.known.retain(|_, known| now.since(known.said_at) < HOST_ROW_TTL);
    }

    /// Leaves the host out of the choice for `span`.
    pub(super) fn avoid(&mut self, now: Millis, relay: SocketAddrV4, span: Millis) {
        if let Some(known) = self.known.get_mut(&relay) {
            known.avoided_until = now + span;
        }
    }

    fn fresh(&self, now: Millis) -> impl Iterator<Item = &KnownHost> {
        self.known.values().filter(move |known| now.since(known.said_at) < HOST_ROW_TTL)
    }

    /// Returns whether some host says that it reaches no server.
    pub(super) fn any_cut(&self, now: Millis) -> bool {
        self.fresh(now).any(|known| !known.row.reaches)
    }

    /// Returns the hosts that take requests: those of the failure domain `domain` if there are any,
    /// else all.
    pub(super) fn takers(&self, now: Millis, domain: u32) -> Vec<SocketAddrV4> {
        let mut takers: Vec<&KnownHost> = self
            .fresh(now)
            .filter(|known| known.row.reaches && now >= known.avoided_until)
            .collect();
        if takers.iter().any(|known| known.row.domain == domain) {
            takers.retain(|known| known.row.domain == domain);
        }
        let mut takers: Vec<SocketAddrV4> = takers.iter().map(|known| known.row.relay).collect();
        takers.sort_unstable();
        takers
    }

    /// Returns rows of some hosts, others in each `turn`.
    pub(super) fn rows(&self, now: Millis, turn: u64) -> impl Iterator<Item = HostRow> {
        let mut fresh: Vec<&KnownHost> = self.fresh(now).collect();
        fresh.sort_by_cached_key(|known| {
            let ip = u32::from(*known.row.relay.ip());
            xxh3_64_with_seed(&ip.to_le_bytes(), turn)
        });
        let rows: Vec<HostRow> = fresh
            .iter()
            .take(MAX_HOST_ROWS)
            .map(|known| HostRow { age_ms: to_age(now.since(known.said_at)), ..known.row })
            .collect();
        rows.into_iter()
    }
}

/// Encodes an age; one too long for the field is the longest.
pub(super) fn to_age(span: Millis) -> u16 {
    u16::try_from(span.0).unwrap_or(u16::MAX)
}
