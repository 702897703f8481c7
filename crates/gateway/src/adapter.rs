//! The interface to the platform that the host runs on: the host's own message types and the
//! [`ProtocolAdapter`] that translates them from and to the platform's protocol.

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
use smallvec::SmallVec;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::pauses::RequestedPause;
use yuccanotch_core::forward::revision::order_over_eras;
use yuccanotch_core::forward::revision::revision_of;
use yuccanotch_core::forward::routes::Configuration;
use yuccanotch_core::forward::servers::ServerEntry;
use yuccanotch_core::limits::RequestedLimit;
use yuccanotch_core::name::PromptPart;
use yuccanotch_core::name::ServerName;
use yuccanotch_core::placement::chain::Chain;
use yuccanotch_core::placement::engine::LayerRange;

/// An HTTP request whose body is in memory.
pub type WholeRequest = Request<Full<Bytes>>;

quick_error! {
    /// Why a message of the platform could not be decoded.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum DecodeError {
        /// The message at `place` does not follow the protocol.
        Malformed(place: &'static str, why: String) {
            display("{place}: {why}")
        }
    }
}

/// The request parameters that the head of a caller's request carries.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// The caller's ID of the request.
    pub id: Option<Arc<str>>,
    /// How long the caller waits for the answer, from the arrival of the request.
    pub deadline: Option<Millis>,
    /// The API key, which identifies the team.
    pub key: Option<Arc<str>>,
    /// The number of the last event that the caller has received, when it resumes a stream.
    pub resume_after: Option<u64>,
    /// The number of tokens of the prompt.
    pub prompt_tokens: Option<u32>,
    /// The largest number of tokens of the answer.
    pub max_tokens: Option<u32>,
    /// The caller's estimate of the number of tokens of the answer.
    pub expected_tokens: Option<u32>,
    /// The parts of the prompt, in order; the last one belongs to this request alone or to its
    /// session.
    pub prompt_parts: SmallVec<[PromptPart; 4]>,
}

/// The values that the host sets on a request that it forwards to a server.
#[derive(Clone, Copy, Debug)]
pub struct Forward<'a> {
    /// The time left until the deadline of the answer.
    pub time_left: Millis,
    /// The team that the API key identifies; `None` on public routes.
    pub team: Option<&'a str>,
    /// The server that is to run the request; any other one rejects it.
    pub server: &'a ServerName,
    /// The chain of servers that run the request's layers, for model servers.
    pub chain: Option<&'a Chain>,
    /// The number of the last event that the caller has received; the answer continues after it.
    pub resume_after: Option<u64>,
    /// The weights version that produced the events sent so far; the server must continue with the
    /// same.
    pub version: Option<u64>,
    /// The priority of the request; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// The information in the head of a server's answer.
#[derive(Clone, Debug, Default)]
pub struct ServerReply {
    /// The ID of the request that it answers.
    pub id: Option<Arc<str>>,
    /// Whether it carries the server's seal, which marks an answer that the server itself produced.
    pub sealed: bool,
    /// Whether it states that the server did not run the request.
    pub not_run: bool,
    /// Whether its body has a content encoding. Servers apply none, so another party has changed
    /// the body.
    pub encoded: bool,
    /// The address of the server that kept the request from running, if it is not the one that
    /// answers.
    pub at_fault: Option<SocketAddrV4>,
    /// The version of the weights that produced the answer.
    pub version: Option<u64>,
    /// How long the server keeps the connection open when idle.
    pub keep_alive: Option<Millis>,
    /// Whether the server closes the connection after this answer.
    pub closes: bool,
    /// Whether the server announces that it is leaving.
    pub is_leaving: bool,
    /// The pause that the server asks for, in an answer that turns a request away.
    pub pause: Option<RequestedPause>,
    /// The rate that the server names for requests of all hosts together.
    pub limit: Option<RequestedLimit>,
}

