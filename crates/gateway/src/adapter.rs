//! The adapter of the process: what its surroundings speak, as typed values of the product.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http::response;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http_body_util::Full;
use quick_error::quick_error;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::routes::Configuration;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::engine::LayerRange;

/// A request with its whole body.
pub type WholeRequest = Request<Full<Bytes>>;

quick_error! {
    /// Why something from outside could not be read.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// It is not what the protocol says.
        Malformed(place: &'static str, why: String) {
            display("{place}: {why}")
        }
    }
}

/// What a caller asks beside the bytes of its request.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The caller's id of this attempt.
    pub id: Option<Arc<str>>,
    /// How long the caller waits.
    pub deadline: Option<Millis>,
    /// The key that names the team.
    pub key: Option<Arc<str>>,
    /// The last event that the caller has, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// The most tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The caller's estimate of the tokens of the answer.
    pub expected_tokens: Option<u32>,
}

/// What the host adds to a request that goes to a server.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The time left for an answer.
    pub left: Millis,
    /// The team that the key names; nothing on public routes.
    pub team: Option<&'a str>,
    /// The server that is meant.
    pub server: &'a ServerName,
    /// The chain, for model engines that hold parts of the layers.
    pub chain: Option<&'a Chain>,
    /// The last event that the caller has.
    pub resume_after: Option<u64>,
    /// The version of the weights that the answer began with.
    pub version: Option<u64>,
    /// The rank of the request; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// What the head of a server's answer says.
#[derive(Clone, Debug, Default)]
pub struct ServerReply {
    /// The id of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether it bears the server's signature.
    pub sealed: bool,
    /// Whether it states that the server did not run the request.
    pub not_run: bool,
    /// Whether its body is encoded, and so not the server's own.
    pub encoded: bool,
    /// The server that kept the request from running.
    pub at_fault: Option<SocketAddrV4>,
    /// The version of the weights.
    pub version: Option<u64>,
    /// How long the server keeps the connection when idle.
    pub keep_alive: Option<Millis>,
    /// Whether the server closes the connection after this answer.
    pub closes: bool,
}

/// A call to the store.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads one item.
    Get {
        /// Its key.
        key: String,
    },
    /// Reads a page of items.
    Range {
        /// The prefix of their keys.
        prefix: String,
        /// The last key of the page before.
        after: Option<String>,
    },
    /// Waits for changes.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// The revision after which changes count.
        after: u64,
        /// The longest wait.
        wait: Millis,
    },
    /// Writes items if their keys are as expected.
    Write {
        /// Keys with the revisions that they must have; 0 for none.
        expected: Vec<(String, u64)>,
        /// Keys, values and leases (0 for none).
        puts: Vec<(String, Bytes, u64)>,
        /// Keys to remove.
        removes: Vec<String>,
    },
    /// Grants a lease.
    Grant {
        /// Its length.
        ttl: Millis,
    },
    /// Renews a lease.
    Renew {
        /// The lease.
        lease: u64,
    },
    /// Ends a lease.
    Release {
        /// The lease.
        lease: u64,
    },
}

/// An item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Bytes,
    /// The revision of its last change.
    pub revision: u64,
}

/// A change in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreEvent {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// Its key.
        key: String,
    },
}

/// The store's answer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// One item, if it exists.
    Item(Option<Item>),
    /// A page of items.
    Items {
        /// The items.
        items: Vec<Item>,
        /// Whether more follow.
        more: bool,
        /// The store's revision.
        as_of: u64,
    },
    /// Changes.
    Events {
        /// The changes in order.
        events: Vec<StoreEvent>,
        /// The store's revision.
        as_of: u64,
    },
    /// The changes asked for are no longer kept.
    HistoryGone,
    /// The write took place.
    Written {
        /// Its revision.
        revision: u64,
    },
    /// The keys were not as expected.
    Conflict {
        /// The items as they are.
        items: Vec<Item>,
    },
    /// A lease.
    Lease {
        /// Its number, where the call did not name it.
        lease: Option<u64>,
    },
    /// There is no such lease.
    LeaseGone,
}

