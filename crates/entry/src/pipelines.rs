//! Runs of a request on chains of backend servers.

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

/// A request to a model.
#[derive(Clone, Debug)]
pub struct ChatJob {
    /// Request.
    pub request: RequestId,
    /// Team of the caller.
    pub team: TeamName,
    /// Model.
    pub model: ModelName,
    /// Version of the weights for the whole answer.
    pub version: ModelVersion,
    /// Number of layers of the model.
    pub layers: u16,
    /// Prompt.
    pub prompt: String,
    /// Most tokens of the answer.
    pub max_tokens: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// When the answer has to be whole.
    pub deadline: Millis,
}

/// Takes the tokens of an answer in order.
pub trait TokenSink {
    /// Takes the next token.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller is gone.
    fn push_token(&mut self, token: &str) -> Result<(), CallerGone>;

    /// Returns whether the caller is gone.
    fn is_gone(&self) -> bool;
}

/// Closes a whole answer.
#[derive(Clone, Debug)]
pub struct AnswerSummary {
    /// Number of tokens.
    pub count: u32,
    /// Digest of the tokens.
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in a prefix cache.
    pub cached_tokens: u32,
    /// Attempts that the answer took.
    pub attempts: u32,
    /// Version that produced all tokens.
    pub version: ModelVersion,
    /// Chain that completed the answer.
    pub chain: Chain,
}

/// Runs a request and hands its tokens to `sink`.
///
/// A chain that dies, stalls, slows down or sends bad frames is left for another one, which goes on
/// after the last token handed over.
///
/// # Errors
///
/// Refuses when no whole answer could be had before the deadline.
pub fn run(host: &Host, job: &ChatJob, sink: &mut dyn TokenSink) -> Result<AnswerSummary, Refusal> {
    runner::Runner::new(host, job, sink).run()
}
