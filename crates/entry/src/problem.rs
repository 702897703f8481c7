//! Refusals of requests and their problem bodies (RFC 9457).

use serde::Serialize;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

/// Media type of problem bodies.
pub const PROBLEM_TYPE: &str = "application/problem+json";

/// The refusal of a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal {
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Whether the request was run, as far as is known.
    pub outcome: Outcome,
    /// Time after which the caller may retry; `None` when a retry is useless.
    pub retry_after: Option<Millis>,
    /// Explanation for human readers.
    pub detail: String,
}

impl Refusal {
    /// Creates a refusal of a request that was not run.
    pub fn not_run(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::NotRun, retry_after: None, detail: detail.into() }
    }

    /// Creates a refusal of a request that may have been run.
    pub fn unknown(reason: RefusalReason, detail: impl Into<String>) -> Self {
        Self { reason, outcome: Outcome::Unknown, retry_after: None, detail: detail.into() }
    }

    /// Sets the time after which the caller may retry.
    pub fn retry_after(mut self, span: Millis) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Returns the HTTP status code of the reason.
    pub fn status(&self) -> u16 {
        match self.reason {
            RefusalReason::Malformed
            | RefusalReason::InvalidUtf8
            | RefusalReason::BadDeadline
            | RefusalReason::MissingKey
            | RefusalReason::BadKey => 400,
            RefusalReason::UnknownTeam => 401,
            RefusalReason::NotFound
            | RefusalReason::UnknownModel
            | RefusalReason::UnknownService => 404,
            RefusalReason::MethodNotAllowed => 405,
            RefusalReason::ReadTimeout => 408,
            RefusalReason::Tombstoned => 409,
            RefusalReason::AnswerNotKept => 410,
            RefusalReason::BodyTooLarge => 413,
            RefusalReason::KeyReused | RefusalReason::Quarantined => 422,
            RefusalReason::TeamLimit => 429,
            RefusalReason::CallerGone => 499,
            RefusalReason::ServerFailed | RefusalReason::OutcomeUnknown => 502,
            RefusalReason::QueueFull
            | RefusalReason::DeadlineUnmeetable
            | RefusalReason::Overloaded
            | RefusalReason::Draining
            | RefusalReason::NoChain
            | RefusalReason::NoServer
            | RefusalReason::RetriesExhausted
            | RefusalReason::StoreUnavailable
            | RefusalReason::StoreRestored
            | RefusalReason::VersionGone
            | RefusalReason::NoConfiguration => 503,
            RefusalReason::DeadlineExceeded => 504,
        }
    }

    /// Returns the problem body as JSON.
    pub fn body(&self, request: RequestId) -> String {
        let problem = Problem {
            kind: format!("urn:yuccanotch:refusal:{}", self.reason),
            title: self.reason.as_str().replace('_', " "),
            status: self.status(),
            detail: &self.detail,
            reason: self.reason,
            outcome: self.outcome,
            request,
            retry_after_ms: self.retry_after,
        };
        serde_json::to_string(&problem).expect("a problem consists of strings and numbers")
    }

    /// Returns the value of the `Retry-After` header, in whole seconds, rounded up.
    pub fn retry_after_s(&self) -> Option<u64> {
        self.retry_after.map(|span| span.0.div_ceil(1000).max(1))
    }
}

#[derive(Serialize)]
struct Problem<'a> {
    #[serde(rename = "type")]
    kind: String,
    title: String,
    status: u16,
    detail: &'a str,
    reason: RefusalReason,
    outcome: Outcome,
    request: RequestId,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<Millis>,
}