quick_error! {
    /// Why the store gave no usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// It refused the call; nothing was done.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// No whole answer came; the call may take effect, now or later.
        Unanswered(why: String) {
            display("no answer: {why}")
        }
        /// The answer cannot be read.
        Malformed(why: String) {
            display("malformed answer: {why}")
        }
    }
}

/// Where things stand in the store.
#[derive(Clone, Debug)]
pub struct StoreKeys {
    /// The operators' configuration.
    pub configuration: String,
    /// The prefix of the list of servers.
    pub servers: String,
}

/// What a model server tells of its state.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// Orders that have begun something since its start.
    pub orders_begun: u64,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// When it started, in ms since the Unix epoch.
    pub born: Option<u64>,
    /// The factor by which it is slow; 1 is usual.
    pub slowness: f64,
    /// Memory in use that cannot yield, in tokens times layers.
    pub used: f64,
    /// The layers that it holds.
    pub layers: Option<LayerRange>,
    /// Requests that wait for a lost part, by id, and the part's address.
    pub stalled: Vec<(Arc<str>, SocketAddrV4)>,
}

/// An order to a model server.
#[derive(Clone, Copy, Debug)]
pub enum Order<'a> {
    /// Hold a range of layers; work that passes through layers given up is cut off at once.
    Place {
        /// The range.
        layers: LayerRange,
        /// The issuer's fencing number.
        fence: u64,
        /// The number of orders that the server has begun so far.
        expected_orders: u64,
    },
    /// Move a request to another chain that begins with the same server.
    Repath {
        /// The request.
        id: &'a str,
        /// The chain.
        chain: &'a Chain,
    },
}

/// A server's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It has begun.
    Begun,
    /// It is done, or was so already.
    Done,
    /// It does not fit the server's state.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// The request or order is not known.
    Unknown,
    /// The server is another one, or failed.
    Other(u16),
}

/// What the surroundings of a host speak.
pub trait ProtocolAdapter {
    /// Returns where things stand in the store.
    fn store_keys(&self) -> StoreKeys;

    /// Writes a call to the store.
    fn encode_store_call(&self, call: &StoreCall) -> WholeRequest;

    /// Reads the store's answer to `call`.
    ///
    /// # Errors
    ///
    /// Returns an error when the call was refused or the answer cannot be read.
    fn decode_store_reply(
        &self,
        call: &StoreCall,
        status: StatusCode,
        body: &[u8],
    ) -> Result<StoreReply, StoreError>;

    /// Reads the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be read.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the server that an entry of the list under `key` names.
    fn server_name(&self, key: &str) -> ServerName;

    /// Reads an entry of the list of servers.
    ///
    /// # Errors
    ///
    /// Returns an error when it names no server to use.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, DecodeError>;

    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error when a field cannot be read.
    fn decode_caller(&self, head: &request::Parts) -> Result<CallerRequest, DecodeError>;

    /// Returns the head fields of a request that goes to a server.
    fn forwarded_headers(&self, head: &request::Parts, forward: &Forward<'_>) -> HeaderMap;

    /// Reads the head of a server's answer.
    fn decode_reply(&self, head: &response::Parts) -> ServerReply;

    /// Returns the head fields of a server's answer that go to the caller.
    fn returned_headers(&self, fields: &HeaderMap) -> HeaderMap;

    /// Returns the head fields of an answer of the host's own.
    fn own_headers(&self, id: Option<&str>) -> HeaderMap;

    /// Writes a question about a model server's state.
    fn encode_report_request(&self) -> WholeRequest;

    /// Reads a model server's state.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be read.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Writes an order to a model server.
    fn encode_order(&self, server: &ServerName, order: &Order<'_>) -> WholeRequest;

    /// Reads a model server's answer to an order.
    fn decode_order_reply(&self, status: StatusCode) -> OrderReply;
}
