//! Protocol of the backend servers: pipeline runs, token frames, load reports, orders.
//!
//! All bodies are JSON. `POST /v1/run` goes to the first server of a chain; the answer is a
//! chunked stream with one [`Frame`] per line. Each server of a chain sends its activations to the
//! next one, and the last server sends each token back to the first.
//!
//! | call | body | answer |
//! |---|---|---|
//! | `POST /v1/run` | [`RunRequest`] | 200 and frames; 429 full; 409 not loaded; 503 leaving |
//! | `POST /v1/cancel` | [`CancelRequest`] | 200, also if no such run is in progress |
//! | `GET /v1/load` | | [`LoadReport`] |
//! | `GET /v1/cache?after=N` | | [`CacheEvents`] |
//! | `POST /v1/orders` | [`Order`] | 200 [`OrderReply`]; 412 [`OrderReply`] for an old fencing number |
//!
//! A refusal with status 409, 429 or 503 has an [`ErrorFrame`] as body; no part of the request ran.

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use crate::clock::Millis;
use crate::digest::Digest;
use crate::ids::Attempt;
use crate::ids::ConfigNumber;
use crate::ids::FencingNumber;
use crate::ids::RequestId;
use crate::name::HostName;
use crate::name::ModelName;
use crate::name::ModelVersion;
use crate::name::ServerName;

/// A half-open range of layers.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct LayerRange {
    /// First layer.
    pub first: u16,
    /// One past the last layer.
    pub end: u16,
}

impl LayerRange {
    /// Creates the range `first..end`.
    pub fn new(first: u16, end: u16) -> Self {
        Self { first, end }
    }

    /// Returns the number of layers.
    pub fn len(self) -> u16 {
        self.end.saturating_sub(self.first)
    }

    /// Returns whether the range contains no layer.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }
}

/// One stage of a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Hop {
    /// Server that runs the stage.
    pub server: ServerName,
    /// Address of the server, `ip:port`.
    pub address: String,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// The stages of a pipeline, in layer order.
pub type Chain = SmallVec<[Hop; 4]>;

/// Starts or resumes a run on a chain.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RunRequest {
    /// Request that the run belongs to.
    pub request: RequestId,
    /// Number of this attempt of the request.
    pub attempt: Attempt,
    /// Model.
    pub model: ModelName,
    /// Version of the weights that every stage has to run.
    pub version: ModelVersion,
    /// Adapter to apply, if any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<String>,
    /// Stages in layer order.
    pub chain: Chain,
    /// The whole prompt.
    pub prompt: String,
    /// Tokens of earlier attempts that were released to the caller; the length of this list is the
    /// index of the next frame.
    #[serde(default)]
    pub released: Vec<String>,
    /// Maximum number of tokens in the whole answer, released ones included.
    pub max_tokens: u32,
    /// Priority, 0 (lowest) to 9.
    pub priority: u8,
    /// Time from the sending of the run until the deadline.
    pub deadline_ms: Millis,
    /// Servers that can export the request's KV cache, one per stage at most.
    #[serde(default)]
    pub kv_from: SmallVec<[ServerName; 4]>,
}

/// Layers that one server ran for one token.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LayerReceipt {
    /// Server that ran them.
    pub server: ServerName,
    /// The layers.
    pub layers: LayerRange,
    /// Version of the weights.
    pub version: ModelVersion,
}

/// One token of an answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct TokenFrame {
    /// Request that the token belongs to.
    pub request: RequestId,
    /// Attempt that produced the token.
    pub attempt: Attempt,
    /// Position in the whole answer, from 0.
    pub index: u32,
    /// Text of the token.
    pub token: String,
    /// Layers run for this token, in the order in which they ran.
    pub receipt: SmallVec<[LayerReceipt; 4]>,
}

/// Why an answer is complete.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Finish {
    /// The model ended its answer.
    Stop,
    /// The answer reached its maximum number of tokens.
    Length,
}

/// The last frame of a complete answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EndFrame {
    /// Request that the answer belongs to.
    pub request: RequestId,
    /// Attempt that completed the answer.
    pub attempt: Attempt,
    /// Number of tokens in the whole answer, including those released by earlier attempts.
    pub count: u32,
    /// Digest of all tokens; see [`crate::digest::TokenDigest`].
    pub digest: Digest,
    /// Why the answer ended.
    pub finish: Finish,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of prompt tokens found in the prefix cache.
    pub cached_tokens: u32,
}

/// Kinds of failure that an engine reports.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineFault {
    /// A stage of the chain does not answer.
    StageLost,
    /// A server has no free slot; nothing ran.
    Full,
    /// A server has not loaded the layers, version or adapter; nothing ran.
    NotLoaded,
    /// A server is leaving; nothing ran.
    Leaving,
    /// The run was cancelled.
    Cancelled,
    /// The deadline passed.
    DeadlineExceeded,
    /// The request cannot be parsed; nothing ran.
    Invalid,
}

/// The last frame of a run that failed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ErrorFrame {
    /// Request that the run belonged to.
    pub request: RequestId,
    /// Attempt that failed.
    pub attempt: Attempt,
    /// Kind of failure.
    pub fault: EngineFault,
    /// Server that failed or refused the run.
    pub server: ServerName,
}

