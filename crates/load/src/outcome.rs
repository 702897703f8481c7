//! What callers saw.

use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

use crate::arrivals::RequestSpec;

/// One send of one request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct SendRecord {
    /// Number of the request; its sends share it.
    pub number: usize,
    /// What was sent.
    pub spec: RequestSpec,
    /// Time at which the request should have been sent, in microseconds since the start.
    pub due_us: u64,
    /// Time at which it was sent.
    pub started_us: u64,
    /// Time at which the caller had its result.
    pub ended_us: u64,
    /// The result.
    pub result: SendResult,
}

/// Result of one send.
#[derive(Clone, Debug)]
pub enum SendResult {
    /// A model's answer that was told to be whole.
    Complete(CompleteAnswer),
    /// An answer of a plain service.
    Answered {
        /// Status.
        status: u16,
        /// Body.
        body: String,
    },
    /// A refusal.
    Refused {
        /// Why.
        reason: RefusalReason,
        /// What the caller may conclude.
        outcome: Outcome,
    },
    /// No entry host could be reached.
    NotSent,
    /// The connection broke before the end of the answer.
    Broken(String),
}

/// A model's answer that was told to be whole.
#[derive(Clone, Debug)]
pub struct CompleteAnswer {
    /// Tokens.
    pub tokens: Vec<String>,
    /// Arrival of each token, in microseconds since the start of the run.
    pub token_arrivals_us: Vec<u64>,
    /// Version of the model, as told.
    pub version: String,
    /// Number of tokens, as told.
    pub reported_tokens: u32,
    /// Digest, as told.
    pub reported_digest: String,
    /// Attempts, as told.
    pub attempts: u32,
}

/// A fault that was carried out.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// What it was.
    pub label: String,
    /// Time since the start of the run, in milliseconds.
    pub at_ms: u64,
    /// How long it lasted, in milliseconds.
    pub for_ms: u64,
    /// Why it could not be carried out.
    pub error: Option<String>,
}
