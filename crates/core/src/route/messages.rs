//! The inputs of a router, the queries to it and its replies.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::engine::Chain;
use crate::engine::LoadReport;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;

/// The policy by which chains are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Chooses the chain with the shortest expected time over a random sample of servers.
    #[default]
    Adaptive,
    /// Combines servers, sorted by domain and name, into fixed pipelines and uses these in
    /// rotation.
    FixedPipelines,
    /// Uses the servers of each stage in rotation.
    RoundRobin,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Adaptive, Self::FixedPipelines, Self::RoundRobin];

    /// Returns the name of the policy in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Adaptive => "adaptive",
            Self::FixedPipelines => "fixed_pipelines",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// The state of one model engine in the view of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct ServerInput<'a> {
    /// The name of the server.
    pub name: &'a ServerName,
    /// The failure domain of the server.
    pub domain: &'a DomainName,
    /// The address of the server, `ip:port`.
    pub address: &'a str,
    /// The last load report of the server.
    pub report: &'a LoadReport,
    /// The time at which the report was received.
    pub reported_at: Millis,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server is suspected to have failed.
    pub suspected: bool,
}

/// A request for a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// The model that the request asks for.
    pub model: &'a ModelName,
    /// The version of the model that every stage must hold.
    pub version: &'a ModelVersion,
    /// The number of layers of the model.
    pub layers: u16,
    /// The failure domain of this host.
    pub domain: &'a DomainName,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// The number of words of the prompt plus the number of tokens sent to the caller so far.
    pub prompt_words: u32,
    /// The most tokens that are still to be generated.
    pub tokens: u32,
    /// The servers that must not be used.
    pub avoid: &'a [ServerName],
    /// The servers whose cost is multiplied, so that they are used only if others are much worse.
    pub penalized: &'a [ServerName],
    /// The servers that hold the KV cache of the request.
    pub cache_holders: &'a [ServerName],
}

/// A chain and the times expected of it.
#[derive(Clone, Debug)]
pub struct ChainChoice {
    /// The stages in layer order.
    pub chain: Chain,
    /// The expected time to the first token.
    pub first_token: Millis,
    /// The expected time between tokens, in microseconds.
    pub step_us: u32,
}

/// The capacity and load of the stage of a model version that has the fewest slots.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageCapacity {
    /// The number of runs that its servers hold at the same time.
    pub slots: u32,
    /// The number of runs that its servers have, including those that wait.
    pub load: u32,
}

/// What the outcome of an attempt on a chain shows about its servers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<'a> {
    /// The chain served the request.
    Success,
    /// The given server failed.
    Failed(&'a ServerName),
    /// The chain sent nothing for too long; which of its servers is at fault is unknown.
    Silent,
    /// The outcome says nothing about the servers.
    Inconclusive,
}
