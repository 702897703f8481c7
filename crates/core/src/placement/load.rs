//! Work in progress on the servers: that of this host, and that reported by other hosts.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::name::HostName;
use crate::name::ServerName;
use crate::placement::chain::Chain;

/// How long the loads reported by another host count after its last report.
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

/// The loads that another host reported last.
#[derive(Debug)]
struct PeerReport {
    updated_at: Millis,
    loads: Vec<(ServerName, Load)>,
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
    peer_reports: HashMap<HostName, PeerReport>,
    total: HashMap<ServerName, Load>,
}

impl ServerLoads {
    /// Adds a request of this host that holds `tokens` tokens on each server of `chain`.
    pub fn add_request(&mut self, chain: &Chain, tokens: f64) {
        for (server, load) in loads_on_chain(chain, tokens) {
            self.own.entry(server.clone()).or_default().add(load);
            self.total.entry(server).or_default().add(load);
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
            if let Some(total) = self.total.get_mut(&server) {
                total.remove(load);
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

    /// Replaces the loads of another host by those that it reported now.
    pub fn on_peer_loads(&mut self, now: Millis, host: HostName, loads: Vec<(ServerName, Load)>) {
        self.peer_reports.insert(host, PeerReport { updated_at: now, loads });
        self.recompute_total();
    }

    /// Drops the loads of hosts whose last report is [`PEER_LOAD_TTL`] old.
    pub fn on_tick(&mut self, now: Millis) {
        let before = self.peer_reports.len();
        self.peer_reports.retain(|_, report| now.since(report.updated_at) < PEER_LOAD_TTL);
        if self.peer_reports.len() != before {
            self.recompute_total();
        }
    }

    /// Returns the loads of this host's own requests.
    pub fn own_loads(&self) -> impl Iterator<Item = (&ServerName, &Load)> {
        self.own.iter()
    }

    /// Returns the load of `server`, summed over all hosts.
    pub fn total(&self, server: &ServerName) -> Load {
        self.total.get(server).copied().unwrap_or_default()
    }

    fn recompute_total(&mut self) {
        self.total.clone_from(&self.own);
        for peer in self.peer_reports.values() {
            for (server, load) in &peer.loads {
                self.total.entry(server.clone()).or_default().add(*load);
            }
        }
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
