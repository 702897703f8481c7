//! Observations of hosts about backend servers, and their sums over hosts.

use std::collections::HashMap;
use std::collections::HashSet;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::placement::load::PEER_LOAD_TTL;

/// The most rows of one kind in a message, so that it fits a datagram.
pub const MAX_ROWS: usize = 600;

/// The most rows of pending prefill in a message; the largest ones are kept, since only these change
/// the choice of a chain.
pub const MAX_PREFILL_ROWS: usize = 200;
/// The number of tokens that one unit of [`PrefillRow::hundreds`] stands for.
const TOKENS_PER_PREFILL_UNIT: u64 = 100;

/// Returns the hash by which messages name a host or a server.
pub fn short_hash(name: &str) -> u32 {
    xxh3_64(name.as_bytes()) as u32
}

/// The work of hosts on one server.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The number of requests in progress.
    pub active: u16,
    /// The number of requests for which the server is the first one of their chain.
    pub first: u16,
    /// The memory set aside for requests, in thousands of tokens times layers.
    pub kilo_token_layers: u32,
}

impl LoadRow {
    fn add(&mut self, other: &Self) {
        self.active = self.active.saturating_add(other.active);
        self.first = self.first.saturating_add(other.first);
        self.kilo_token_layers = self.kilo_token_layers.saturating_add(other.kilo_token_layers);
    }

    fn subtract(&mut self, other: &Self) {
        self.active = self.active.saturating_sub(other.active);
        self.first = self.first.saturating_sub(other.first);
        self.kilo_token_layers = self.kilo_token_layers.saturating_sub(other.kilo_token_layers);
    }
}

/// The tokens that a server still has to prefill for requests of hosts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PrefillRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The number of tokens, in hundreds.
    pub hundreds: u16,
}

impl PrefillRow {
    /// Creates the row of `server` with `tokens` tokens, to the nearest hundred.
    pub fn new(server: u32, tokens: u64) -> Self {
        let hundreds = tokens.saturating_add(TOKENS_PER_PREFILL_UNIT / 2) / TOKENS_PER_PREFILL_UNIT;
        Self { server, hundreds: u16::try_from(hundreds).unwrap_or(u16::MAX) }
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> u64 {
        u64::from(self.hundreds) * TOKENS_PER_PREFILL_UNIT
    }
}

/// A server that hosts avoid, and for how many ms more.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SuspectRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The time left, in ms.
    pub ms: u16,
}

/// A server that a host found slow, and by which factor, in tenths.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlowRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// The factor, in tenths.
    pub tenths: u16,
}

/// A server that has announced to a host that it is leaving.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct LeavingRow {
    /// The short hash of the server's name.
    pub server: u32,
    /// When that incarnation of the server started, in ms since the Unix epoch.
    pub born: Option<u64>,
}

/// Observations of one or several hosts about servers.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Observations {
    /// Work in progress.
    pub loads: Vec<LoadRow>,
    /// Servers that are avoided after failures.
    pub suspects: Vec<SuspectRow>,
    /// Servers that were found slow.
    pub slow: Vec<SlowRow>,
    /// Servers that are leaving.
    pub leaving: Vec<LeavingRow>,
    /// Tokens that servers still have to prefill. Hosts of earlier releases decode this type by
    /// position, so the rows are not part of it in a message; the datagram carries them behind it.
    #[serde(skip)]
    pub prefill: Vec<PrefillRow>,
}

/// Adds up observations: loads and pending prefill are summed, of suspicions and slowness the
/// strongest counts.
#[derive(Debug, Default)]
pub struct ObservationSum {
    loads: HashMap<u32, LoadRow>,
    suspects: HashMap<u32, u16>,
    slow: HashMap<u32, u16>,
    leaving: HashSet<LeavingRow>,
    prefill: HashMap<u32, u16>,
}

impl ObservationSum {
    /// Adds observations that are `age_ms` old.
    pub fn add(&mut self, observations: &Observations, age_ms: u64) {
        for row in &observations.loads {
            self.loads.entry(row.server).and_modify(|sum| sum.add(row)).or_insert(*row);
        }
        for row in &observations.suspects {
            let ms = u64::from(row.ms).saturating_sub(age_ms) as u16;
            if ms > 0 {
                let most = self.suspects.entry(row.server).or_default();
                *most = ms.max(*most);
            }
        }
        for row in &observations.slow {
            let most = self.slow.entry(row.server).or_default();
            *most = row.tenths.max(*most);
        }
        self.leaving.extend(&observations.leaving);
        if age_ms < PEER_LOAD_TTL.0 {
            for row in &observations.prefill {
                let sum = self.prefill.entry(row.server).or_default();
                *sum = sum.saturating_add(row.hundreds);
            }
        }
    }

    /// Takes loads out of the sums that were added to them before.
    pub fn subtract_loads(&mut self, loads: &[LoadRow]) {
        for row in loads {
            if let Some(sum) = self.loads.get_mut(&row.server) {
                sum.subtract(row);
            }
        }
    }

    /// Takes pending prefill out of the sums that was added to them before.
    pub fn subtract_prefill(&mut self, prefill: &[PrefillRow]) {
        for row in prefill {
            if let Some(sum) = self.prefill.get_mut(&row.server) {
                *sum = sum.saturating_sub(row.hundreds);
            }
        }
    }

    /// Returns the sums, at most [`MAX_ROWS`] of each kind, and [`MAX_PREFILL_ROWS`] of pending
    /// prefill; the largest loads are kept.
    pub fn finish(self) -> Observations {
        let mut loads: Vec<LoadRow> = self.loads.into_values().collect();
        loads.sort_unstable_by(|a, b| b.active.cmp(&a.active).then(a.server.cmp(&b.server)));
        loads.truncate(MAX_ROWS);
        let suspects = self.suspects.into_iter().map(|(server, ms)| SuspectRow { server, ms });
        let slow = self.slow.into_iter().map(|(server, tenths)| SlowRow { server, tenths });
        Observations {
            loads,
            suspects: suspects.take(MAX_ROWS).collect(),
            slow: slow.take(MAX_ROWS).collect(),
            leaving: self.leaving.into_iter().take(MAX_ROWS).collect(),
            prefill: largest_prefill(
                self.prefill
                    .into_iter()
                    .map(|(server, hundreds)| PrefillRow { server, hundreds })
                    .collect(),
            ),
        }
    }
}

/// Returns the [`MAX_PREFILL_ROWS`] largest of `rows`, without empty ones.
pub fn largest_prefill(mut rows: Vec<PrefillRow>) -> Vec<PrefillRow> {
    rows.retain(|row| row.hundreds > 0);
    rows.sort_unstable_by(|a, b| b.hundreds.cmp(&a.hundreds).then(a.server.cmp(&b.server)));
    rows.truncate(MAX_PREFILL_ROWS);
    rows
}
