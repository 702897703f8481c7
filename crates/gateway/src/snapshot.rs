//! Passes the state of one host to another one that cannot read the store.
//!
//! Each snapshot takes one HTTP/2 (`h2`) request; the body of the answer is one `bincode` value.

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
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client;
use hyper::rt::Executor;
use hyper::server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::time;
use yuccanotch_core::event::Event;

use crate::gossip;
use crate::gossip::Peer;
use crate::host::Gateway;
use crate::net;
use crate::probe_server;

/// The longest wait for a connection, and for a whole snapshot.
const SNAPSHOT_TIMEOUT: Duration = Duration::from_millis(800);
/// The largest accepted snapshot, in bytes.
const MAX_SNAPSHOT_BYTES: usize = 8 << 20;

/// The state that a host passes to another one.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Snapshot {
    /// The encoded configuration in force; empty if there is none.
    pub configuration: Vec<u8>,
    /// The keys and encoded values of the server entries.
    pub servers: Vec<(String, Vec<u8>)>,
    /// The store revision up to which all changes are applied.
    pub revision: u64,
    /// The known hosts, the sending one included.
    pub hosts: Vec<Peer>,
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

/// Answers every request on the control address with a snapshot, for the life of the process.
pub async fn serve(gateway: Rc<Gateway>, listener: TcpListener) {
    loop {
        let stream = probe_server::accept(&listener).await;
        if net::set_options(&stream).is_err() {
            continue;
        }
        let gateway = gateway.clone();
        let service = service_fn(move |_: Request<Incoming>| {
            let body = encode(&gateway);
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

fn encode(gateway: &Gateway) -> Bytes {
    let mut hosts: Vec<Peer> = gateway.peers.all();
    hosts.push(gossip::own_peer(gateway));
    let snapshot = Snapshot {
        configuration: gateway.views.configuration_bytes().to_vec(),
        servers: gateway.views.server_values(),
        revision: gateway.views.revision(),
        hosts,
    };
    bincode::serde::encode_to_vec(&snapshot, bincode::config::standard())
        .map(Bytes::from)
        .unwrap_or_default()
}

/// Fetches the snapshot of the host at `address` and adopts what is newer; returns whether the host
/// answered.
pub async fn sync_from(gateway: &Gateway, address: SocketAddrV4) -> bool {
    let Ok(Some(snapshot)) = time::timeout(SNAPSHOT_TIMEOUT, fetch(address)).await else {
        return false;
    };
    let now = gateway.clock.now();
    for peer in snapshot.hosts {
        if peer.gossip != gateway.settings.gossip {
            gateway.peers.add(now, peer);
        }
    }
    gateway
        .event_log
        .line(Event::SnapshotTaken, &[("from", &address), ("servers", &snapshot.servers.len())]);
    if !snapshot.configuration.is_empty() {
        gateway.views.on_configuration(&Bytes::from(snapshot.configuration), "host");
    }
    if snapshot.revision > gateway.views.revision() {
        gateway.views.on_peer_servers(&snapshot.servers);
        gateway.views.on_revision(snapshot.revision);
    }
    true
}

/// Fetches the snapshot of the host at `address`.
async fn fetch(address: SocketAddrV4) -> Option<Snapshot> {
    let stream = net::connect(address, SNAPSHOT_TIMEOUT).await.ok()?;
    let io = TokioIo::new(stream);
    let (mut sender, connection) =
        client::conn::http2::Builder::new(LocalExecutor).handshake(io).await.ok()?;
    let task = tokio::task::spawn_local(async move {
        let _ = connection.await;
    });
    let req =
        Request::get(format!("http://{address}/snapshot")).body(Full::new(Bytes::new())).ok()?;
    let response = sender.send_request(req).await.ok()?;
    let body =
        Limited::new(response.into_body(), MAX_SNAPSHOT_BYTES).collect().await.ok()?.to_bytes();
    task.abort();
    let config = bincode::config::standard().with_limit::<MAX_SNAPSHOT_BYTES>();
    bincode::serde::decode_from_slice(&body, config).ok().map(|(snapshot, _)| snapshot)
}
