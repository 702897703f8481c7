//! Runs model requests on chains of backend servers, with retries on other chains.

mod attempt;
mod runner;

use yuccanotch_core::clock::Millis;
use yuccanotch_core::digest::Digest;
use yuccanotch_core::engine::Chain;
use yuccanotch_core::engine::Finish;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::name::ModelName;
use yuccanotch_core::name::ModelVersion;
use yuccanotch_core::name::TeamName;

use crate::answer::CallerGone;
use crate::host::Host;
use crate::problem::Refusal;

/// A caller's request to a model, with all its parameters.
#[derive(Clone, Debug)]
pub struct ChatJob {
    /// Identifier of the request.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Model.
    pub model: ModelName,
    /// Version of the weights to start with; it may change until the first token.
    pub version: ModelVersion,
    /// Number of layers of the model.
    pub layers: u16,
    /// Prompt.
    pub prompt: String,
    /// Largest number of tokens in the answer.
    pub max_tokens: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Time by which the answer has to be complete, on the host's clock.
    pub deadline: Millis,
}

/// Receives the tokens of an answer in order.
pub trait TokenSink {
    /// Receives the next token.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller has disconnected.
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone>;

    /// Returns whether the caller has disconnected.
    fn is_gone(&self) -> bool;
}

/// Summary of a complete answer.
#[derive(Clone, Debug)]
pub struct AnswerSummary {
    /// Number of tokens in the answer.
    pub count: u32,
    /// Digest of all tokens of the answer.
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Number of attempts that the answer took.
    pub attempts: u32,
    /// Model version that produced all tokens.
    pub version: ModelVersion,
    /// Chain that completed the answer.
    pub chain: Chain,
}

/// Runs a request and passes its tokens to `sink`.
///
/// When a chain fails, stalls, slows down or sends invalid frames, another chain continues the
/// answer after the last token that was passed on.
///
/// # Errors
///
/// Returns a refusal when the answer could not be completed before the deadline.
pub fn run(host: &Host, job: &ChatJob, sink: &mut dyn TokenSink) -> Result<AnswerSummary, Refusal> {
    runner::Runner::new(host, job, sink).run()
}
