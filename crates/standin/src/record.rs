//! Records of what the stand-ins executed, independent of what the router reports.

use std::collections::HashMap;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_core::digest::fast_hash;
use yuccanotch_core::ids::Attempt;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::name::ServiceName;

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// The run has not ended.
    Open,
    /// The answer was sent completely.
    Whole,
    /// A server of the chain crashed.
    Crashed,
    /// The caller cancelled the run or closed the connection.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
    /// A server of the chain refused the run; no layer was executed.
    Refused,
}

/// One run of a request on a chain of engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// The id of the request.
    pub request: RequestId,
    /// The number of the attempt.
    pub attempt: Attempt,
    /// The name of the model.
    pub model: ModelName,
    /// The version of the model.
    pub version: ModelVersion,
    /// The hash of the prompt; see [`prompt_hash`].
    pub prompt: u64,
    /// The servers of the chain, in layer order.
    pub chain: Vec<ServerName>,
    /// The number of tokens that earlier attempts released.
    pub released: u32,
    /// The number of tokens that this run produced.
    pub tokens: u32,
    /// How the run ended.
    pub end: RunEnd,
    /// The time of its start, in microseconds since the stand-ins started.
    pub started_us: u64,
}

/// One execution of a call by a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// The number of the execution, counted from 1 over all services.
    pub run: u64,
    /// The name of the service.
    pub service: ServiceName,
    /// The server that executed the call.
    pub server: ServerName,
    /// The HTTP method.
    pub method: String,
    /// The path with its query.
    pub path: String,
    /// The idempotency key, if one was sent.
    pub key: Option<String>,
    /// The hash of the body.
    pub body: u64,
    /// The time of its start, in microseconds since the stand-ins started.
    pub started_us: u64,
}

/// The number of calls to the store, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCalls {
    /// Reads, lists and reads of the host list.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches; one that waits for a long time counts once.
    pub watches: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Calls refused by the rate limit.
    pub over_rate: u64,
    /// Calls that were refused, lost or left unanswered because of a fault.
    pub faulted: u64,
}

/// Everything that the stand-ins executed.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// The runs of engines, in the order of their start.
    pub runs: Vec<RunRecord>,
    /// The executions by plain services, in order.
    pub calls: Vec<CallRecord>,
    /// The calls to the store.
    pub store: StoreCalls,
    /// The number of tokens that all engines produced.
    pub tokens: u64,
    /// The number of engine crashes.
    pub crashes: u64,
}

impl Record {
    /// Returns the number of executions for each service and idempotency key.
    pub fn runs_by_key(&self) -> HashMap<(ServiceName, String), u32> {
        let mut counts = HashMap::new();
        for call in &self.calls {
            if let Some(key) = &call.key {
                *counts.entry((call.service.clone(), key.clone())).or_default() += 1;
            }
        }
        counts
    }
}

/// Returns the hash under which a prompt is recorded.
pub fn prompt_hash(prompt: &str) -> u64 {
    fast_hash(prompt.as_bytes())
}
