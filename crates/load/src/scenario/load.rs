//! Loads of scenarios: model requests and calls to plain services.

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::config::Method;

/// Load of requests from one team to one model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ChatLoad {
    /// Model.
    pub model: String,
    /// Team.
    pub team: String,
    /// Arrivals per second on average.
    pub per_s: f64,
    /// Number of words in each prompt.
    #[serde(default = "default_prompt_words")]
    pub prompt_words: usize,
    /// Number of different prefixes, one of which each prompt begins with; 0 for no shared prefixes.
    #[serde(default)]
    pub shared_prefixes: usize,
    /// Token limit of an answer.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Deadline of each request, in milliseconds from its send.
    #[serde(default = "default_deadline_ms")]
    pub deadline_ms: u64,
    /// Text that each prompt contains, such as the mark that crashes stand-in engines; empty for
    /// none.
    #[serde(default)]
    pub mark: String,
    /// Start of the arrivals, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the arrivals, in milliseconds; `None` for the end of the run.
    #[serde(default)]
    pub to_ms: Option<u64>,
    /// Highest number of times that a request is resent after a refusal or a broken connection.
    #[serde(default)]
    pub resends: u32,
}

fn default_prompt_words() -> usize {
    32
}

fn default_max_tokens() -> u32 {
    64
}

fn default_deadline_ms() -> u64 {
    15_000
}

/// Load of calls from one team to one route of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct CallLoad {
    /// Service.
    pub service: String,
    /// Method.
    pub method: Method,
    /// Path below the service's name.
    pub path: String,
    /// Team.
    pub team: String,
    /// Arrivals per second on average.
    pub per_s: f64,
    /// Whether each call carries an idempotency key of its own.
    #[serde(default)]
    pub keyed: bool,
    /// Percentage of calls that are sent twice at nearly the same time with the same key.
    #[serde(default)]
    pub double_percent: u8,
    /// Highest number of times that a call without a final answer is resent with its key.
    #[serde(default)]
    pub resends: u32,
    /// Start of the arrivals, in milliseconds.
    #[serde(default)]
    pub from_ms: u64,
    /// End of the arrivals, in milliseconds; `None` for the end of the run.
    #[serde(default)]
    pub to_ms: Option<u64>,
}

/// A flood of model requests from one team, and the accepted effect on the other teams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FloodSpec {
    /// Name of the team that sends the flood.
    pub team: String,
    /// Highest accepted ratio of the other teams' p95 time to the first token during the flood to
    /// that before it; `None` for no limit.
    #[serde(default)]
    pub max_ratio: Option<f64>,
}
