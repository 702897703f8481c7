//! Shape of the operators' declarations.

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

/// The whole configuration under one number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Declaration {
    /// Failure domains.
    pub domains: BTreeMap<DomainName, Domain>,
    /// Teams.
    pub teams: BTreeMap<TeamName, Team>,
    /// Models.
    pub models: BTreeMap<ModelName, Model>,
    /// Plain services.
    pub services: BTreeMap<ServiceName, Service>,
    /// Backend servers.
    pub servers: BTreeMap<ServerName, Server>,
    /// How changes of placement are brought about.
    pub rollout: Rollout,
}

/// How changes of placement are brought about.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Rollout {
    /// Servers of a domain that keep serving each layer range throughout a change.
    pub keep_serving: u16,
    /// Servers of a domain that load weights at the same time.
    pub loads_at_once: u16,
    /// Rate that a domain may draw from the weight store, in megabytes per second.
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
    /// Region that the domain belongs to.
    pub region: RegionName,
}

/// Priorities of requests, lowest first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Work that may wait.
    Batch,
    /// Ordinary work.
    #[default]
    Normal,
    /// Work that an end user waits for.
    Urgent,
}

impl Priority {
    /// All priorities, lowest first.
    pub const ALL: [Self; 3] = [Self::Batch, Self::Normal, Self::Urgent];

    /// Returns the priority as the engines count it, 0 (lowest) to 9.
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
    /// SHA-256 digests of the team's bearer keys; two while a key is being replaced.
    pub keys: SmallVec<[Digest; 2]>,
    /// Share against other teams when servers are short, at least 1.
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

/// A model.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Model {
    /// Number of layers, at least 1.
    pub layers: u16,
    /// Version that new requests run on.
    pub version: ModelVersion,
    /// Most tokens of one answer.
    pub max_tokens: u32,
    /// Deadline of requests that name none, in milliseconds.
    pub deadline_ms: u64,
    /// Size of the weights, in megabytes.
    #[serde(default)]
    pub weights_mb: u32,
}

/// HTTP methods of plain services.
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
    /// Method.
    pub method: Method,
    /// Path below the service's name, matched exactly, with a leading `/`.
    pub path: String,
    /// Whether a call may be repeated.
    #[serde(default)]
    pub repeatable: bool,
    /// Deadline of calls that name none, in milliseconds.
    #[serde(default = "default_service_deadline_ms")]
    pub deadline_ms: u64,
}

fn default_service_deadline_ms() -> u64 {
    10_000
}

/// A plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Routes; a call that matches none is refused.
    pub routes: Vec<Route>,
}

/// Kinds of accelerators.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Accelerator {
    /// Largest training-class parts.
    Large,
    /// Training-class parts of the preceding generation.
    Medium,
    /// Inference-class parts.
    Small,
    /// Parts for workstations.
    Workstation,
    /// Accelerators other than graphics processors.
    Custom,
}

/// A backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Server {
    /// Failure domain.
    pub domain: DomainName,
    /// Service address, `ip:port`.
    pub address: String,
    /// What the server is used for.
    #[serde(rename = "use")]
    pub used_for: ServerUse,
    /// Whether operators want the server to take no new work.
    #[serde(default)]
    pub drain: bool,
}

/// What a server is used for.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerUse {
    /// A model engine.
    Engine(Placement),
    /// An instance of a plain service.
    Service(ServiceName),
}

/// What a model engine should hold.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Placement {
    /// Kind of accelerator.
    pub accelerator: Accelerator,
    /// Model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Layers.
    pub layers: LayerRange,
    /// Role.
    #[serde(default)]
    pub role: Role,
    /// Adapters.
    #[serde(default)]
    pub adapters: SmallVec<[String; 2]>,
}
