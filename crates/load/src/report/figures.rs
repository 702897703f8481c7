//! Figures of a report.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use yuccanotch_standin::StoreCalls;

use super::latency::Bucket;
use super::latency::Quantiles;
use crate::teams::FloodFigures;
use crate::teams::TeamFigures;

/// Report of one run. Times are in milliseconds unless a field says otherwise.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Title of the scenario.
    pub title: String,
    /// Seed of the arrivals and fault times.
    pub seed: u64,
    /// Routing policy of the entry hosts.
    pub policy: String,
    /// Time during which requests arrived, in seconds.
    pub seconds: u32,
    /// Figures of requests to models.
    pub chat: ChatFigures,
    /// Figures of calls to plain services.
    pub calls: CallFigures,
    /// Figures of requests to models, by team.
    #[serde(default)]
    pub teams: BTreeMap<String, TeamFigures>,
    /// Effect of the scenario's flood on the other teams.
    #[serde(default)]
    pub flood: Option<FloodFigures>,
    /// Number of refusals by reason and outcome.
    pub refusals: BTreeMap<String, u64>,
    /// Faults and the recovery from each.
    pub faults: Vec<FaultFigures>,
    /// Number of connections that callers opened or tried to open.
    pub connections: u64,
    /// Number of arrivals that were sent late because too many callers were active.
    pub delayed_arrivals: u64,
    /// Calls that the store received; `None` without a record of the stand-ins.
    pub store: Option<StoreCalls>,
    /// Number of engine crashes.
    pub crashes: u64,
    /// Number of broken promises by kind.
    pub broken: BTreeMap<String, u64>,
    /// Examples of broken promises.
    pub broken_examples: Vec<String>,
    /// Tokens per second that callers received, in intervals of [`THROUGHPUT_STEP_MS`].
    pub series: Vec<f64>,
    /// Histogram of the time to the first token.
    pub first_token: Vec<Bucket>,
    /// Histogram of the time between consecutive tokens.
    pub inter_token: Vec<Bucket>,
}

/// Figures of requests to models.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ChatFigures {
    /// Requests sent, resends included.
    pub sent: u64,
    /// Answers that were received to their end.
    pub whole: u64,
    /// Requests that an entry host refused.
    pub refused: u64,
    /// Requests that ended without an answer: the connection broke or no entry host was reached.
    pub broken: u64,
    /// Complete answers that took longer than their deadline.
    pub late: u64,
    /// Complete answers that took more than one attempt.
    pub resumed: u64,
    /// Tokens per second that callers received, without the first second.
    pub tokens_per_s: f64,
    /// Tokens per second needed to answer all requests completely.
    pub offered_tokens_per_s: f64,
    /// Upper bound of the engines' throughput, in tokens per second.
    pub bound_tokens_per_s: f64,
    /// Upper bound, in tokens per second, that also takes into account that a chain occupies a slot
    /// on all its stages at once.
    pub slot_bound_tokens_per_s: f64,
    /// `tokens_per_s` divided by `bound_tokens_per_s`.
    pub share_of_bound: f64,
    /// Tokens that engines generated per token that callers received.
    pub work_per_token: f64,
    /// Time from the scheduled send of a request to its first token.
    pub first_token_ms: Quantiles,
    /// Time between consecutive tokens of an answer.
    pub inter_token_ms: Quantiles,
}

/// Figures of calls to plain services.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct CallFigures {
    /// Calls sent, resends included.
    pub sent: u64,
    /// Calls that a service answered.
    pub answered: u64,
    /// Requests that an entry host refused.
    pub refused: u64,
    /// Refusals that leave open whether the call ran.
    pub unknown: u64,
    /// Requests that ended without an answer: the connection broke or no entry host was reached.
    pub broken: u64,
    /// Time from the scheduled send of a call to its answer.
    pub answer_ms: Quantiles,
}

/// A fault and the recovery from it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct FaultFigures {
    /// Short description of the fault.
    pub label: String,
    /// Start of the fault, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
    /// Answers that were streaming at the start of the fault and took more than one attempt.
    pub resumed: u64,
    /// Longest time between two tokens in each of these answers.
    pub pause_ms: Quantiles,
    /// Time from the fault until throughput was back at four fifths of that before it; `None` if it
    /// never was.
    pub back_ms: Option<u64>,
}
