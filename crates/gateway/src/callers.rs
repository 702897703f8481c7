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
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;
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
        Rejection::Malformed | Rejection::BodyBroken => StatusCode::BAD_REQUEST,
        Rejection::NoConfiguration
        | Rejection::OlderConfiguration
        | Rejection::Behind
        | Rejection::TooManyRelayed
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
/// Connections beyond half of the allowed sockets are closed at once, so that their callers can try
/// another host.
pub async fn accept(gateway: Rc<Gateway>, listener: TcpListener, source: RequestSource) {
    let closing = gateway.shutdown.closing();
    tokio::pin!(closing);
    loop {
        let stream = tokio::select! {
            stream = probe_server::accept(&listener) => stream,
            () = &mut closing => return,
        };
        if gateway.caller_connections.get() >= gateway.settings.sockets / 2 {
            continue;
        }
        tokio::task::spawn_local(serve(gateway.clone(), stream, source));
    }
}

async fn serve(gateway: Rc<Gateway>, stream: TcpStream, source: RequestSource) {
    if net::set_options(&stream).is_err() {
        return;
    }
    gateway.caller_connections.set(gateway.caller_connections.get() + 1);
    let limits = gateway.views.configuration().map(|c| c.limits).unwrap_or_default();
    let handler = gateway.clone();
    let service = service_fn(move |req| handle(handler.clone(), req, source));
    let added = if source == RequestSource::Host { MAX_RELAY_HEAD_BYTES } else { 0 };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout.to_duration())
        .max_buf_size(limits.header_bytes.max(MIN_HEAD_BUFFER_BYTES) + added)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let stopping = gateway.shutdown.closing();
    tokio::pin!(stopping);
    let result = tokio::select! {
        result = &mut connection => result,
        () = &mut stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    drop(result);
    gateway.caller_connections.set(gateway.caller_connections.get() - 1);
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
    tokio::task::spawn_local(async move {
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
    let Allowed { configuration, route, team } = allow(gateway, &head, caller).await?;
    let hash = xxh3_64(caller.id.as_deref().unwrap_or("").as_bytes());
    let service = route
        .service(hash)
        .and_then(|name| configuration.service(name))
        .ok_or(Rejection::NoConfiguration)?
        .clone();
    let body = read_body(body, &configuration.limits, caller).await?;
    let started = gateway.clock.now();
    let caller = caller.clone();
    Ok(Admitted { head, body, caller, route, service, team, started, relayed: None })
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
    let longest = gateway.sync.waits().request_wait();
    let wait = caller.deadline.map_or(longest, |left| longest.min(Millis(left.0 / 2)));
    let end = now + wait;
    while gateway.views.revision() < newest && gateway.clock.now() < end {
        time::sleep(CATCH_UP_POLL).await;
    }
    match find(gateway, head, caller) {
        Err(Rejection::NoRoute | Rejection::UnknownKey) if gateway.views.revision() < newest => {
            Err(Rejection::Behind)
        }
        found => found,
    }
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

async fn read_body(
    body: Incoming,
    limits: &Limits,
    caller: &CallerRequest,
) -> Result<Bytes, Rejection> {
    let wait = caller.deadline.unwrap_or(limits.idle_timeout).min(limits.idle_timeout);
    let reading = Limited::new(body, limits.body_bytes).collect();
    match time::timeout(wait.to_duration(), reading).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(Rejection::TooLarge),
        Ok(Err(_)) => Err(Rejection::BodyBroken),
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