/// A call to the store, a key-value store with revisions and leases.
#[derive(Clone, Debug)]
pub enum StoreCall {
    /// Reads one item.
    Get {
        /// The key of the item.
        key: String,
    },
    /// Reads one page of the items under a prefix.
    Range {
        /// The prefix of the keys.
        prefix: String,
        /// The last key of the previous page; `None` for the first page.
        after: Option<String>,
    },
    /// Reads the items under a prefix, perhaps as they were seconds ago, at a fraction of the price.
    Check {
        /// The prefix of the keys.
        prefix: String,
    },
    /// Waits for changes of items under a prefix.
    Watch {
        /// The prefix of the keys.
        prefix: String,
        /// The revision after which changes are returned.
        after: u64,
        /// How long the store waits for a change before it answers with none.
        wait: Millis,
    },
    /// Writes and removes items in one transaction, if the expected revisions match.
    Write {
        /// Keys and the revisions that they must have; 0 if the key must not exist.
        expected: Vec<(String, u64)>,
        /// Keys, values and the leases that they expire with (0 for none).
        puts: Vec<(String, Bytes, u64)>,
        /// The keys to remove.
        removes: Vec<String>,
    },
    /// Creates a lease.
    Grant {
        /// The time after which the lease expires without a renewal.
        ttl: Millis,
    },
    /// Renews a lease.
    Renew {
        /// The ID of the lease.
        lease: u64,
    },
    /// Ends a lease and removes the items that are bound to it.
    Release {
        /// The ID of the lease.
        lease: u64,
    },
}

/// An item of the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Item {
    /// The key of the item.
    pub key: String,
    /// The value of the item.
    pub value: Bytes,
    /// The revision of the item's last change.
    pub revision: u64,
}

/// A change of an item in the store.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreEvent {
    /// An item was written.
    Put(Item),
    /// An item was removed.
    Removed {
        /// The key of the item.
        key: String,
        /// The revision of the removal.
        revision: u64,
    },
}

/// The store's answer to a call.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StoreReply {
    /// The item that was read; `None` if it does not exist.
    Item(Option<Item>),
    /// A page of items.
    Items {
        /// The items of the page.
        items: Vec<Item>,
        /// Whether another page follows.
        more: bool,
        /// The store's revision at the time of the read.
        as_of: u64,
    },
    /// The changes that a watch returned.
    Events {
        /// The changes in the order of their revisions.
        events: Vec<StoreEvent>,
        /// The revision up to which the changes are complete.
        as_of: u64,
    },
    /// The store no longer keeps the changes after the given revision.
    HistoryGone,
    /// The write succeeded.
    Written {
        /// The revision of the write.
        revision: u64,
    },
    /// A key did not have its expected revision; nothing was written.
    Conflict {
        /// The current items of the expected keys.
        items: Vec<Item>,
    },
    /// A lease was created or renewed.
    Lease {
        /// The ID of the lease; `None` in answers to a renewal, which already names it.
        lease: Option<u64>,
    },
    /// The lease does not exist, or no longer does.
    LeaseGone,
}

impl StoreCall {
    /// Returns the call with the store's own revisions in place of ordered ones.
    pub(crate) fn with_store_revisions(&self) -> Self {
        let mut call = self.clone();
        match &mut call {
            Self::Watch { after, .. } => *after = revision_of(*after),
            Self::Write { expected, .. } => {
                expected.iter_mut().for_each(|(_, revision)| *revision = revision_of(*revision));
            }
            _ => {}
        }
        call
    }
}

impl StoreReply {
    /// Returns the answer, of the era `era`, with ordered revisions in place of the store's own.
    pub(crate) fn with_ordered_revisions(mut self, era: u64) -> Self {
        let order = |revision: &mut u64| *revision = order_over_eras(era, *revision);
        let order_all = |items: &mut [Item]| items.iter_mut().for_each(|i| order(&mut i.revision));
        match &mut self {
            Self::Item(item) => item.iter_mut().for_each(|i| order(&mut i.revision)),
            Self::Items { items, as_of, .. } => {
                order_all(items);
                order(as_of);
            }
            Self::Events { events, as_of } => {
                for event in events {
                    match event {
                        StoreEvent::Put(item) => order(&mut item.revision),
                        StoreEvent::Removed { revision, .. } => order(revision),
                    }
                }
                order(as_of);
            }
            Self::Written { revision } => order(revision),
            Self::Conflict { items } => order_all(items),
            Self::HistoryGone | Self::Lease { .. } | Self::LeaseGone => {}
        }
        self
    }
}

quick_error! {
    /// Why the store gave no usable answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum StoreError {
        /// The store refused the call and did nothing.
        Refused(status: u16) {
            display("refused with status {status}")
        }
        /// No whole answer came. The call may take effect, now or later.
        Unanswered(why: String) {
            display("no answer: {why}")
        }
        /// The answer cannot be decoded.
        Malformed(why: String) {
            display("malformed answer: {why}")
        }
        /// The answer is of an era of the store that has ended.
        Outdated(era: u64) {
            display("answer of the ended era {era}")
        }
    }
}

/// The keys under which the platform stores what the host reads.
#[derive(Clone, Debug)]
pub struct StoreKeys {
    /// The key of the operators' configuration.
    pub configuration: String,
    /// The prefix of the keys of server entries.
    pub servers: String,
}

