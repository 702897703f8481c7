//! Deployments of scenarios: failure domains, teams, models and plain services.

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::config::Method;
use yuccanotch_core::config::Priority;

/// Description of an embedded deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSpec {
    /// Region of all failure domains.
    pub region: String,
    /// Names of the failure domains.
    pub domains: Vec<String>,
    /// Number of entry hosts in each failure domain.
    pub entries_per_domain: usize,
    /// Limit of requests in flight on one entry host; `None` for its default.
    #[serde(default)]
    pub in_flight: Option<usize>,
    /// Teams; the bearer key of a team is its name followed by `-key`.
    pub teams: Vec<TeamSpec>,
    /// Models.
    pub models: Vec<ModelSpec>,
    /// Plain services, each with one instance in each failure domain.
    #[serde(default)]
    pub services: Vec<ServiceSpec>,
    /// One-way delay between failure domains, in microseconds; `None` for the default.
    #[serde(default)]
    pub cross_domain_us: Option<u32>,
    /// Writes per second that the store accepts; `None` for the default.
    #[serde(default)]
    pub store_writes_per_s: Option<u32>,
}

/// A team with its limits.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamSpec {
    /// Name.
    pub name: String,
    /// Weight of the team's share of capacity, relative to other teams.
    #[serde(default = "one")]
    pub weight: u32,
    /// Priority of the team's requests.
    #[serde(default)]
    pub priority: Priority,
    /// Limit of requests per second over all entry hosts; `None` for no limit.
    #[serde(default)]
    pub requests_per_s: Option<u32>,
    /// Limit of requests in flight on one entry host; `None` for no limit.
    #[serde(default)]
    pub in_flight: Option<u32>,
}

fn one() -> u32 {
    1
}

/// A model with its engines.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelSpec {
    /// Name.
    pub name: String,
    /// Number of layers.
    pub layers: u16,
    /// Number of pipeline stages, over which the layers are split evenly.
    pub stages: u16,
    /// Time of one step with an empty batch, in microseconds, for each replica of a stage; the
    /// length of the list is the number of replicas.
    pub step_base_us: Vec<u32>,
    /// Additional time of a step per sequence in the batch, in microseconds, for each replica; a
    /// shorter list is repeated.
    #[serde(default = "default_step_sequence_us")]
    pub step_sequence_us: Vec<u32>,
    /// Prefill time per word of the prompt, in microseconds.
    #[serde(default = "default_prefill_word_us")]
    pub prefill_word_us: u32,
    /// Highest number of concurrent runs on one engine, and length of its queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Time from a crash of an engine to its restart, in milliseconds.
    #[serde(default = "default_restart_ms")]
    pub restart_ms: u64,
}

fn default_step_sequence_us() -> Vec<u32> {
    vec![100]
}

fn default_prefill_word_us() -> u32 {
    20
}

fn default_slots() -> u32 {
    32
}

fn default_restart_ms() -> u64 {
    2000
}

/// A plain service with its routes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSpec {
    /// Name.
    pub name: String,
    /// Routes of the service.
    pub routes: Vec<RouteSpec>,
    /// Time to execute a call, in milliseconds.
    #[serde(default)]
    pub delay_ms: u64,
}

/// A route of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Method.
    pub method: Method,
    /// Path below the service's name.
    pub path: String,
    /// Whether a call may be repeated.
    pub repeatable: bool,
}
