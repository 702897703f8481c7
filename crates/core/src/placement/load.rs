//! Work in progress on the servers: that of this host, and that reported by other hosts.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::name::ServerName;
use crate::placement::chain::Chain;
use crate::placement::chain::ChainStage;

/// How long the loads of other hosts count after the last news of them.
pub const PEER_LOAD_TTL: Millis = Millis(1_500);

/// The mean fraction of its answer's tokens that a request holds over its life.
pub const MEAN_HELD_FRACTION: f64 = 0.55;

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

/// The tokens of one request that servers of its chain still have to prefill.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PendingPrefill {
    servers: SmallVec<[ServerName; 12]>,
    tokens: u32,
}

impl PendingPrefill {
    /// Creates the pending prefill of a request that is sent to `chain` with `tokens` tokens: each
    /// server has to prefill them.
    pub fn of_request(chain: &Chain, tokens: u32) -> Self {
        Self { servers: chain.stages().iter().map(|s| s.server.clone()).collect(), tokens }
    }

    /// Returns the pending prefill of the request after a move from `old` to `new`, where it holds
    /// `tokens` tokens. Servers of stages that are new have to prefill them; of the other servers,
    /// only those do that had not finished before.
    pub fn after_move(&self, old: &Chain, new: &Chain, tokens: u32) -> Self {
        let is_pending = |s: &&ChainStage| {
            !old.stages().contains(s) || (self.tokens > 0 && self.servers.contains(&s.server))
        };
        let pending = new.stages().iter().filter(is_pending);
        Self { servers: pending.map(|s| s.server.clone()).collect(), tokens }
    }

    /// Returns whether no server has anything to prefill.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty() || self.tokens == 0
    }
}

/// Loads by server, of this host and summed over all hosts.
#[derive(Debug, Default)]
pub struct ServerLoads {
    own: HashMap<ServerName, Load>,
    others: HashMap<ServerName, Load>,
    // Tokens that servers still have to prefill. They are whole numbers, so that what is added and
    // removed leaves no remainder.
    own_prefill: HashMap<ServerName, u64>,
    others_prefill: HashMap<ServerName, u64>,
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

    /// Adds the pending prefill of a request of this host.
    pub fn add_prefill(&mut self, pending: &PendingPrefill) {
        if pending.is_empty() {
            return;
        }
        for server in &pending.servers {
            *self.own_prefill.entry(server.clone()).or_default() += u64::from(pending.tokens);
        }
    }

    /// Removes pending prefill that was added by [`ServerLoads::add_prefill`].
    pub fn remove_prefill(&mut self, pending: &PendingPrefill) {
        if pending.is_empty() {
            return;
        }
        for server in &pending.servers {
            if let Some(tokens) = self.own_prefill.get_mut(server) {
                *tokens = tokens.saturating_sub(u64::from(pending.tokens));
                if *tokens == 0 {
                    self.own_prefill.remove(server);
                }
            }
        }
    }

    /// Returns the tokens that `server` still has to prefill, for the requests of all hosts.
    pub fn pending_prefill(&self, server: &ServerName) -> u64 {
        let tokens = |of: &HashMap<ServerName, u64>| of.get(server).copied().unwrap_or_default();
        tokens(&self.own_prefill).saturating_add(tokens(&self.others_prefill))
    }

    /// Returns the tokens that servers still have to prefill for this host's own requests.
    pub fn own_prefill(&self) -> impl Iterator<Item = (&ServerName, u64)> {
        self.own_prefill.iter().map(|(server, tokens)| (server, *tokens))
    }

    /// Returns the most tokens that one server still has to prefill.
    pub fn largest_prefill(&self) -> u64 {
        let servers = self.own_prefill.keys().chain(self.others_prefill.keys());
        servers.map(|server| self.pending_prefill(server)).max().unwrap_or_default()
    }

    /// Replaces the loads of all other hosts, and the tokens that servers still have to prefill for
    /// their requests.
    pub fn on_others(
        &mut self,
        now: Millis,
        others: HashMap<ServerName, Load>,
        prefill: HashMap<ServerName, u64>,
    ) {
        self.others = others;
        self.others_prefill = prefill;
        self.others_at = now;
    }

    /// Drops what other hosts reported when it is [`PEER_LOAD_TTL`] old.
    pub fn on_tick(&mut self, now: Millis) {
        if now.since(self.others_at) >= PEER_LOAD_TTL {
            self.others.clear();
            self.others_prefill.clear();
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
