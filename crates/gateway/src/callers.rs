//! Accepts the connections of callers, reads and checks their requests, and starts an exchange for
//! each.

use std::convert::Infallible;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;
use yuccanotch_core::bytes::Reservation;
use yuccanotch_core::bytes::UseKind;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;
use yuccanotch_core::forward::reason::Rejection;
use yuccanotch_core::forward::routes::Configuration;
use yuccanotch_core::forward::routes::Limits;
use yuccanotch_core::forward::routes::Route;
use yuccanotch_core::forward::routes::Team;

use crate::adapter::CallerRequest;
use crate::answer;
use crate::answer::AnswerBody;
use crate::body;
use crate::connections::CloseTime;
use crate::connections::Connection;
use crate::exchange;
use crate::exchange::Admitted;
use crate::exchange::Exchange;
use crate::host::Gateway;
use crate::net;
use crate::probe_server;
use crate::relay::Relayed;

/// The smallest head buffer that the HTTP library allows, in bytes.
const MIN_HEAD_BUFFER_BYTES: usize = 8 << 10;

/// The most bytes that a host adds to the head of a request that it passes on.
const MAX_RELAY_HEAD_BYTES: usize = 4 << 10;

/// The memory of a connection beside its buffers for reading and writing, in bytes: its tasks, the decoded
/// head and the sockets' state.
const CONNECTION_BASE_BYTES: usize = 16 << 10;

/// How long a connection that has been answered stays open without a request, at least. It is longer than
/// an answer may stay unacknowledged, so that no part of an answer is lost with the connection.
pub(crate) const MIN_ANSWERED_IDLE: Millis = Millis(3_000);

/// How often a new connection looks for a place that a closed one has left.
const PLACE_CHECKS: usize = 4;

/// The time between checks whether this host has caught up.
const CATCH_UP_POLL: Duration = Duration::from_millis(20);

/// Who sends the requests on a connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestSource {
    /// A caller.
    Caller,
    /// Another host, which passes on requests of its callers.
    Host,
}

fn rejection_status(rejection: Rejection) -> StatusCode {
    match rejection {
        Rejection::Malformed | Rejection::Unnamed | Rejection::BodyBroken => {
            StatusCode::BAD_REQUEST
        }
        Rejection::NoConfiguration
        | Rejection::OlderConfiguration
        | Rejection::Behind
        | Rejection::TooManyRelayed
        | Rejection::NoMemory
        | Rejection::BodyStraggling
        | Rejection::Stopping => StatusCode::SERVICE_UNAVAILABLE,
        Rejection::NoRoute => StatusCode::NOT_FOUND,
        Rejection::UnknownKey => StatusCode::UNAUTHORIZED,
        Rejection::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Rejection::BodyLate => StatusCode::REQUEST_TIMEOUT,
    }
}

/// Accepts callers' connections until the shutdown of the host reaches the phase in which it
/// accepts none.
///
/// Connections have half of the allowed sockets and a part of the memory budget. Beyond these, the one
/// that has had no request for the longest time is closed for a new one; if all have requests, the new
/// one is closed at once, so that its caller can try another host, and the oldest one ends after its
/// answer.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener, source: RequestSource) {
    let closing = gateway.shutdown.closing();
    tokio::pin!(closing);
    loop {
        let stream = tokio::select! {
            stream = probe_server::accept(&listener) => stream,
            () = &mut closing => return,
        };
        match find_place(&gateway, source).await {
            Some(place) => {
                task::spawn_local(serve(gateway.clone(), stream, source, place));
            }
            None => gateway.note_connection_refused(),
        }
    }
}

/// The place of a connection in the memory budget and among the connections of the host.
struct Place {
    connection: Connection,
    closed: oneshot::Receiver<CloseTime>,
    _reservation: Reservation,
}

/// Returns the largest size of each buffer of a connection, in bytes.
fn buffer_bytes(gateway: &Gateway, source: RequestSource) -> usize {
    let limits = gateway.views.configuration().map(|c| c.limits).unwrap_or_default();
    let added = if source == RequestSource::Host { MAX_RELAY_HEAD_BYTES } else { 0 };
    limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES) + added
}

/// Finds a place for a new connection, and closes an idle one or a straggling body if there is none.
async fn find_place(gateway: &Gateway, source: RequestSource) -> Option<Place> {
    if let Some(place) = take_place(gateway, source) {
        return Some(place);
    }
    if gateway.connections.close_oldest_idle() {
        gateway.note_idle_closed();
    } else if !gateway.open_bodies.close_straggler(gateway.clock.now()) {
        gateway.connections.end_oldest_busy();
        return None;
    }
    for _ in 0..PLACE_CHECKS {
        // The task of the closed connection runs meanwhile.
        task::yield_now().await;
        if let Some(place) = take_place(gateway, source) {
            return Some(place);
        }
    }
    None
}

