//! HTTP server for callers: connections, limits, and one thread per request in flight.
//!
//! `hyper` reads the requests. `tiny_http` limits neither the time nor the size of a request's head,
//! and ends its accept loop on an error; see `docs/design/callers-http.md`.

use std::convert::Infallible;
use std::io;
use std::io::Write as _;
use std::net::SocketAddr;
use std::net::TcpStream as StdTcpStream;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::Response;
use http_body_util::BodyExt as _;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Handle;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::emit;
use yuccanotch_core::event::Event;
use yuccanotch_core::ids::RequestId;
use yuccanotch_core::reason::RefusalReason;

use crate::answer::AnswerBody;
use crate::answer::Responder;
use crate::chat;
use crate::host::Host;
use crate::plain;
use crate::problem::Refusal;

const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(50);
/// Longest wait for the caller to accept the response to a head that did not arrive in time.
const TIMEOUT_RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(200);

/// A request of a caller, read completely.
#[derive(Debug)]
pub struct CallerRequest {
    /// Identifier given to the request by this host.
    pub id: RequestId,
    /// HTTP method.
    pub method: Method,
    /// Path and query as sent.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the value of a header, or `None` when it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).and_then(|value| value.to_str().ok())
    }
}

/// Accepts callers' connections until the host stops.
pub async fn serve(host: Arc<Host>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(host.settings.limits.connections));
    loop {
        let permit = permits.clone().acquire_owned().await.expect("the semaphore stays open");
        match listener.accept().await {
            Ok((stream, peer)) => {
                let host = host.clone();
                tokio::spawn(async move {
                    serve_connection(host, stream, peer).await;
                    drop(permit);
                });
            }
            Err(e) => {
                emit(
                    Event::CallerConnection,
                    format_args!("host={} accept: {e}", host.settings.host),
                );
                tokio::time::sleep(ACCEPT_ERROR_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(host: Arc<Host>, stream: TcpStream, peer: SocketAddr) {
    let _ = stream.set_nodelay(true);
    let Ok((stream, socket)) = duplicate_socket(stream) else {
        return;
    };
    let limits = &host.settings.limits;
    let service = {
        let host = host.clone();
        service_fn(move |req| handle(host.clone(), req))
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.read_timeout.to_duration())
        .max_buf_size(limits.head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let Err(e) = connection.await else {
        return;
    };
    emit(Event::CallerConnection, format_args!("host={} peer={peer}: {e}", host.settings.host));
    if e.is_timeout() {
        host.telemetry.count_refusal(RefusalReason::ReadTimeout);
        respond_timeout(&host, socket);
    } else if e.is_parse() {
        host.telemetry.count_refusal(RefusalReason::Malformed);
    }
}

/// Returns the stream and a second handle of its socket. `hyper` consumes the stream, and the second
/// handle is needed to respond to a request whose head did not arrive in time.
fn duplicate_socket(stream: TcpStream) -> io::Result<(TcpStream, StdTcpStream)> {
    let stream = stream.into_std()?;
    let socket = stream.try_clone()?;
    Ok((TcpStream::from_std(stream)?, socket))
}

fn respond_timeout(host: &Host, mut socket: StdTcpStream) {
    let refusal =
        Refusal::not_run(RefusalReason::ReadTimeout, "the request did not arrive in time");
    let body = refusal.body(host.next_request_id());
    let head = format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: {}\r\ncontent-length: {}\r\n\
         connection: close\r\n\r\n",
        crate::problem::PROBLEM_TYPE,
        body.len()
    );
    let _ = socket.set_nonblocking(false);
    let _ = socket.set_write_timeout(Some(TIMEOUT_RESPONSE_WRITE_TIMEOUT));
    let _ = socket.write_all(format!("{head}{body}").as_bytes());
}

async fn handle(
    host: Arc<Host>,
    req: Request<Incoming>,
) -> Result<Response<AnswerBody>, Infallible> {
    let id = host.next_request_id();
    let write_timeout = host.settings.limits.write_timeout.to_duration();
    let (responder, answer) = Responder::new(id, Handle::current(), write_timeout);
    match read_request(&host, id, req).await {
        Ok(req) => start_request(host.clone(), req, responder),
        Err(refusal) => host.refuse(responder, &refusal),
    }
    let answer = tokio::select! {
        biased;
        answer = answer => answer,
        () = host.requests_cut() => {
            let text = "this host stops before the request has ended";
            let refusal = Refusal::unknown(RefusalReason::OutcomeUnknown, text);
            let (responder, answer) = Responder::new(id, Handle::current(), write_timeout);
            host.refuse(responder, &refusal);
            answer.await
        }
    };
    Ok(answer.unwrap_or_else(|_| internal_error()))
}

/// Returns the response to a request whose thread ended without an answer, as after a panic.
fn internal_error() -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = http::StatusCode::INTERNAL_SERVER_ERROR;
    response
}

async fn read_request(
    host: &Host,
    id: RequestId,
    req: Request<Incoming>,
) -> Result<CallerRequest, Refusal> {
    let limits = &host.settings.limits;
    let (head, body) = req.into_parts();
    let reading =
        timeout(limits.read_timeout.to_duration(), Limited::new(body, limits.body_bytes).collect());
    let read = tokio::select! {
        biased;
        () = host.requests_cut() => Err(draining_refusal()),
        read = reading => read.map_err(|_| {
            Refusal::not_run(RefusalReason::ReadTimeout, "the body did not arrive in time")
        }),
    };
    let body = read
        .and_then(|read| {
            read.map_err(|e| {
                if e.is::<LengthLimitError>() {
                    let text = format!("the body exceeds {} bytes", limits.body_bytes);
                    Refusal::not_run(RefusalReason::BodyTooLarge, text)
                } else {
                    Refusal::not_run(
                        RefusalReason::Malformed,
                        "the body is incomplete or malformed",
                    )
                }
            })
        })
        .map_err(|refusal| refusal_before_claim(&head.headers, refusal))?
        .to_bytes();
    let target = head.uri.path_and_query().map_or("/", |target| target.as_str()).to_owned();
    Ok(CallerRequest { id, method: head.method, target, headers: head.headers, body })
}

fn start_request(host: Arc<Host>, req: CallerRequest, responder: Responder) {
    let Some(slot) = InFlightSlot::try_enter(&host) else {
        let refusal = Refusal::not_run(RefusalReason::Overloaded, "too many requests in flight")
            .retry_after(host.overload_retry_after());
        host.refuse(responder, &refusal_before_claim(&req.headers, refusal));
        return;
    };
    tokio::task::spawn_blocking(move || {
        route_request(&slot.host, req, responder);
        drop(slot);
    });
}

fn draining_refusal() -> Refusal {
    Refusal::not_run(RefusalReason::Draining, "this host is stopping").retry_after(Millis(1))
}

/// Returns a refusal that was decided before the claim was read: its outcome is unknown when the
/// request has an idempotency key.
fn refusal_before_claim(headers: &HeaderMap, refusal: Refusal) -> Refusal {
    if headers.contains_key(plain::IDEMPOTENCY_KEY_HEADER) {
        return plain::with_unknown_outcome(refusal);
    }
    refusal
}

/// Counts one request in flight until it is dropped.
struct InFlightSlot {
    host: Arc<Host>,
}

impl InFlightSlot {
    fn try_enter(host: &Arc<Host>) -> Option<Self> {
        let limit = host.settings.limits.in_flight;
        let previous = host.in_flight.fetch_add(1, Ordering::SeqCst);
        let slot = Self { host: host.clone() };
        (previous < limit).then_some(slot)
    }
}

impl Drop for InFlightSlot {
    fn drop(&mut self) {
        self.host.in_flight.fetch_sub(1, Ordering::SeqCst);
    }
}

fn route_request(host: &Arc<Host>, req: CallerRequest, responder: Responder) {
    let path = req.path().to_owned();
    if path == "/healthz" {
        host.answer_health(responder);
        return;
    }
    if host.is_draining() {
        host.refuse(responder, &refusal_before_claim(&req.headers, draining_refusal()));
        return;
    }
    if path == "/v1/chat/completions" {
        chat::serve(host, &req, responder);
    } else if path == plain::BOUND_KEYS_PATH {
        plain::serve_bound_keys(host, &req, responder);
    } else {
        plain::serve(host, &req, responder);
    }
}
