//! A pool of client connections to backend servers and the store.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::task::JoinHandle;
use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;

use crate::adapter::WholeRequest;
use crate::head_limit::HeadLimit;
use crate::head_limit::LimitedStream;
use crate::net;

/// The longest wait for a connection to be established within the region.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// The largest read buffer of a connection, in bytes, which bounds the head of an answer. Callers'
/// connections count in the memory budget, and each of their requests has one connection to a server.
const MAX_BUFFER_BYTES: usize = 32 << 10;
/// The largest number of idle connections to one address for one purpose.
const MAX_IDLE_PER_ADDRESS: usize = 48;
/// The idle time that is assumed of a server that names none.
const DEFAULT_KEEP_ALIVE: Millis = Millis(4_000);
/// The longest idle time that is believed of a server.
const MAX_KEEP_ALIVE: Millis = Millis(3_600_000);
/// The percentage of the server's idle time for which a connection is kept. The margin avoids
/// sending a request while the server's close is on its way.
const KEEP_ALIVE_USED_PERCENT: u64 = 70;

quick_error! {
    /// Why a request got no head of an answer.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request left the host.
        NotSent(why: String) {
            display("request not sent: {why}")
        }
        /// The connection broke; the request may have arrived.
        Broken(why: String) {
            display("connection broken: {why}")
        }
    }
}

/// What a connection is used for. Answers to a host's own messages name none of them, so a connection
/// carries messages of one purpose only.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Requests of callers, to servers and to other hosts.
    Requests,
    /// Requests for the reports of model servers.
    Reports,
    /// An order to a model server.
    Order,
    /// A check of a server's health.
    HealthCheck,
    /// Calls to the store.
    StoreCalls,
}

impl Purpose {
    /// Returns whether a connection may carry another message after the answer to one. A late copy of the
    /// answer to an order would pass for the answer to the next one; that of a report is only old.
    fn keeps_connection(self) -> bool {
        match self {
            Self::Requests | Self::Reports | Self::StoreCalls => true,
            Self::Order | Self::HealthCheck => false,
        }
    }
}

impl Display for Purpose {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Requests => "requests",
            Self::Reports => "reports",
            Self::Order => "order",
            Self::HealthCheck => "health_check",
            Self::StoreCalls => "store_calls",
        })
    }
}

/// A connection to one server; dropping it closes it at once.
#[derive(Debug)]
pub struct PooledConnection {
    sender: SendRequest<Full<Bytes>>,
    task: JoinHandle<()>,
    address: SocketAddrV4,
    idle_until: Millis,
    purpose: Purpose,
    is_new: bool,
    head_limit: HeadLimit,
}

impl Drop for PooledConnection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl PooledConnection {
    /// Returns whether the connection was established for the present request.
    pub fn is_new(&self) -> bool {
        self.is_new
    }

    /// Returns what the connection is used for.
    pub fn purpose(&self) -> Purpose {
        self.purpose
    }

    /// Sends a request and waits for the head of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error that tells whether the request may have arrived.
    pub async fn send(&mut self, req: WholeRequest) -> Result<Response<Incoming>, SendError> {
        self.head_limit.set();
        let sent = self.sender.try_send_request(req).await;
        self.head_limit.lift();
        match sent {
            Ok(response) => Ok(response),
            Err(mut e) => {
                let why = e.error().to_string();
                match e.take_message() {
                    Some(_) => Err(SendError::NotSent(why)),
                    None => Err(SendError::Broken(why)),
                }
            }
        }
    }
}

/// Whether a request may use an existing connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Reuse {
    /// The request may use an idle connection or a new one.
    Allowed,
    /// The request needs a new connection.
    Fresh,
}

/// The idle connections of each address and purpose.
#[derive(Debug)]
pub struct Pool {
    clock: Clock,
    /// The address that connections are made from.
    source: Option<Ipv4Addr>,
    idle: RefCell<HashMap<(SocketAddrV4, Purpose), Vec<PooledConnection>>>,
}

impl Pool {
    /// Creates an empty pool, whose connections are made from `source` if one is given.
    pub fn new(clock: Clock, source: Option<Ipv4Addr>) -> Rc<Self> {
        Rc::new(Self { clock, source, idle: RefCell::default() })
    }

    /// Returns an idle connection to `address`, or establishes a new one, for `purpose`.
    ///
    /// # Errors
    ///
    /// Returns an error when no connection is established.
    pub async fn acquire(
        &self,
        address: SocketAddrV4,
        purpose: Purpose,
        reuse: Reuse,
    ) -> io::Result<PooledConnection> {
        if reuse == Reuse::Allowed {
            if let Some(conn) = self.take_idle(address, purpose) {
                return Ok(conn);
            }
        }
        let stream = net::connect(self.source, address, CONNECT_TIMEOUT).await?;
        let head_limit = HeadLimit::default();
        let stream = LimitedStream::new(stream, head_limit.clone());
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await;
        let (sender, connection) = handshake.map_err(io::Error::other)?;
        let task = tokio::task::spawn_local(async move {
            // The request in progress, if any, gets the error as the result of its send.
            let _ = connection.await;
        });
        Ok(PooledConnection {
            sender,
            task,
            address,
            idle_until: Millis::ZERO,
            purpose,
            is_new: true,
            head_limit,
        })
    }

    fn take_idle(&self, address: SocketAddrV4, purpose: Purpose) -> Option<PooledConnection> {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        let conns = idle.get_mut(&(address, purpose))?;
        while let Some(conn) = conns.pop() {
            if now < conn.idle_until && conn.sender.is_ready() {
                return Some(conn);
            }
        }
        None
    }

    /// Returns whether an idle connection to `address` can be used for requests.
    pub fn has_idle(&self, address: SocketAddrV4) -> bool {
        let now = self.clock.now();
        let is_usable = |conn: &PooledConnection| now < conn.idle_until && conn.sender.is_ready();
        let idle = self.idle.borrow();
        idle.get(&(address, Purpose::Requests)).is_some_and(|conns| conns.iter().any(is_usable))
    }

    /// Returns a connection to the pool after a complete answer, or closes it if it may carry no other
    /// message. `keep_alive` is how long the
    /// server keeps it open when idle.
    pub fn release(&self, mut conn: PooledConnection, keep_alive: Option<Millis>) {
        if !conn.purpose.keeps_connection() {
            return;
        }
        let keep_alive = keep_alive.unwrap_or(DEFAULT_KEEP_ALIVE).min(MAX_KEEP_ALIVE);
        conn.is_new = false;
        conn.idle_until = self.clock.now() + Millis(keep_alive.0 * KEEP_ALIVE_USED_PERCENT / 100);
        let mut idle = self.idle.borrow_mut();
        let conns = idle.entry((conn.address, conn.purpose)).or_default();
        if conns.len() < MAX_IDLE_PER_ADDRESS {
            conns.push(conn);
        }
    }

    /// Closes connections whose idle time has passed.
    pub fn on_tick(&self) {
        let now = self.clock.now();
        let mut idle = self.idle.borrow_mut();
        for conns in idle.values_mut() {
            conns.retain(|c| now < c.idle_until && !c.sender.is_closed());
        }
        idle.retain(|_, conns| !conns.is_empty());
    }

    /// Closes all idle connections to `address`.
    pub fn close_idle(&self, address: SocketAddrV4) {
        self.idle.borrow_mut().retain(|(at, _), _| *at != address);
    }
}