fn take_place(gateway: &Gateway, source: RequestSource) -> Option<Place> {
    if gateway.connections.count() >= gateway.settings.sockets / 2 {
        return None;
    }
    let bytes = 2 * buffer_bytes(gateway, source) + CONNECTION_BASE_BYTES;
    let Ok(reservation) = gateway.byte_budget.reserve(UseKind::Connections, bytes) else {
        gateway.note_exhausted(UseKind::Connections);
        return None;
    };
    let (connection, closed) = gateway.connections.open();
    Some(Place { connection, closed, _reservation: reservation })
}

/// Serves a connection until it ends or is closed for others.
async fn serve(gateway: Rc<Gateway>, stream: TcpStream, source: RequestSource, place: Place) {
    if net::set_options(&stream).is_err() {
        return;
    }
    let Place { connection, closed, _reservation } = place;
    gateway.caller_connections.set(gateway.caller_connections.get() + 1);
    serve_requests(&gateway, stream, source, connection, closed).await;
    gateway.caller_connections.set(gateway.caller_connections.get() - 1);
}

async fn serve_requests(
    gateway: &Rc<Gateway>,
    stream: TcpStream,
    source: RequestSource,
    connection: Connection,
    closed: oneshot::Receiver<CloseTime>,
) {
    let limits = gateway.views.configuration().map(|c| c.limits).unwrap_or_default();
    let handler = gateway.clone();
    let service = service_fn(move |req| {
        let (request, handler) = (connection.begin_request(), handler.clone());
        async move {
            let response = handle(handler, req, source).await?;
            Ok::<_, Infallible>(response.map(|body| body.with_request(request)))
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.to_duration())
        .max_buf_size(buffer_bytes(gateway, source))
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ends = async {
        tokio::select! {
            () = gateway.shutdown.closing() => CloseTime::AfterAnswer,
            Ok(time) = closed => time,
        }
    };
    tokio::select! {
        _ = &mut connection => {}
        time = ends => {
            if time == CloseTime::AfterAnswer {
                connection.as_mut().graceful_shutdown();
                // If the connection breaks, the guards of its answers end their requests.
                let _ = connection.await;
            }
        }
    }
}

/// Answers one request. The exchange runs in a task of its own, which ends when the caller
/// disconnects.
async fn handle(
    gateway: Rc<Gateway>,
    req: Request<Incoming>,
    source: RequestSource,
) -> Result<Response<AnswerBody>, Infallible> {
    let started = gateway.clock.now();
    let (mut head, body) = req.into_parts();
    let relayed = match source {
        RequestSource::Caller => None,
        RequestSource::Host => Relayed::take(&mut head.headers),
    };
    let taken = relayed.as_ref().and_then(|_| gateway.take_request());
    let caller = match gateway.adapter.decode_caller(&head) {
        Ok(caller) => caller,
        Err(_) => return Ok(reject(&gateway, &CallerRequest::default(), Rejection::Malformed)),
    };
    if source == RequestSource::Host && taken.is_none() {
        let rejection =
            if relayed.is_some() { Rejection::TooManyRelayed } else { Rejection::Malformed };
        return Ok(reject(&gateway, &caller, rejection));
    }
    // A caller must not be served by an older configuration than before at the host that it talks to.
    let newest = relayed.as_ref().and_then(|relayed| relayed.configuration);
    if newest > gateway.views.configuration().map(|c| c.version) {
        return Ok(reject(&gateway, &caller, Rejection::OlderConfiguration));
    }
    let _active = gateway.begin_request();
    let admission = tokio::select! {
        biased;
        () = gateway.shutdown.answering() => Err(Rejection::Stopping),
        admission = admit(&gateway, head, body, &caller) => admission,
    };
    let admitted = match admission {
        Ok(mut admitted) => {
            admitted.started = started;
            admitted.relayed = relayed;
            admitted
        }
        Err(rejection) => return Ok(reject(&gateway, &caller, rejection)),
    };
    let (head_tx, head_rx) = oneshot::channel();
    let (guard, gone) = answer::caller_guard();
    let exchange = Exchange::new(gateway.clone(), admitted, head_tx);
    let active = gateway.begin_request();
    task::spawn_local(async move {
        exchange.run(gone).await;
        drop(active);
        drop(taken);
    });
    match head_rx.await {
        Ok(response) => Ok(response.map(|body| body.with_guard(guard))),
        Err(_) => {
            let fields = gateway.adapter.own_headers(caller.id.as_deref());
            let body = AnswerBody::whole(Bytes::new());
            Ok(answer::respond(StatusCode::BAD_GATEWAY, fields, body))
        }
    }
}

/// Checks the route, the API key and the limits of a request and reads its body.
async fn admit(
    gateway: &Rc<Gateway>,
    head: http::request::Parts,
    body: Incoming,
    caller: &CallerRequest,
) -> Result<Admitted, Rejection> {
    let is_caught_up = || !gateway.views.is_behind_used();
    if gateway.views.configuration().is_some() && !wait_until(gateway, caller, is_caught_up).await {
        return Err(Rejection::Behind);
    }
    let Allowed { configuration, route, team } = allow(gateway, &head, caller).await?;
    // Without an id, no answer can be known to be the one to this request.
    let id = caller.id.as_deref().filter(|id| !id.is_empty()).ok_or(Rejection::Unnamed)?;
    let hash = xxh3_64(id.as_bytes());
    let service = route
        .service(hash)
        .and_then(|name| configuration.service(name))
        .ok_or(Rejection::NoConfiguration)?
        .clone();
    let body = read_body(gateway, body, &configuration.limits, caller).await?;
    let started = gateway.clock.now();
    let (caller, configuration) = (caller.clone(), configuration.version);
    Ok(Admitted { head, body, caller, configuration, route, service, team, started, relayed: None })
}

/// What the configuration says about a request that it allows.
struct Allowed {
    configuration: Rc<Configuration>,
    route: Arc<Route>,
    team: Option<Arc<Team>>,
}

/// Finds the route and the team of a request. One that this host's configuration does not allow waits
/// if another host knows of newer changes, which may allow it.
async fn allow(
    gateway: &Gateway,
    head: &http::request::Parts,
    caller: &CallerRequest,
) -> Result<Allowed, Rejection> {
    let found = find(gateway, head, caller);
    let Err(Rejection::NoRoute | Rejection::UnknownKey) = found else {
        return found;
    };
    let now = gateway.clock.now();
    let own_revision = gateway.views.revision();
    let Some(newest) = gateway.peers.node().newer_revision(now, own_revision) else {
        return found;
    };
    wait_until(gateway, caller, || gateway.views.revision() >= newest).await;
    match find(gateway, head, caller) {
        Err(Rejection::NoRoute | Rejection::UnknownKey) if gateway.views.revision() < newest => {
            Err(Rejection::Behind)
        }
        found => found,
    }
}

/// Waits until this host has caught up as far as `has_caught_up` says, for as long as a request may wait
/// for that; returns whether it has.
async fn wait_until(
    gateway: &Gateway,
    caller: &CallerRequest,
    has_caught_up: impl Fn() -> bool,
) -> bool {
    let longest = gateway.sync.waits().request_wait();
    let wait = caller.deadline.map_or(longest, |left| longest.min(Millis(left.0 / 2)));
    let end = gateway.clock.now() + wait;
    while !has_caught_up() {
        if gateway.clock.now() >= end {
            return false;
        }
        time::sleep(CATCH_UP_POLL).await;
    }
    true
}

fn find(
    gateway: &Gateway,
    head: &http::request::Parts,
    caller: &CallerRequest,
) -> Result<Allowed, Rejection> {
    let configuration = gateway.views.configuration().ok_or(Rejection::NoConfiguration)?;
    let host = head.headers.get(header::HOST).and_then(|h| h.to_str().ok()).unwrap_or("");
    let host = host.split(':').next().unwrap_or(host);
    let route = configuration.route(host, head.uri.path()).ok_or(Rejection::NoRoute)?.clone();
    let team = if route.public {
        None
    } else {
        let key = caller.key.as_deref().ok_or(Rejection::UnknownKey)?;
        Some(configuration.team(key).ok_or(Rejection::UnknownKey)?.clone())
    };
    Ok(Allowed { configuration, route, team })
}

/// Reads the body of a request, which has the time of an idle connection to arrive.
async fn read_body(
    gateway: &Gateway,
    body: Incoming,
    limits: &Limits,
    caller: &CallerRequest,
) -> Result<Bytes, Rejection> {
    let wait = caller.deadline.unwrap_or(limits.idle_timeout).min(limits.idle_timeout);
    let reading = body::read_request(gateway, body, limits.body_bytes, wait);
    match time::timeout(wait.to_duration(), reading).await {
        Ok(body) => body.map_err(Rejection::from),
        Err(_) => Err(Rejection::BodyLate),
    }
}

/// Logs, counts and answers a request that is not admitted.
fn reject(gateway: &Gateway, caller: &CallerRequest, rejection: Rejection) -> Response<AnswerBody> {
    let status = rejection_status(rejection);
    gateway.counters.turned_away(rejection);
    let id = caller.id.as_deref();
    gateway.event_log.line(
        Event::RequestTurnedAway,
        &[("id", &id.unwrap_or("")), ("status", &status.as_u16()), ("why", &rejection)],
    );
    let mut fields: HeaderMap = gateway.adapter.own_headers(id);
    if status == StatusCode::SERVICE_UNAVAILABLE {
        let value = match rejection {
            Rejection::Stopping => exchange::retry_elsewhere(),
            _ => exchange::retry_after(),
        };
        fields.insert(header::RETRY_AFTER, value);
    }
    answer::respond(status, fields, AnswerBody::whole(Bytes::new()))
}
