//! Events that drive an answer and the actions that it asks for.

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

/// What the answer has to be.
#[derive(Clone, Debug)]
pub struct StreamSpec {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Version that every layer has to run with.
    pub version: ModelVersion,
    /// Layers of the model.
    pub layers: u16,
    /// Most tokens of the whole answer.
    pub max_tokens: u32,
    /// Time at which the answer has to be whole.
    pub deadline: Millis,
}

/// A chain with the times expected of it.
#[derive(Clone, Debug)]
pub struct AttemptPlan {
    /// Stages in layer order.
    pub chain: Chain,
    /// Expected time to the first token of the attempt.
    pub first_token: Millis,
    /// Expected time between tokens, in microseconds.
    pub step_us: u32,
}

/// Something that happened to an answer.
#[derive(Clone, Debug)]
// Boxing the frame would cost an allocation for each token.
#[allow(clippy::large_enum_variant)]
pub enum Event {
    /// A frame arrived on the connection of an attempt.
    Frame(Attempt, Frame),
    /// A line arrived on the connection of an attempt that is not a frame.
    Malformed(Attempt),
    /// The connection of an attempt ended.
    Closed(Attempt),
    /// The connection of an attempt was refused before a byte was sent.
    ConnectRefused(Attempt),
    /// Time passed.
    Tick,
    /// The caller went away.
    CallerGone,
}

/// What the driver of an answer has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Action {
    /// Pass the token to the caller.
    Release(String),
    /// Pass the closing frame to the caller; the answer is whole.
    Close(Closing),
    /// Cancel an attempt at its chain.
    Cancel(Attempt),
    /// Begin another attempt with [`crate::stream::AnswerStream::begin_attempt`].
    ///
    /// For [`RetryReason::LinkDegraded`] the running attempt goes on until then, and the driver may
    /// choose [`crate::stream::AnswerStream::keep_chain`] when no chain is better.
    Retry {
        /// Why.
        reason: RetryReason,
        /// Server at fault, when it is known.
        server: Option<ServerName>,
    },
    /// Tell the caller that the answer will not become whole.
    Fail(RefusalReason),
    /// Count a dropped frame.
    Count(FrameFault),
}

/// Actions in the order in which they have to be done.
pub type Actions = SmallVec<[Action; 2]>;

/// Closing frame of a whole answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Closing {
    /// Tokens of the answer.
    pub count: u32,
    /// Digest of the tokens; see [`crate::digest::TokenDigest`].
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
    /// Attempts that it took.
    pub attempts: u32,
}
