//! What the stand-ins ran, kept apart from anything the router says.

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
    /// It has not ended.
    Open,
    /// The answer was whole.
    Whole,
    /// A server crashed.
    Crashed,
    /// The caller cancelled it or went away.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
    /// A server on the chain could not take it; no layer ran.
    Refused,
}

/// One run of a request on a chain of engines.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRecord {
    /// Request.
    pub request: RequestId,
    /// Attempt.
    pub attempt: Attempt,
    /// Model.
    pub model: ModelName,
    /// Version.
    pub version: ModelVersion,
    /// Hash of the prompt; see [`prompt_hash`].
    pub prompt: u64,
    /// Servers of the chain, in layer order.
    pub chain: Vec<ServerName>,
    /// Tokens released by earlier attempts.
    pub released: u32,
    /// Tokens that this run produced.
    pub tokens: u32,
    /// How it ended.
    pub end: RunEnd,
    /// Start, in microseconds since the stand-ins started.
    pub started_us: u64,
}

/// One execution of a call by a plain service.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallRecord {
    /// Number of the execution, from 1, over all services.
    pub run: u64,
    /// Service.
    pub service: ServiceName,
    /// Server that executed it.
    pub server: ServerName,
    /// Method.
    pub method: String,
    /// Path with its query.
    pub path: String,
    /// Idempotency key, if one was sent.
    pub key: Option<String>,
    /// Hash of the body.
    pub body: u64,
    /// Start, in microseconds since the stand-ins started.
    pub started_us: u64,
}

/// Calls of the store, by kind.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreCalls {
    /// Reads and lists.
    pub reads: u64,
    /// Writes and deletes.
    pub writes: u64,
    /// Watches; a waiting one counts as one.
    pub watches: u64,
    /// Grants and renewals of leases.
    pub leases: u64,
    /// Calls refused over the rate.
    pub over_rate: u64,
    /// Calls refused or lost by a fault.
    pub faulted: u64,
}

/// Everything that the stand-ins ran.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Record {
    /// Runs of engines, in order of their start.
    pub runs: Vec<RunRecord>,
    /// Executions by plain services, in order.
    pub calls: Vec<CallRecord>,
    /// Calls of the store.
    pub store: StoreCalls,
    /// Tokens that all engines produced.
    pub tokens: u64,
    /// Crashes of engines.
    pub crashes: u64,
}

impl Record {
    /// Returns how often each key of a service was executed.
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
