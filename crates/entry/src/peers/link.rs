//! Client side of the links: one connection to each peer, opened on demand.

use std::net::SocketAddr;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use h2::client::SendRequest;
use http::Request;
use rand::Rng as _;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::time::timeout;
use tokio::time::timeout_at;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::name::HostName;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::reason::LinkFault;

use crate::peers::auth;
use crate::peers::auth::Purpose;
use crate::peers::auth::SessionKey;
use crate::peers::error::PeerError;
use crate::peers::filter::Direction;
use crate::peers::meter::add;
use crate::peers::meter::MeteredStream;
use crate::peers::wire;
use crate::peers::wire::BodyFault;
use crate::peers::wire::Hello;
use crate::peers::wire::PeerIdentity;
use crate::peers::wire::Welcome;
use crate::peers::wire::WireReply;
use crate::peers::wire::WireRequest;
use crate::peers::Shared;

/// Longest time to open and authenticate a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Longest wait after the first failed connection; it doubles with each further failure, up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);
const MAX_BACKOFF_DOUBLINGS: u32 = 5;
/// Number of successive calls without a reply in time after which a connection is dropped.
const MAX_CONSECUTIVE_TIMEOUTS: u32 = 3;
const URI: &str = "http://peer/";

/// An authenticated connection to a peer.
#[derive(Clone)]
struct Session {
    sender: SendRequest<Bytes>,
    key: SessionKey,
    peer: PeerIdentity,
    closed: Arc<AtomicBool>,
}

#[derive(Default)]
struct LinkState {
    session: Option<Session>,
    connect_failures: u32,
    retry_at: Option<Instant>,
    consecutive_timeouts: u32,
}

/// The link to one peer: its connection and, after failures, the backoff before the next one.
pub(super) struct Link {
    shared: Arc<Shared>,
    host: HostName,
    address: SocketAddr,
    state: Mutex<LinkState>,
}

impl Link {
    pub(super) fn new(shared: Arc<Shared>, host: HostName, address: SocketAddr) -> Self {
        Self { shared, host, address, state: Mutex::default() }
    }

    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    pub(super) async fn call(
        &self,
        request: PeerRequest,
        call_timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        add(&self.shared.meter.calls, 1);
        let result = self.try_call(request, call_timeout).await;
        if result.is_err() {
            add(&self.shared.meter.failed_calls, 1);
        }
        result
    }

    async fn try_call(
        &self,
        request: PeerRequest,
        call_timeout: Millis,
    ) -> Result<PeerReply, PeerError> {
        let deadline = tokio::time::Instant::now() + call_timeout.to_duration();
        if self.shared.is_cut(&self.host, Direction::Outbound) {
            return Err(PeerError::Unreachable);
        }
        let body = wire::encode(&WireRequest { config: self.shared.config_number(), request });
        if body.len() > wire::MAX_BODY_BYTES - auth::TAG_BYTES {
            return Err(PeerError::TooLarge);
        }
        let mut answered = self.try_once(&body, deadline).await;
        if matches!(answered, Err(PeerError::Unreachable)) {
            // The connection may have been closed while it was idle. Nothing was sent on it, so the
            // request is tried once more on a new connection.
            answered = self.try_once(&body, deadline).await;
        }
        let (session, reply) = answered?;
        if self.shared.is_cut(&self.host, Direction::Inbound) {
            return Err(PeerError::Lost);
        }
        if let Some(handler) = self.shared.handler() {
            handler.on_reply_header(&session.peer.header(reply.config));
        }
        Ok(reply.reply)
    }

    async fn try_once(
        &self,
        body: &[u8],
        deadline: tokio::time::Instant,
    ) -> Result<(Session, WireReply), PeerError> {
        let session =
            timeout_at(deadline, self.session()).await.unwrap_or(Err(PeerError::Unreachable))?;
        let exchange = exchange(&self.shared, &session, body);
        let result = timeout_at(deadline, exchange).await.unwrap_or(Err(PeerError::TimedOut));
        self.record_result(&session, &result).await;
        result.map(|reply| (session, reply))
    }

    /// Counts timeouts, and drops a connection that broke or does not answer any more.
    async fn record_result(&self, session: &Session, result: &Result<WireReply, PeerError>) {
        let mut state = self.state.lock().await;
        state.consecutive_timeouts = match result {
            Err(PeerError::TimedOut) => state.consecutive_timeouts + 1,
            _ => 0,
        };
        let broken =
            matches!(result, Err(PeerError::Unreachable | PeerError::Lost | PeerError::BadReply));
        if !broken && state.consecutive_timeouts < MAX_CONSECUTIVE_TIMEOUTS {
            return;
        }
        let is_same = |held: &Session| Arc::ptr_eq(&held.closed, &session.closed);
        if state.session.as_ref().is_some_and(is_same) {
            state.session = None;
            state.consecutive_timeouts = 0;
        }
    }

    async fn session(&self) -> Result<Session, PeerError> {
        let mut state = self.state.lock().await;
        if let Some(session) = &state.session {
            if !session.closed.load(Ordering::Relaxed) {
                return Ok(session.clone());
            }
            state.session = None;
        }
        if state.retry_at.is_some_and(|at| Instant::now() < at) {
            return Err(PeerError::Unreachable);
        }
        let connected = timeout(CONNECT_TIMEOUT, connect(&self.shared, &self.host, self.address))
            .await
            .unwrap_or(Err(PeerError::Unreachable));
        match connected {
            Ok(session) => {
                *state = LinkState { session: Some(session.clone()), ..LinkState::default() };
                Ok(session)
            }
            Err(e) => {
                state.retry_at = Some(Instant::now() + backoff(state.connect_failures));
                state.connect_failures += 1;
                Err(e)
            }
        }
    }
}

