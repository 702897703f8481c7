//! Answers the requests of other hosts for changes.

use std::cell::RefCell;
use std::convert::Infallible;
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use smallvec::SmallVec;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;
use yuccanotch_core::catch_up::Reply;
use yuccanotch_core::forward::item_log::Changes;

use crate::host::Gateway;
use crate::net;
use crate::probe_server;
use crate::sync::wire::SharedChanges;
use crate::sync::wire::PACKED_MEDIA_TYPE;
use crate::sync::LocalExecutor;
use crate::sync::CHANGES_PATH;

/// The time after which a request that waits for its turn is decided on again.
const DECISION_INTERVAL: Duration = Duration::from_millis(50);
/// A value from this size on is what makes an answer large, in bytes.
const LARGE_VALUE_BYTES: usize = 4 << 10;

/// The large answers on one connection, which count as being sent until it ends: the other host
/// closes it when it has all of them.
struct ConnectionTransfers {
    gateway: Rc<Gateway>,
    sizes: RefCell<SmallVec<[usize; 1]>>,
}

impl Drop for ConnectionTransfers {
    fn drop(&mut self) {
        let mut transfers = self.gateway.sync.transfers.borrow_mut();
        self.sizes.borrow().iter().for_each(|bytes| transfers.on_end(*bytes));
        self.gateway.sync.transfer_ended.notify_waiters();
    }
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
struct Asked {
    revision: u64,
    accepts_packed: bool,
    may_refer: bool,
}

impl Asked {
    /// Reads a request. One that names no revision asks for everything.
    fn read(req: &Request<Incoming>) -> Self {
        let revision = req.uri().path().strip_prefix(CHANGES_PATH).and_then(|r| r.parse().ok());
        let accepts_packed =
            req.headers().get(header::ACCEPT).is_some_and(|v| v == PACKED_MEDIA_TYPE);
        let is_referred = req.headers().contains_key(header::MAX_FORWARDS);
        // Hosts of earlier releases, which do not accept the media type, follow no referral.
        let may_refer = accepts_packed && !is_referred;
        Self { revision: revision.unwrap_or(0), accepts_packed, may_refer }
    }
}

/// Answers requests for changes on the control address for the life of the process.
pub async fn serve(gateway: Rc<Gateway>, listener: Rc<TcpListener>) {
    loop {
        let stream = probe_server::accept(&listener).await;
        if net::set_options(&stream).is_ok() {
            tokio::task::spawn_local(serve_connection(gateway.clone(), stream));
        }
    }
}

async fn serve_connection(gateway: Rc<Gateway>, stream: TcpStream) {
    let transfers = Rc::new(ConnectionTransfers {
        gateway: gateway.clone(),
        sizes: RefCell::new(SmallVec::new()),
    });
    let service_transfers = transfers.clone();
    let service = service_fn(move |req: Request<Incoming>| {
        let transfers = service_transfers.clone();
        let asked = Asked::read(&req);
        async move { Ok::<_, Infallible>(answer(&transfers, asked).await) }
    });
    let connection = server::conn::http2::Builder::new(LocalExecutor)
        .serve_connection(TokioIo::new(stream), service);
    // The other host asks again if the connection breaks. One that reads nothing must not keep others
    // from being served.
    let _ = time::timeout(gateway.settings.change_limit.to_duration(), connection).await;
}

async fn answer(transfers: &ConnectionTransfers, asked: Asked) -> Response<Full<Bytes>> {
    let gateway = &transfers.gateway;
    let (bytes, needed) = {
        let changes = gateway.views.changes_after(asked.revision);
        (answer_bytes(gateway, &changes, asked), newest_large_revision(&changes))
    };
    loop {
        let now = gateway.clock.now();
        let holders =
            if asked.may_refer { gateway.peers.node().holders(now, needed) } else { Vec::new() };
        let reply = gateway.sync.transfers.borrow_mut().decide(now, bytes, &holders);
        match reply {
            Reply::Send => {
                transfers.sizes.borrow_mut().push(bytes);
                let body = encode(gateway, asked);
                gateway.counters.changes_served(body.len());
                return whole(body, asked.accepts_packed);
            }
            Reply::Refer(to) => {
                gateway.counters.changes_referred();
                return redirect(to, asked.revision);
            }
            Reply::Wait => {
                // Whichever comes first: the end of an answer, or news of a host that has the changes.
                let ended = gateway.sync.transfer_ended.notified();
                let _ = time::timeout(DECISION_INTERVAL, ended).await;
            }
        }
    }
}

/// Returns about how many bytes an answer with `changes` has.
fn answer_bytes(gateway: &Gateway, changes: &Changes, asked: Asked) -> usize {
    let packed = &gateway.sync.packed;
    let sizes = changes.items.iter().map(|change| match asked.accepts_packed {
        true => packed.packed_len(change),
        false => change.value.as_ref().map_or(0, Bytes::len),
    });
    sizes.sum()
}

fn encode(gateway: &Gateway, asked: Asked) -> Bytes {
    let shared = SharedChanges {
        changes: gateway.views.changes_after(asked.revision),
        removal_delay: gateway.views.removal_delay(),
    };
    if asked.accepts_packed {
        shared.encode_packed(&gateway.sync.packed)
    } else {
        shared.encode_plain()
    }
}

/// Returns the revision that a host must have applied to serve the large values of `changes`.
fn newest_large_revision(changes: &Changes) -> u64 {
    let is_large = |value: &Bytes| value.len() >= LARGE_VALUE_BYTES;
    let large = changes.items.iter().filter(|c| c.value.as_ref().is_some_and(is_large));
    large.map(|c| c.revision).max().unwrap_or(changes.revision)
}

fn whole(body: Bytes, is_packed: bool) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    if is_packed {
        let media_type = HeaderValue::from_static(PACKED_MEDIA_TYPE);
        response.headers_mut().insert(header::CONTENT_TYPE, media_type);
    }
    response
}

fn redirect(to: SocketAddrV4, revision: u64) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::new()));
    *response.status_mut() = StatusCode::TEMPORARY_REDIRECT;
    let location = HeaderValue::try_from(format!("http://{to}{CHANGES_PATH}{revision}"));
    if let Ok(location) = location {
        response.headers_mut().insert(header::LOCATION, location);
    }
    response
}
