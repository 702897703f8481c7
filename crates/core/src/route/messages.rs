//! What a router is told and asked.

use serde::Deserialize;
use serde::Serialize;

use crate::clock::Millis;
use crate::engine::Chain;
use crate::engine::LoadReport;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;

/// How chains are chosen.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Shortest expected time over a random sample of servers.
    #[default]
    Adaptive,
    /// Servers joined to pipelines by name once; the pipelines take turns.
    FixedPipelines,
    /// The servers of each stage take turns.
    RoundRobin,
}

impl Policy {
    /// All policies.
    pub const ALL: [Self; 3] = [Self::Adaptive, Self::FixedPipelines, Self::RoundRobin];

    /// Returns the text used in settings.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Adaptive => "adaptive",
            Self::FixedPipelines => "fixed_pipelines",
            Self::RoundRobin => "round_robin",
        }
    }
}

/// One model engine as the fleet view shows it.
#[derive(Clone, Copy, Debug)]
pub struct ServerInput<'a> {
    /// Name.
    pub name: &'a ServerName,
    /// Failure domain.
    pub domain: &'a DomainName,
    /// Address, `ip:port`.
    pub address: &'a str,
    /// Last load report.
    pub report: &'a LoadReport,
    /// When the report was received.
    pub reported_at: Millis,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Whether the server does not answer.
    pub suspected: bool,
}

/// A request for a chain.
#[derive(Clone, Copy, Debug)]
pub struct ChainQuery<'a> {
    /// Model.
    pub model: &'a ModelName,
    /// Version that every stage has to hold.
    pub version: &'a ModelVersion,
    /// Layers of the model.
    pub layers: u16,
    /// Failure domain of this host.
    pub domain: &'a DomainName,
    /// Hashes of the prompt's prefixes, shortest first.
    pub prefixes: &'a [u64],
    /// Words of the prompt and of the tokens released so far.
    pub prompt_words: u32,
    /// Most tokens that are still to come.
    pub tokens: u32,
    /// Servers that must not be used.
    pub avoid: &'a [ServerName],
    /// Servers that are used only at a much higher cost.
    pub penalized: &'a [ServerName],
    /// Servers that hold the request's KV cache.
    pub cache_holders: &'a [ServerName],
}

/// A chain with the times expected of it.
#[derive(Clone, Debug)]
pub struct ChainChoice {
    /// Stages in layer order.
    pub chain: Chain,
    /// Expected time to the first token.
    pub first_token: Millis,
    /// Expected time between tokens, in microseconds.
    pub step_us: u32,
}

/// Places of the narrowest stage of a model version.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StageCapacity {
    /// Runs that its servers hold at a time.
    pub slots: u32,
    /// Runs that they have, waiting ones included.
    pub load: u32,
}

/// How an attempt on a chain went, as far as its servers are concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict<'a> {
    /// The chain did its work.
    Success,
    /// A server failed.
    Failed(&'a ServerName),
    /// The chain went silent; which of its servers is at fault is not known.
    Silent,
    /// Nothing can be said about the servers.
    Inconclusive,
}
