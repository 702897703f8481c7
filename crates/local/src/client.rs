//! HTTP client that acts as a caller of the entry hosts.

use std::io;
use std::io::BufReader;
use std::net::SocketAddr;
use std::time::Duration;

use quick_error::quick_error;
use serde::Deserialize;
use serde_json::json;
use serde_json::Value;
use ureq::http;
use ureq::Agent;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::reason::Outcome;
use yuccanotch_core::reason::RefusalReason;

quick_error! {
    /// Why a call got no complete answer.
    #[derive(Debug)]
    pub enum CallError {
        /// The entry host refused the request, or gave it up after it had begun.
        Refused(problem: Problem) {
            display("refused: {} ({}): {}", problem.reason, problem.outcome, problem.detail)
        }
        /// The connection failed before any byte of the request was sent.
        NotSent {
            display("the entry host cannot be reached")
        }
        /// The connection broke, or the answer is malformed or has no closing chunk.
        Broken(text: String) {
            display("broken answer: {}", text)
        }
    }
}

/// Problem body of a refusal.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct Problem {
    /// HTTP status.
    pub status: u16,
    /// Reason of the refusal.
    pub reason: RefusalReason,
    /// Whether the request ran, as far as the entry host knows.
    pub outcome: Outcome,
    /// Description for people.
    pub detail: String,
    /// Time after which a retry makes sense; `None` when the entry host suggests none.
    #[serde(default)]
    pub retry_after_ms: Option<Millis>,
}

/// Last chunk of a complete model answer, with the figures to verify it by.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq)]
pub struct ClosingChunk {
    /// Request id that the entry host assigned.
    pub request: String,
    /// Version of the model.
    pub version: String,
    /// Number of tokens.
    pub tokens: u32,
    /// Digest of the tokens.
    pub digest: String,
    /// Attempts that the answer took.
    pub attempts: u32,
    /// Names of the servers in the chain that completed the answer.
    pub chain: Vec<String>,
}

/// A complete answer of a model that was received as a stream.
#[derive(Clone, Debug)]
pub struct StreamedAnswer {
    /// Received tokens, in order.
    pub tokens: Vec<String>,
    /// Arrival time of each token, since the start of the call.
    pub token_arrivals: Vec<Millis>,
    /// Closing chunk of the stream.
    pub closing: ClosingChunk,
}

/// Answer of a plain service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Body.
    pub body: String,
}

/// A caller that presents its team's bearer key.
#[derive(Clone, Debug)]
pub struct Caller {
    agent: Agent,
    key: String,
    timeout: Duration,
}

impl Caller {
    /// Creates a caller that waits at most `timeout` for an answer.
    pub fn new(key: &str, timeout: Duration) -> Self {
        let agent = yuccanotch_entry::engine_client::agent(Duration::from_secs(1));
        Self { agent, key: key.to_owned(), timeout }
    }

    /// Sends a chat request to a model and reads the streamed answer.
    ///
    /// # Errors
    ///
    /// Returns an error unless the answer is complete.
    pub fn chat(
        &self,
        host: SocketAddr,
        model: &str,
        content: &str,
        max_tokens: u32,
        deadline: Option<Millis>,
    ) -> Result<StreamedAnswer, CallError> {
        let clock = Clock::monotonic();
        let body = json!({
            "model": model,
            "messages": [{"role": "user", "content": content}],
            "stream": true,
            "max_tokens": max_tokens,
        });
        let mut req = http::Request::post(format!("http://{host}/v1/chat/completions"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some(deadline) = deadline {
            req = req.header(yuccanotch_entry::host::DEADLINE_HEADER, deadline.0);
        }
        let req = req.body(body.to_string()).map_err(|e| CallError::Broken(e.to_string()))?;
        let req = self.agent.configure_request(req).timeout_global(Some(self.timeout)).build();
        let mut response = self.agent.run(req).map_err(to_call_error)?;
        if response.status().as_u16() != 200 {
            return Err(parse_problem(
                response.body_mut().read_to_string().map_err(to_call_error)?,
            ));
        }
        read_events(BufReader::new(response.into_body().into_reader()), &clock)
    }

    /// Calls a plain service.
    ///
    /// # Errors
    ///
    /// Returns an error when the response is not an answer of the service.
    pub fn call_service(
        &self,
        host: SocketAddr,
        method: &str,
        path: &str,
        key: Option<&str>,
        body: &str,
    ) -> Result<ServiceAnswer, CallError> {
        let mut req = http::Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header("authorization", format!("Bearer {}", self.key))
            .header("content-type", "application/json");
        if let Some(key) = key {
            req = req.header(yuccanotch_entry::plain::IDEMPOTENCY_KEY_HEADER, key);
        }
        let req = req.body(body.to_owned()).map_err(|e| CallError::Broken(e.to_string()))?;
        let req = self.agent.configure_request(req).timeout_global(Some(self.timeout)).build();
        let mut response = self.agent.run(req).map_err(to_call_error)?;
        let is_service_answer = response.headers().contains_key("yuccanotch-outcome");
        let status = response.status().as_u16();
        let body = response.body_mut().read_to_string().map_err(to_call_error)?;
        if is_service_answer {
            Ok(ServiceAnswer { status, body })
        } else {
            Err(parse_problem(body))
        }
    }
}

fn to_call_error(e: ureq::Error) -> CallError {
    if yuccanotch_entry::engine_client::was_not_sent(&e) {
        CallError::NotSent
    } else {
        CallError::Broken(e.to_string())
    }
}

fn parse_problem(body: String) -> CallError {
    match serde_json::from_str(&body) {
        Ok(problem) => CallError::Refused(problem),
        Err(_) => CallError::Broken(format!("no problem body: {body}")),
    }
}

fn read_events(reader: impl io::BufRead, clock: &Clock) -> Result<StreamedAnswer, CallError> {
    let mut tokens = Vec::new();
    let mut token_arrivals = Vec::new();
    let mut closing = None;
    let mut is_error = false;
    for line in reader.lines() {
        let line = line.map_err(|e| CallError::Broken(e.to_string()))?;
        if line == "event: error" {
            is_error = true;
        }
        let Some(data) = line.strip_prefix("data: ") else {
            continue;
        };
        if is_error {
            return Err(parse_problem(data.to_owned()));
        }
        if data == "[DONE]" {
            let Some(closing) = closing else {
                return Err(CallError::Broken(
                    "no closing chunk before the end of the stream".to_owned(),
                ));
            };
            return Ok(StreamedAnswer { tokens, token_arrivals, closing });
        }
        let chunk: Value =
            serde_json::from_str(data).map_err(|e| CallError::Broken(e.to_string()))?;
        if let Some(token) = chunk["choices"][0]["delta"]["content"].as_str() {
            tokens.push(token.to_owned());
            token_arrivals.push(clock.now());
        }
        if chunk["yuccanotch"].is_object() {
            closing = serde_json::from_value(chunk["yuccanotch"].clone()).ok();
        }
    }
    Err(CallError::Broken("the stream ended before its closing chunk".to_owned()))
}
