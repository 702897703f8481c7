//! Work in progress on the servers: that of this host, and that reported by other hosts.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::ServerName;
use crate::placement::chain::Chain;

/// How long the loads of other hosts count after the last news of them.
pub const PEER_LOAD_TTL: Millis = Millis(1_500);

/// Work in progress on one server.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Load {
    /// Requests whose chain contains the server.
    pub active: f32,
    /// Memory reserved for requests, in tokens times layers.
    pub token_layers: f32,
    /// Requests for which the server is the first of the chain.
    pub first: f32,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.active += other.active;
        self.token_layers += other.token_layers;
        self.first += other.first;
    }

    fn remove(&mut self, other: Self) {
        self.active = (self.active - other.active).max(0.0);
        self.token_layers = (self.token_layers - other.token_layers).max(0.0);
        self.first = (self.first - other.first).max(0.0);
    }
}

/// Tokens of moved requests for which a server still has to compute the KV cache, as of
/// `updated_at`.
#[derive(Clone, Copy, Debug, Default)]
struct PrefillBacklog {
    updated_at: Millis,
    tokens: f64,
}

impl PrefillBacklog {
    fn remaining(self, now: Millis, per_ms: f64) -> f64 {
        (self.tokens - per_ms * now.since(self.updated_at).0 as f64).max(0.0)
    }
}

/// Loads by server, of this host and summed over all hosts.
#[derive(Debug, Default)]
pub struct ServerLoads {
    prefill_backlogs: HashMap<ServerName, PrefillBacklog>,
    own: HashMap<ServerName, Load>,
    others: HashMap<ServerName, Load>,
    others_at: Millis,
}

impl ServerLoads {
    /// Adds a request of this host that holds `tokens` tokens on each server of `chain`.
    pub fn add_request(&mut self, chain: &Chain, tokens: f64) {
        for (server, load) in loads_on_chain(chain, tokens) {
            self.own.entry(server).or_default().add(load);
        }
    }

    /// Removes a request that was added by [`ServerLoads::add_request`] with the same arguments.
    pub fn remove_request(&mut self, chain: &Chain, tokens: f64) {
        for (server, load) in loads_on_chain(chain, tokens) {
            if let Some(own) = self.own.get_mut(&server) {
                own.remove(load);
                if own.active <= 0.0 {
                    self.own.remove(&server);
                }
            }
        }
    }

    /// Records that a request moved to `server`, which has to prefill its `tokens` tokens again, at
    /// `per_ms` tokens per ms.
    pub fn add_prefill(&mut self, now: Millis, server: &ServerName, tokens: f64, per_ms: f64) {
        let backlog = self.prefill_backlogs.entry(server.clone()).or_default();
        let remaining = backlog.remaining(now, per_ms);
        *backlog = PrefillBacklog { updated_at: now, tokens: remaining + tokens };
    }

    /// Returns the tokens of moved requests of this host that `server` still has to prefill, when
    /// it prefills `per_ms` tokens per ms.
    pub fn prefill_backlog(&self, now: Millis, server: &ServerName, per_ms: f64) -> f64 {
        self.prefill_backlogs.get(server).map_or(0.0, |backlog| backlog.remaining(now, per_ms))
    }

    /// Replaces the loads of all other hosts.
    pub fn on_others(&mut self, now: Millis, others: HashMap<ServerName, Load>) {
        self.others = others;
        self.others_at = now;
    }

    /// Drops the loads of other hosts when they are [`PEER_LOAD_TTL`] old.
    pub fn on_tick(&mut self, now: Millis) {
        if now.since(self.others_at) >= PEER_LOAD_TTL {
            self.others.clear();
        }
    }

    /// Returns the loads of this host's own requests.
    pub fn own_loads(&self) -> impl Iterator<Item = (&ServerName, &Load)> {
        self.own.iter()
    }

    /// Returns the load of `server`, summed over all hosts.
    pub fn total(&self, server: &ServerName) -> Load {
        let mut total = self.own.get(server).copied().unwrap_or_default();
        if let Some(others) = self.others.get(server) {
            total.add(*others);
        }
        total
    }
}

fn loads_on_chain(chain: &Chain, tokens: f64) -> impl Iterator<Item = (ServerName, Load)> + '_ {
    chain.stages().iter().enumerate().map(move |(index, stage)| {
        let load = Load {
            active: 1.0,
            token_layers: (tokens * f64::from(stage.layers.len())) as f32,
            first: if index == 0 { 1.0 } else { 0.0 },
        };
        (stage.server.clone(), load)
    })
}