/// The state that a model server reports.
#[derive(Clone, Debug, Default)]
pub struct EngineReport {
    /// The number of orders that the server has begun since its start.
    pub orders_begun: u64,
    /// Whether the server is carrying out an order.
    pub busy: bool,
    /// When the server started, in ms since the Unix epoch.
    pub born: Option<u64>,
    /// How many times slower than its accelerator kind the server runs; 1 is normal speed.
    pub slowness: f64,
    /// Memory held by running requests, which cannot be evicted, in tokens times layers.
    pub used_token_layers: f64,
    /// The layers that the server holds.
    pub layers: Option<LayerRange>,
    /// The IDs of requests that wait for another server of their chain, with the address of that
    /// server.
    pub stalled: Vec<(Arc<str>, SocketAddrV4)>,
}

/// An order to a model server.
#[derive(Clone, Copy, Debug)]
pub enum Order<'a> {
    /// Holds a range of layers. Requests that run on layers that the server gives up are
    /// interrupted at once.
    Place {
        /// The range of layers.
        layers: LayerRange,
        /// The fencing token of the issuer; the server rejects one below the highest it has seen.
        fence: u64,
        /// The number of orders that the server must have begun so far; otherwise it rejects the
        /// order.
        expected_orders: u64,
    },
    /// Moves a request to another chain with the same first server.
    Repath {
        /// The ID of the request.
        id: &'a str,
        /// The new chain.
        chain: &'a Chain,
    },
}

/// A model server's answer to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The server has begun to carry out the order.
    Begun,
    /// The order is carried out, or the server already was in that state.
    Done,
    /// The order does not fit the state of the server.
    Conflict,
    /// The server has seen a higher fencing token.
    Fenced,
    /// The server does not know the request or the order.
    Unknown,
    /// Any other status code: another server answered, or the server failed.
    Other(u16),
}

/// Translates between the host's types and the messages of the platform.
pub trait ProtocolAdapter {
    /// Returns the store keys of the configuration and the server entries.
    fn store_keys(&self) -> StoreKeys;

    /// Encodes a call to the store.
    fn encode_store_call(&self, call: &StoreCall) -> WholeRequest;

    /// Returns the era of the store that its answer names; 0 if it names none.
    fn store_era(&self, fields: &HeaderMap) -> u64;

    /// Decodes the store's answer to `call`, with the store's own revisions.
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

    /// Decodes the operators' configuration.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be read.
    fn decode_configuration(&self, value: &[u8]) -> Result<Configuration, DecodeError>;

    /// Returns the name of the server whose entry is stored under `key`.
    fn server_name(&self, key: &str) -> ServerName;

    /// Decodes the server entry that is stored under `key`.
    ///
    /// # Errors
    ///
    /// Returns an error when it names no server to use.
    fn decode_server(&self, key: &str, value: &[u8]) -> Result<ServerEntry, DecodeError>;

    /// Decodes the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Returns an error when a field cannot be read.
    fn decode_caller(&self, head: &request::Parts) -> Result<CallerRequest, DecodeError>;

    /// Returns the headers of a request that the host forwards to a server.
    fn forwarded_headers(&self, head: &request::Parts, forward: &Forward<'_>) -> HeaderMap;

    /// Returns the headers of a caller's request that the host passes to another host, with the time
    /// left until the deadline and the number of the last event that the caller has received.
    fn relayed_headers(
        &self,
        head: &request::Parts,
        time_left: Millis,
        resume_after: Option<u64>,
    ) -> HeaderMap;

    /// Decodes the head of a server's answer.
    fn decode_reply(&self, head: &response::Parts) -> ServerReply;

    /// Returns the headers of a server's answer that the host returns to the caller.
    fn returned_headers(&self, fields: &HeaderMap) -> HeaderMap;

    /// Returns the headers of an answer that the host produces itself, to the request `id`.
    fn own_headers(&self, id: Option<&str>) -> HeaderMap;

    /// Encodes a request for a model server's report.
    fn encode_report_request(&self) -> WholeRequest;

    /// Encodes a health check of a server at `path`; `None` if the path is not valid.
    fn encode_health_check(&self, path: &str) -> Option<WholeRequest>;

    /// Decodes a model server's report.
    ///
    /// # Errors
    ///
    /// Returns an error when it cannot be read.
    fn decode_report(&self, body: &[u8]) -> Result<EngineReport, DecodeError>;

    /// Encodes an order to a model server.
    fn encode_order(&self, server: &ServerName, order: &Order<'_>) -> WholeRequest;

    /// Decodes the status code of a model server's answer to an order.
    fn decode_order_reply(&self, status: StatusCode) -> OrderReply;
}
