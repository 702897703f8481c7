//! Server side of the links: accepts connections, authenticates them and serves their requests.

use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use h2::server::Connection;
use h2::server::SendResponse;
use h2::Reason;
use h2::RecvStream;
use http::Request;
use http::Response;
use http::StatusCode;
use rand::Rng as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::task::spawn_blocking;
use tokio::time::sleep;
use tokio::time::timeout;
use yuccanotch_core::peer::PeerHeader;
use yuccanotch_core::peer::PeerReply;
use yuccanotch_core::peer::PeerRequest;
use yuccanotch_core::reason::LinkFault;

use crate::peers::auth;
use crate::peers::auth::Purpose;
use crate::peers::auth::SessionKey;
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
use crate::peers::PeerHandler;
use crate::peers::Shared;

const MAX_CONNECTIONS: usize = 1_024;
const MAX_STREAMS_PER_CONNECTION: u32 = 64;
const MAX_HEADER_BYTES: u32 = 1 << 10;
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2_000);
const REQUEST_BODY_TIMEOUT: Duration = Duration::from_millis(5_000);
const IDLE_TIMEOUT: Duration = Duration::from_millis(180_000);
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

type Io = MeteredStream;

/// An authenticated connection from a peer.
struct Session {
    shared: Arc<Shared>,
    key: SessionKey,
    peer: PeerIdentity,
}

/// Accepts connections until the links stop.
pub(super) async fn accept_connections(shared: Arc<Shared>, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    while !shared.stopping.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_PAUSE).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.meter.count_fault(LinkFault::TooManyConnections);
            continue;
        };
        add(&shared.meter.accepts, 1);
        let shared = Arc::clone(&shared);
        tokio::spawn(async move {
            serve_connection(shared, stream).await;
            drop(permit);
        });
    }
}

async fn serve_connection(shared: Arc<Shared>, stream: TcpStream) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let stream = MeteredStream::new(stream, Arc::clone(&shared));
    let opened = timeout(HANDSHAKE_TIMEOUT, open_session(&shared, stream)).await;
    let Ok(Some((mut connection, session))) = opened else {
        shared.meter.count_fault(LinkFault::Stranger);
        return;
    };
    let session = Arc::new(session);
    // The idle timeout ends connections whose peer vanished without closing them.
    while let Ok(Some(Ok((request, respond)))) = timeout(IDLE_TIMEOUT, connection.accept()).await {
        if session.shared.stopping.load(Ordering::Relaxed) {
            break;
        }
        tokio::spawn(serve_stream(Arc::clone(&session), request, respond));
    }
}

/// Runs the handshake; returns `None` if the peer does not prove that it knows a shared key.
async fn open_session(
    shared: &Arc<Shared>,
    stream: Io,
) -> Option<(Connection<Io, Bytes>, Session)> {
    let mut connection: Connection<Io, Bytes> = h2::server::Builder::new()
        .max_concurrent_streams(MAX_STREAMS_PER_CONNECTION)
        .max_header_list_size(MAX_HEADER_BYTES)
        .handshake(stream)
        .await
        .ok()?;
    let (request, respond) = connection.accept().await?.ok()?;
    let mut pending_session = Box::pin(answer_hello(shared, request, respond));
    // The connection makes progress only while it is polled, so both futures are polled together.
    let session = tokio::select! {
        session = &mut pending_session => session,
        _ = connection.accept() => None,
    }?;
    Some((connection, session))
}

async fn answer_hello(
    shared: &Arc<Shared>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) -> Option<Session> {
    let tagged_body = match wire::read_body(&mut request.into_body(), wire::MAX_HELLO_BYTES).await {
        Ok(tagged_body) => tagged_body,
        Err(BodyFault::Oversized) => {
            shared.meter.count_fault(LinkFault::Oversized);
            return None;
        }
        Err(BodyFault::Broken) => return None,
    };
    let (hello_body, tag) = wire::split_tag(&tagged_body)?;
    let settings = &shared.settings;
    let key = settings.keys.find_key(&[&[Purpose::Hello as u8], hello_body], tag)?;
    let hello: Hello = wire::decode(hello_body)?;
    let welcome = Welcome {
        host: settings.host.clone(),
        incarnation: settings.incarnation,
        nonce: rand::rng().random(),
    };
    let session_key = SessionKey::derive(key, &hello.nonce, &welcome.nonce);
    let mut body = wire::encode(&welcome);
    let tag = auth::tag(key, &[&[Purpose::Welcome as u8], hello_body, &body]);
    body.extend_from_slice(&tag);
    let mut stream = respond.send_response(Response::new(()), false).ok()?;
    stream.send_data(body.into(), true).ok()?;
    Some(Session { shared: Arc::clone(shared), key: session_key, peer: hello.into() })
}

