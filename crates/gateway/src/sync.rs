//! The changes of the configuration and the list of servers that hosts fetch from each other over
//! HTTP/2: hosts that do not follow the store, and hosts that the store does not answer.

use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client;
use hyper::rt::Executor;
use hyper::server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::item_log::Changes;

use crate::host::Gateway;
use crate::net;
use crate::probe_server;

/// The longest wait for a connection, and for the whole answer.
const SYNC_TIMEOUT: Duration = Duration::from_millis(1_500);
/// The longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The largest accepted answer, in bytes.
const MAX_CHANGES_BYTES: usize = 8 << 20;
/// The time between checks whether another host knows of newer changes.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The path of the resource that holds the changes; the last part is the revision that the asking
/// host has.
const CHANGES_PATH: &str = "/changes/";

/// The changes that a host passes on.
#[derive(Clone, Debug, Deserialize, Serialize)]
struct SharedChanges {
    changes: Changes,
    /// How much longer the sender delays removals of servers, in ms.
    removal_delay_ms: u64,
}

quick_error! {
    /// Why changes could not be fetched from a host.
    #[derive(Debug)]
    enum FetchError {
        /// The host takes no connection.
        Connect {
            display("connect")
        }
        /// The host closed the connection before its answer was complete.
        Closed {
            display("closed")
        }
        /// The answer was not complete in time.
        Timeout {
            display("timeout")
        }
        /// The answer is too large or cannot be decoded.
        Unreadable {
            display("unreadable")
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct LocalExecutor;

impl<F> Executor<F> for LocalExecutor
where
    F: Future + 'static,
    F::Output: 'static,
{
    fn execute(&self, future: F) {
        tokio::task::spawn_local(future);
    }
}

/// Answers requests for changes on the control address for the life of the process.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = probe_server::accept(&listener).await;
        if net::set_options(&stream).is_err() {
            continue;
        }
        let gateway = gateway.clone();
        let service = service_fn(move |req: Request<Incoming>| {
            let body = encode(&gateway, requested_revision(req.uri().path()));
            gateway.counters.changes_served(body.len());
            async move { Ok::<_, Infallible>(Response::new(Full::new(body))) }
        });
        let connection = server::conn::http2::Builder::new(LocalExecutor)
            .serve_connection(TokioIo::new(stream), service);
        tokio::task::spawn_local(async move {
            // The other host asks again if the connection breaks.
            let _ = connection.await;
        });
    }
}

/// Returns the revision that a path names; 0, which asks for everything, if it names none.
fn requested_revision(path: &str) -> u64 {
    path.strip_prefix(CHANGES_PATH).and_then(|r| r.parse().ok()).unwrap_or(0)
}

fn encode(gateway: &Gateway, revision: u64) -> Bytes {
    let shared = SharedChanges {
        changes: gateway.views.changes_after(revision),
        removal_delay_ms: gateway.views.removal_delay().0,
    };
    bincode::serde::encode_to_vec(&shared, bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Fetches changes for the life of the process whenever another host has newer ones, unless this
/// host follows the store and the store answers it.
pub async fn run(gateway: Rc<Gateway>) {
    loop {
        time::sleep(CHECK_INTERVAL).await;
        let reads_store = gateway.follows_store.get() && gateway.store.lost_since().is_none();
        let has_state = gateway.views.configuration().is_some() && gateway.views.servers_read();
        if reads_store && has_state {
            continue;
        }
        let now = gateway.clock.now();
        let source = gateway.peers.node().newer_source(now, gateway.views.revision());
        if let Some(source) = source {
            sync_from(&gateway, source.control).await;
        }
    }
}

/// Fetches the changes of the host at `address` that this host does not have, and applies them.
async fn sync_from(gateway: &Gateway, address: SocketAddrV4) {
    let revision = gateway.views.revision();
    let began = gateway.clock.now();
    let read = Cell::new(0);
    let fetching = time::timeout(SYNC_TIMEOUT, fetch(gateway, address, revision, &read)).await;
    let took = gateway.clock.now().since(began);
    let shared = match fetching {
        Ok(Ok(shared)) => shared,
        Ok(Err(why)) => return log_unavailable(gateway, address, &why, read.get(), took),
        Err(_) => return log_unavailable(gateway, address, &FetchError::Timeout, read.get(), took),
    };
    gateway.event_log.line(
        Event::ChangesFetched,
        &[
            ("from", &address),
            ("items", &shared.changes.items.len()),
            ("after", &revision),
            ("revision", &shared.changes.revision),
            ("bytes", &read.get()),
            ("took_ms", &took.0),
        ],
    );
    gateway.views.delay_removals(Millis(shared.removal_delay_ms));
    gateway.views.merge(shared.changes, "host");
}

fn log_unavailable(
    gateway: &Gateway,
    address: SocketAddrV4,
    why: &FetchError,
    bytes: usize,
    took: Millis,
) {
    gateway.event_log.line(
        Event::ChangesUnavailable,
        &[("from", &address), ("why", why), ("bytes", &bytes), ("took_ms", &took.0)],
    );
}

/// Fetches the changes after `revision` from the host at `address`. `read` counts the bytes of the
/// answer, also of one that is not complete.
async fn fetch(
    gateway: &Gateway,
    address: SocketAddrV4,
    revision: u64,
    read: &Cell<usize>,
) -> Result<SharedChanges, FetchError> {
    let source = gateway.settings.source;
    let stream =
        net::connect(source, address, CONNECT_TIMEOUT).await.map_err(|_| FetchError::Connect)?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) = client::conn::http2::Builder::new(LocalExecutor)
        .handshake(io)
        .await
        .map_err(|_| FetchError::Closed)?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let uri = format!("http://{address}{CHANGES_PATH}{revision}");
    let req = Request::get(uri).body(Full::new(Bytes::new())).map_err(|_| FetchError::Closed)?;
    let response = sender.send_request(req).await.map_err(|_| FetchError::Closed)?;
    let body = read_body(response.into_body(), read).await?;
    task.abort();
    let config = bincode::config::standard().with_limit::<MAX_CHANGES_BYTES>();
    bincode::serde::decode_from_slice(&body, config)
        .map(|(shared, _)| shared)
        .map_err(|_| FetchError::Unreadable)
}

async fn read_body(mut body: Incoming, read: &Cell<usize>) -> Result<Vec<u8>, FetchError> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| FetchError::Closed)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
            read.set(buf.len());
        }
        if buf.len() > MAX_CHANGES_BYTES {
            return Err(FetchError::Unreadable);
        }
    }
    Ok(buf)
}