fn backoff(failures: u32) -> Duration {
    let max_wait = (MIN_BACKOFF * (1 << failures.min(MAX_BACKOFF_DOUBLINGS))).min(MAX_BACKOFF);
    max_wait.mul_f64(rand::rng().random_range(0.5..1.0))
}

async fn connect(
    shared: &Arc<Shared>,
    host: &HostName,
    address: SocketAddr,
) -> Result<Session, PeerError> {
    let stream = TcpStream::connect(address).await.map_err(|_| PeerError::Unreachable)?;
    stream.set_nodelay(true).map_err(|_| PeerError::Unreachable)?;
    add(&shared.meter.connects, 1);
    let stream = MeteredStream::new(stream, Arc::clone(shared));
    let (sender, connection) = h2::client::Builder::new()
        .enable_push(false)
        .handshake::<_, Bytes>(stream)
        .await
        .map_err(|_| PeerError::Unreachable)?;
    let closed = Arc::new(AtomicBool::new(false));
    let closed_by_task = Arc::clone(&closed);
    tokio::spawn(async move {
        let _ = connection.await;
        closed_by_task.store(true, Ordering::Relaxed);
    });
    let (key, peer) = authenticate(shared, &sender).await?;
    if peer.host != *host {
        shared.meter.count_fault(LinkFault::WrongHost);
        return Err(PeerError::Unauthenticated);
    }
    Ok(Session { sender, key, peer, closed })
}

async fn authenticate(
    shared: &Shared,
    sender: &SendRequest<Bytes>,
) -> Result<(SessionKey, PeerIdentity), PeerError> {
    let settings = &shared.settings;
    let hello = Hello {
        host: settings.host.clone(),
        incarnation: settings.incarnation,
        nonce: rand::rng().random(),
    };
    let signing_key = settings.keys.signing_key();
    let hello_body = wire::encode(&hello);
    let tag = auth::tag(signing_key, &[&[Purpose::Hello as u8], &hello_body]);
    let mut body = hello_body.clone();
    body.extend_from_slice(&tag);
    let (_, reply) =
        round_trip(sender, |_| body, wire::MAX_HELLO_BYTES).await.map_err(to_handshake_error)?;
    let (welcome_body, tag) = wire::split_tag(&reply).ok_or(PeerError::Unauthenticated)?;
    let parts = [&[Purpose::Welcome as u8][..], &hello_body, welcome_body];
    let welcome: Option<Welcome> =
        settings.keys.find_key(&parts, tag).and_then(|_| wire::decode(welcome_body));
    let Some(welcome) = welcome else {
        shared.meter.count_fault(LinkFault::Stranger);
        return Err(PeerError::Unauthenticated);
    };
    let key = SessionKey::derive(signing_key, &hello.nonce, &welcome.nonce);
    Ok((key, welcome.into()))
}

/// Maps the error of a handshake to one that says that no request was sent, since requests are sent
/// only after the handshake.
fn to_handshake_error(e: PeerError) -> PeerError {
    match e {
        PeerError::BadReply => PeerError::Unauthenticated,
        _ => PeerError::Unreachable,
    }
}

async fn exchange(shared: &Shared, session: &Session, body: &[u8]) -> Result<WireReply, PeerError> {
    let append_tag = |stream_id| session.key.append_tag(Purpose::Request, stream_id, body.to_vec());
    let (stream_id, tagged_body) =
        round_trip(&session.sender, append_tag, wire::MAX_BODY_BYTES).await?;
    let Some(body) = session.key.check_tag(Purpose::Reply, stream_id, &tagged_body) else {
        shared.meter.count_fault(LinkFault::BadTag);
        return Err(PeerError::BadReply);
    };
    wire::decode(body).ok_or_else(|| {
        shared.meter.count_fault(LinkFault::Malformed);
        PeerError::BadReply
    })
}

/// Sends one body on a new stream; returns the number of the stream and the body of the reply.
async fn round_trip(
    sender: &SendRequest<Bytes>,
    body: impl FnOnce(u32) -> Vec<u8>,
    max_reply_bytes: usize,
) -> Result<(u32, Bytes), PeerError> {
    let mut sender = sender.clone().ready().await.map_err(|_| PeerError::Unreachable)?;
    let request = Request::post(URI).body(()).expect("the URI is valid");
    let (response, mut stream) =
        sender.send_request(request, false).map_err(|_| PeerError::Unreachable)?;
    let stream_id = stream.stream_id().as_u32();
    stream.send_data(body(stream_id).into(), true).map_err(|_| PeerError::Lost)?;
    let response = response.await.map_err(|_| PeerError::Lost)?;
    if !response.status().is_success() {
        return Err(PeerError::BadReply);
    }
    match wire::read_body(&mut response.into_body(), max_reply_bytes).await {
        Ok(reply) => Ok((stream_id, reply)),
        Err(BodyFault::Oversized) => Err(PeerError::BadReply),
        Err(BodyFault::Broken) => Err(PeerError::Lost),
    }
}
