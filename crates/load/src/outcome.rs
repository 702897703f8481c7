//! Results of requests as their callers observed them.

use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

use crate::arrivals::RequestSpec;

/// One send of a request with its result, as the caller observed it.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// Sequence number of the request; all sends of one request have the same number.
    pub number: usize,
    /// Content of the request.
    pub spec: RequestSpec,
    /// Scheduled send time, in microseconds since the start of the run.
    pub due_us: u64,
    /// Actual send time, in microseconds since the start of the run.
    pub started_us: u64,
    /// Time at which the caller had its result, in microseconds since the start of the run.
    pub ended_us: u64,
    /// Result of the send.
    pub result: SendResult,
}

/// Result of one send.
#[derive(Clone, Debug)]
pub enum SendResult {
    /// A model's answer that the entry host closed as complete.
    Complete(CompleteAnswer),
    /// An answer of a plain service.
    Answered {
        /// HTTP status.
        status: u16,
        /// Response body.
        body: String,
    },
    /// The entry host refused the request.
    Refused {
        /// Reason of the refusal.
        reason: RefusalReason,
        /// Whether the request ran, as far as the entry host knows.
        outcome: Outcome,
    },
    /// No entry host could be reached.
    NotSent,
    /// The connection broke before the end of the answer.
    Broken(String),
}

/// A model's answer that the entry host closed as complete.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// Received tokens, in order.
    pub tokens: Vec<String>,
    /// Arrival of each token, in microseconds since the start of the run.
    pub token_arrivals_us: Vec<u64>,
    /// Model version that the closing chunk reports.
    pub version: String,
    /// Number of tokens that the closing chunk reports.
    pub reported_tokens: u32,
    /// Digest of the tokens that the closing chunk reports.
    pub reported_digest: String,
    /// Number of attempts that the closing chunk reports.
    pub attempts: u32,
}

/// A fault that was injected, or that could not be.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Short description of the fault.
    pub label: String,
    /// Start of the fault, in milliseconds since the start of the run.
    pub at_ms: u64,
    /// Duration of the fault, in milliseconds.
    pub for_ms: u64,
    /// Why the fault could not be injected; `None` when it was.
    pub error: Option<String>,
}
