//! Fetches changes from another host.

use std::cell::Cell;
use std::net::SocketAddrV4;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::task::AbortHandle;

use crate::host::Gateway;
use crate::net;
use crate::sync::wire::SharedChanges;
use crate::sync::wire::MAX_CHANGES_BYTES;
use crate::sync::wire::PACKED_MEDIA_TYPE;
use crate::sync::LocalExecutor;
use crate::sync::CHANGES_PATH;

/// The longest wait for a connection to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

quick_error! {
    /// Why changes could not be fetched from a host.
    #[derive(Debug)]
    pub enum FetchError {
        /// The host takes no connection.
        Connect {
            display("connect")
        }
        /// The host closed the connection before its answer was complete.
        Closed {
            display("closed")
        }
        /// The host has sent nothing for too long.
        Timeout {
            display("timeout")
        }
        /// The answer is too large or cannot be decoded.
        Unreadable {
            display("unreadable")
        }
    }
}

/// What a fetch has brought.
#[derive(Debug)]
pub(super) enum Fetched {
    /// The changes.
    Changes(SharedChanges),
    /// The address of a host that has them, from one that is busy.
    Referral(SocketAddrV4),
    /// Nothing, since another fetch has brought them meanwhile.
    Needless,
}

/// Ends the task of a connection when the fetch ends, however it does.
struct ConnectionTask(AbortHandle);

impl Drop for ConnectionTask {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Fetches the changes after the revision `after` from the host at `source`. `bytes` counts what has
/// been read of the answer, also if it does not become complete.
pub(super) async fn fetch(
    gateway: &Gateway,
    source: SocketAddrV4,
    after: u64,
    bytes: &Cell<usize>,
) -> Result<Fetched, FetchError> {
    let stream = net::connect(gateway.settings.source, source, CONNECT_TIMEOUT)
        .await
        .map_err(|_| FetchError::Connect)?;
    let (mut sender, connection) = client::conn::http2::Builder::new(LocalExecutor)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|_| FetchError::Closed)?;
    let task = tokio::task::spawn_local(async move {
        // An error on the connection also ends the request.
        let _ = connection.await;
    });
    let _task = ConnectionTask(task.abort_handle());
    let is_referred = gateway.sync.fetches.borrow().is_referred(source);
    let req = request(source, after, is_referred).map_err(|_| FetchError::Closed)?;
    let response = sender.send_request(req).await.map_err(|_| FetchError::Closed)?;
    let (head, body) = response.into_parts();
    if head.status == StatusCode::TEMPORARY_REDIRECT {
        return referral(&head.headers).map(Fetched::Referral).ok_or(FetchError::Unreadable);
    }
    let buf = read_body(gateway, source, body, bytes).await?;
    let is_packed = head.headers.get(header::CONTENT_TYPE).is_some_and(|v| v == PACKED_MEDIA_TYPE);
    let shared = if is_packed {
        SharedChanges::decode_packed(&buf, &gateway.sync.packed)
    } else {
        SharedChanges::decode_plain(&buf)
    };
    shared.map(Fetched::Changes).ok_or(FetchError::Unreadable)
}

fn request(
    source: SocketAddrV4,
    after: u64,
    is_referred: bool,
) -> http::Result<Request<Full<Bytes>>> {
    let req = Request::get(format!("http://{source}{CHANGES_PATH}{after}"))
        .header(header::ACCEPT, PACKED_MEDIA_TYPE);
    // A host that was named by another one serves the request itself.
    let req = if is_referred { req.header(header::MAX_FORWARDS, 0) } else { req };
    req.body(Full::new(Bytes::new()))
}

/// Returns the address of the host that a busy one names.
fn referral(headers: &HeaderMap) -> Option<SocketAddrV4> {
    let uri: Uri = headers.get(header::LOCATION)?.to_str().ok()?.parse().ok()?;
    uri.authority()?.as_str().parse().ok()
}

async fn read_body(
    gateway: &Gateway,
    source: SocketAddrV4,
    mut body: Incoming,
    bytes: &Cell<usize>,
) -> Result<Vec<u8>, FetchError> {
    let mut buf = Vec::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| FetchError::Closed)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        bytes.set(buf.len());
        gateway.sync.fetches.borrow_mut().on_bytes(gateway.clock.now(), source);
        if buf.len() > MAX_CHANGES_BYTES {
            return Err(FetchError::Unreadable);
        }
    }
    Ok(buf)
}