/// One line of a run's answer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum Frame {
    /// The next token.
    Token(TokenFrame),
    /// The answer is complete.
    End(EndFrame),
    /// The run failed.
    Error(ErrorFrame),
}

/// Cancels the attempts of a request up to and including one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CancelRequest {
    /// Request whose attempts are cancelled.
    pub request: RequestId,
    /// Last attempt to cancel.
    pub attempt: Attempt,
}

/// The layers and adapters of one model that a server has loaded.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Holding {
    /// Model.
    pub model: ModelName,
    /// Version of the weights.
    pub version: ModelVersion,
    /// Layers that are loaded.
    pub layers: LayerRange,
    /// Adapters that are loaded.
    #[serde(default)]
    pub adapters: SmallVec<[String; 2]>,
}

/// Role of a server in a pipeline.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Prefill and decode.
    #[default]
    Both,
    /// Prefill only.
    Prefill,
    /// Decode only.
    Decode,
}

/// The state of a server as it reported it some time ago.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Reporting server.
    pub server: ServerName,
    /// Distinguishes successive processes of the server.
    pub boot: u64,
    /// Time from the observation of the state to the sending of the report.
    pub age_ms: Millis,
    /// Number of runs in progress.
    pub running: u32,
    /// Number of runs that wait for a slot.
    pub waiting: u32,
    /// Maximum number of runs in progress.
    pub slots: u32,
    /// Time that one token takes through this server's layers at the current batch size, in
    /// microseconds.
    pub step_us: u32,
    /// Share of the KV cache that is in use, in percent.
    pub kv_percent: u8,
    /// Whether the server takes no new work.
    pub leaving: bool,
    /// Layers and adapters that the server has loaded.
    pub holdings: SmallVec<[Holding; 2]>,
    /// Role of the server in a pipeline.
    pub role: Role,
    /// Highest fencing number that the server has seen; `None` if it ignores fencing numbers.
    pub fencing: Option<FencingNumber>,
    /// One-way delay of the links to other servers as measured by this server, in microseconds.
    #[serde(default)]
    pub links_us: Vec<(ServerName, u32)>,
}

/// One change of a server's prefix cache.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvent {
    /// Sequence number; a gap shows that events were lost.
    pub sequence: u64,
    /// Hash of a prompt prefix; see [`prefix_hashes`].
    pub prefix: u64,
    /// Whether the prefix was added to the cache (`true`) or evicted from it (`false`).
    pub held: bool,
}

/// The cache events of a server after a sequence number.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CacheEvents {
    /// Distinguishes successive processes of the server.
    pub boot: u64,
    /// The events, in order.
    pub events: Vec<CacheEvent>,
}

/// Number of words of a prompt in one cache block.
pub const PREFIX_BLOCK_WORDS: usize = 8;

/// Returns the hashes of a prompt's prefixes of one or more whole blocks, shortest first.
pub fn prefix_hashes(prompt: &str) -> SmallVec<[u64; 16]> {
    let mut hashes = SmallVec::new();
    let mut hash = 0;
    let mut words = 0;
    for word in prompt.split_whitespace() {
        let mut buf = SmallVec::<[u8; 64]>::new();
        buf.extend_from_slice(&u64::to_le_bytes(hash));
        buf.extend_from_slice(word.as_bytes());
        hash = crate::digest::fast_hash(&buf);
        words += 1;
        if words % PREFIX_BLOCK_WORDS == 0 {
            hashes.push(hash);
        }
    }
    hashes
}

/// The change that an order asks of a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "do")]
pub enum OrderAction {
    /// Load layers of a model version, replacing what the server has loaded.
    Load(Holding),
    /// Load one more adapter.
    LoadAdapter {
        /// Name of the adapter.
        adapter: String,
    },
    /// Change role.
    SetRole {
        /// New role.
        role: Role,
    },
}

/// An order to a server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Entry host that gives the order.
    pub issuer: HostName,
    /// Fencing number of the issuer's lease.
    pub fencing: FencingNumber,
    /// Configuration that the order is derived from.
    pub config: ConfigNumber,
    /// Change that the server has to make.
    pub action: OrderAction,
}

/// Answer to an order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct OrderReply {
    /// Whether the server accepted the order.
    pub taken: bool,
    /// Highest fencing number that the server has seen; `None` if it ignores fencing numbers.
    pub fencing: Option<FencingNumber>,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name of the entry host or backend server.
    pub name: String,
    /// Failure domain.
    pub domain: crate::name::DomainName,
    /// Address, `ip:port`: the peer address of an entry host, else the service address.
    pub address: String,
    /// Kind of host.
    pub kind: HostKind,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// Kinds of hosts in the platform's host list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    /// An entry host of this system.
    Entry,
    /// A backend server with a model engine.
    Engine,
    /// A backend server with a plain service.
    Service,
}

/// Answer of the platform's host list, `GET /v1/hosts`.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostList {
    /// The hosts, in no particular order.
    pub hosts: Vec<ListedHost>,
}
