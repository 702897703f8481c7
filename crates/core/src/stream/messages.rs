//! Inputs and outputs of the answer state machine.

use smallvec::SmallVec;

use crate::clock::Millis;
use crate::digest::Digest;
use crate::engine::Chain;
use crate::engine::Finish;
use crate::engine::Frame;
use crate::ids::Attempt;
use crate::ids::RequestId;
use crate::name::ModelVersion;
use crate::name::ServerName;
use crate::reason::FrameFault;
use crate::reason::RefusalReason;
use crate::reason::RetryReason;

/// Requirements that the answer to one request has to meet.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Model version that every layer has to run with.
    pub version: ModelVersion,
    /// Number of layers of the model.
    pub layers: u16,
    /// Most tokens of the answer over all attempts.
    pub max_tokens: u32,
    /// Time by which the answer has to be complete.
    pub deadline: Millis,
}

/// The chain of servers for an attempt, with its expected latencies.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Stages in layer order.
    pub chain: Chain,
    /// Expected time from the beginning of the attempt to its first token.
    pub first_token: Millis,
    /// Expected time between tokens, in microseconds.
    pub step_us: u32,
}

/// Input to an [`crate::stream::AnswerStream`].
#[derive(Clone, Debug)]
// Boxing the frame would cost an allocation for each token.
#[allow(clippy::large_enum_variant)]
pub enum Event {
    /// A frame arrived on the connection of an attempt.
    Frame(Attempt, Frame),
    /// A line that is not a frame arrived on the connection of an attempt.
    Malformed(Attempt),
    /// The connection of an attempt ended.
    Closed(Attempt),
    /// The connection of an attempt was refused before a byte was sent.
    ConnectRefused(Attempt),
    /// Time passed; see [`crate::stream::AnswerStream::wake_at`].
    Tick,
    /// The caller closed its connection.
    CallerGone,
}

/// Output of an [`crate::stream::AnswerStream`], which its driver carries out.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pass the token to the caller.
    Release(String),
    /// Pass the closing frame to the caller; the answer is complete.
    Close(Closing),
    /// Cancel an attempt on the servers of its chain.
    Cancel(Attempt),
    /// Begin another attempt with [`crate::stream::AnswerStream::begin_attempt`].
    ///
    /// For [`RetryReason::LinkDegraded`] the current attempt runs until then, and the driver may
    /// choose [`crate::stream::AnswerStream::keep_chain`] when no chain is better.
    Retry {
        /// Cause of the retry.
        reason: RetryReason,
        /// Server that caused it, when it is known.
        server: Option<ServerName>,
    },
    /// Tell the caller that the answer will not be completed.
    Fail(RefusalReason),
    /// Count a faulty frame, which was dropped.
    Count(FrameFault),
}

/// Actions in the order in which the driver has to carry them out.
pub type Actions = SmallVec<[Action; 2]>;

/// Closing frame of a complete answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Closing {
    /// Number of tokens of the answer.
    pub count: u32,
    /// Digest of the tokens; see [`crate::digest::TokenDigest`].
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Number of attempts that produced the answer.
    pub attempts: u32,
}
