//! Types of the operators' declarations.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::digest::Digest;
use crate::engine::LayerRange;
use crate::engine::Role;
use crate::name::DomainName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::RegionName;
use crate::name::ServerName;
use crate::name::ServiceName;
use crate::name::TeamName;

/// The declaration of one configuration number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declaration {
    /// Failure domains by name.
    pub domains: BTreeMap<DomainName, Domain>,
    /// Teams by name.
    pub teams: BTreeMap<TeamName, Team>,
    /// Models by name.
    pub models: BTreeMap<ModelName, Model>,
    /// Plain HTTP services, which are not model pipelines, by name.
    pub services: BTreeMap<ServiceName, Service>,
    /// Backend servers by name.
    pub servers: BTreeMap<ServerName, Server>,
    /// Limits on changes of placement.
    pub rollout: Rollout,
}

/// Limits that the order issuer keeps while backend servers load other layers or versions.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollout {
    /// Minimum number of servers in a failure domain that serve each layer range during a change.
    pub keep_serving: u16,
    /// Maximum number of servers in a failure domain that load weights at the same time.
    pub loads_at_once: u16,
    /// Maximum rate at which a failure domain reads from the weight store, in megabytes per second.
    pub weights_mb_per_s: u32,
}

impl Default for Rollout {
    fn default() -> Self {
        Self { keep_serving: 1, loads_at_once: 2, weights_mb_per_s: 1_000 }
    }
}

/// A failure domain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Domain {
    /// Region that the failure domain belongs to.
    pub region: RegionName,
}

/// Priorities of requests, lowest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that may wait longer than other work.
    Batch,
    /// Work without special urgency.
    #[default]
    Normal,
    /// Work that an end user waits for.
    Urgent,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Self; 3] = [Self::Batch, Self::Normal, Self::Urgent];

    /// Returns the priority on the engines' scale from 0 (lowest) to 9.
    pub fn engine_level(self) -> u8 {
        match self {
            Self::Batch => 1,
            Self::Normal => 5,
            Self::Urgent => 9,
        }
    }
}

/// A team, with its keys, share and limits.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// SHA-256 digests of the team's bearer keys; two of them during the replacement of a key.
    pub keys: SmallVec<[Digest; 2]>,
    /// Weight relative to other teams when servers are scarce, at least 1.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// Requests per second over all hosts; `None` for no limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<u32>,
    /// Requests in flight on one host; `None` for the host's own limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u32>,
    /// Priority of the team's requests.
    #[serde(default)]
    pub priority: Priority,
}

fn default_weight() -> u32 {
    1
}

/// A model that requests can name.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Number of layers, at least 1.
    pub layers: u16,
    /// Version of the weights that new requests run on.
    pub version: ModelVersion,
    /// Maximum number of tokens in one answer.
    pub max_tokens: u32,
    /// Deadline of requests without a deadline header, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the weights, in megabytes.
    #[serde(default)]
    pub weights_mb: u32,
}

/// An HTTP method of a route.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Reads.
    Get,
    /// Creates or runs.
    Post,
    /// Replaces.
    Put,
    /// Removes.
    Delete,
}

impl Method {
    /// Returns the method's token in a request line.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Get => "GET",
            Self::Post => "POST",
            Self::Put => "PUT",
            Self::Delete => "DELETE",
        }
    }
}

/// One route of a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Method that the route accepts.
    pub method: Method,
    /// Path after the service's name, with a leading `/`; it has to match exactly.
    pub path: String,
    /// Whether a call may be retried after it may have run.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline of calls without a deadline header, in milliseconds.
    #[serde(default = "default_service_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_service_deadline_ms() -> u64 {
    10_000
}

/// A plain HTTP service, which is not a model pipeline.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Routes of the service; a call that matches none is refused.
    pub routes: Vec<Route>,
}

/// The kind of a server's accelerator.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Accelerator {
    /// Largest training-class accelerator.
    Large,
    /// Training-class accelerator of the preceding generation.
    Medium,
    /// Inference-class accelerator.
    Small,
    /// Workstation accelerator.
    Workstation,
    /// Accelerator that is not a graphics processor.
    Custom,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Failure domain that the server belongs to.
    pub domain: DomainName,
    /// Address at which the server accepts calls, `ip:port`.
    pub address: String,
    /// Model engine or plain service that the server runs.
    #[serde(rename = "use")]
    pub used_for: ServerUse,
    /// Whether the server gets no new work, as operators have asked.
    #[serde(default)]
    pub drain: bool,
}

/// The model engine or plain service that a server runs.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerUse {
    /// A model engine with this placement.
    Engine(Placement),
    /// An instance of the named plain service.
    Service(ServiceName),
}

/// The model layers and adapters that an engine should load.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Kind of the server's accelerator.
    pub accelerator: Accelerator,
    /// Name of the model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Layers that the engine runs.
    pub layers: LayerRange,
    /// Role of the engine in a pipeline.
    #[serde(default)]
    pub role: Role,
    /// Names of the adapters that the engine loads.
    #[serde(default)]
    pub adapters: SmallVec<[String; 2]>,
}