async fn serve_stream(
    session: Arc<Session>,
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
) {
    let stream_id = respond.stream_id().as_u32();
    let mut body = request.into_body();
    let read =
        timeout(REQUEST_BODY_TIMEOUT, wire::read_body(&mut body, wire::MAX_BODY_BYTES)).await;
    let tagged_body = match read {
        Ok(Ok(tagged_body)) => tagged_body,
        Ok(Err(BodyFault::Oversized)) => {
            refuse(&session, &mut respond, LinkFault::Oversized);
            return;
        }
        Ok(Err(BodyFault::Broken)) | Err(_) => return,
    };
    let request: WireRequest = match decode(&session, stream_id, &tagged_body) {
        Ok(request) => request,
        Err(fault) => {
            refuse(&session, &mut respond, fault);
            return;
        }
    };
    if session.shared.is_cut(&session.peer.host, Direction::Inbound) {
        respond.send_reset(Reason::CANCEL);
        return;
    }
    let header = session.peer.header(request.config);
    let reply = dispatch(&session.shared, header, request.request).await;
    add(&session.shared.meter.served, 1);
    if session.shared.is_cut(&session.peer.host, Direction::Outbound) {
        respond.send_reset(Reason::CANCEL);
        return;
    }
    send_reply(&session, respond, stream_id, reply);
}

fn decode(session: &Session, stream_id: u32, tagged_body: &[u8]) -> Result<WireRequest, LinkFault> {
    let body =
        session.key.check_tag(Purpose::Request, stream_id, tagged_body).ok_or(LinkFault::BadTag)?;
    wire::decode(body).ok_or(LinkFault::Malformed)
}

fn refuse(session: &Session, respond: &mut SendResponse<Bytes>, fault: LinkFault) {
    session.shared.meter.count_fault(fault);
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::BAD_REQUEST;
    if respond.send_response(response, true).is_err() {
        respond.send_reset(Reason::REFUSED_STREAM);
    }
}

fn send_reply(
    session: &Session,
    mut respond: SendResponse<Bytes>,
    stream_id: u32,
    reply: PeerReply,
) {
    let mut body = wire::encode(&WireReply { config: session.shared.config_number(), reply });
    if body.len() > wire::MAX_BODY_BYTES - auth::TAG_BYTES {
        session.shared.meter.count_fault(LinkFault::Oversized);
        let declined = PeerReply::Declined;
        body = wire::encode(&WireReply { config: session.shared.config_number(), reply: declined });
    }
    let tagged_body = session.key.append_tag(Purpose::Reply, stream_id, body);
    if let Ok(mut stream) = respond.send_response(Response::new(()), false) {
        let _ = stream.send_data(tagged_body.into(), true);
    }
}

async fn dispatch(shared: &Shared, header: PeerHeader, request: PeerRequest) -> PeerReply {
    let Some(handler) = shared.handler() else {
        return PeerReply::Declined;
    };
    if is_nonblocking(&request) {
        return handler.on_request(header, request);
    }
    dispatch_to_pool(handler, header, request).await
}

async fn dispatch_to_pool(
    handler: Arc<dyn PeerHandler>,
    header: PeerHeader,
    request: PeerRequest,
) -> PeerReply {
    let answered = spawn_blocking(move || handler.on_request(header, request)).await;
    answered.unwrap_or(PeerReply::Declined)
}

/// Returns whether a request is answered from memory, without blocking.
fn is_nonblocking(request: &PeerRequest) -> bool {
    match request {
        PeerRequest::Fleet(_) | PeerRequest::Share(_) => true,
        PeerRequest::Claim(_) | PeerRequest::Config(_) | PeerRequest::Quarantine(_) => false,
    }
}
