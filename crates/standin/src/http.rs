//! HTTP/1.1 servers on many ports of one runtime, with faulty connections.
//!
//! Each backend server has a port on which the stand-ins have to refuse connections, cut answers
//! short and detect that a caller has closed its connection. A server library with threads of its
//! own per port allows none of these, so hyper serves the connections on a shared runtime.

use std::future::poll_fn;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::Response;
use hyper_util::rt::TokioIo;
use quick_error::quick_error;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

const MAX_BODY_BYTES: usize = 4 << 20;
const LISTEN_BACKLOG: u32 = 1024;

quick_error! {
    /// The reason for closing a connection without a complete answer.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum CloseReason {
        /// A fault requires that no complete answer is sent.
        Intended {
            display("closed by an injected fault")
        }
        /// The request is incomplete, or its body is larger than [`MAX_BODY_BYTES`].
        BadRequest {
            display("the request is incomplete or its body is too large")
        }
    }
}

/// A request that has been read completely.
#[derive(Clone, Debug, Default)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of the header `name`, which must be in lower case.
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// Returns the value of a query parameter.
    pub(crate) fn query(&self, name: &str) -> Option<&str> {
        let pairs = self.query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.into_iter().find(|(key, _)| *key == name).map(|(_, value)| value)
    }

    /// Returns the path with its query.
    pub(crate) fn target(&self) -> String {
        if self.query.is_empty() {
            self.path.clone()
        } else {
            format!("{}?{}", self.path, self.query)
        }
    }
}

/// One part of a streamed answer.
#[derive(Debug)]
pub(crate) enum StreamPart {
    /// Bytes to send at once, as one chunk.
    Chunk(Vec<u8>),
    /// The answer is complete.
    End,
}

/// The reaction to a request.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A complete answer.
    Full {
        /// The status code.
        status: u16,
        /// The headers in addition to those that hyper sets.
        headers: Vec<(&'static str, String)>,
        /// The body.
        body: Vec<u8>,
    },
    /// A chunked answer; the connection is closed when the channel closes before
    /// [`StreamPart::End`].
    Stream(mpsc::UnboundedReceiver<StreamPart>),
    /// The connection is closed without an answer.
    Close,
}

impl Reply {
    /// Creates a complete answer without additional headers.
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self::Full { status, headers: Vec::new(), body: body.into() }
    }

    /// Creates a complete answer with a JSON body.
    pub(crate) fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self::Full { status, headers: vec![("content-type", "application/json".into())], body }
    }
}

/// The state of a port, which its tasks watch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PortState {
    /// Whether new connections are accepted.
    pub(crate) open: bool,
    /// A number that grows with each [`Port::close`]; connections of an earlier epoch are closed.
    pub(crate) epoch: u64,
}

/// Answers the requests that arrive on a port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers a request.
    fn handle(&self, req: HttpRequest) -> impl Future<Output = Reply> + Send;
}

/// A served port, which stays reserved for this process while it refuses connections.
pub(crate) struct Port {
    /// The address of the port.
    pub(crate) address: SocketAddr,
    _reserved: TcpSocket,
    state: watch::Sender<PortState>,
}

impl Port {
    /// Binds `address` and serves it with `handler` until the value is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when the address cannot be bound.
    pub(crate) fn open<H: Handler>(address: SocketAddr, handler: Arc<H>) -> io::Result<Self> {
        let reserved = bound_socket(address)?;
        let address = reserved.local_addr()?;
        let (state, rx) = watch::channel(PortState { open: true, epoch: 0 });
        let listener = bound_socket(address)?.listen(LISTEN_BACKLOG)?;
        tokio::spawn(accept_loop(address, Some(listener), handler, rx));
        Ok(Self { address, _reserved: reserved, state })
    }

    /// Closes all connections and refuses new ones.
    pub(crate) fn close(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.epoch += 1;
        });
    }

    /// Refuses new connections and keeps the open ones.
    pub(crate) fn refuse(&self) {
        self.state.send_modify(|state| state.open = false);
    }

    /// Accepts connections again.
    pub(crate) fn reopen(&self) {
        self.state.send_modify(|state| state.open = true);
    }
}

fn bound_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    Ok(socket)
}

async fn accept_loop<H: Handler>(
    address: SocketAddr,
    mut listener: Option<tokio::net::TcpListener>,
    handler: Arc<H>,
    mut rx: watch::Receiver<PortState>,
) {
    loop {
        let open = rx.borrow_and_update().open;
        if !open {
            listener = None;
        } else if listener.is_none() {
            listener = bound_socket(address).and_then(|s| s.listen(LISTEN_BACKLOG)).ok();
        }
        let Some(active) = &listener else {
            if rx.changed().await.is_err() {
                return;
            }
            continue;
        };
        tokio::select! {
            changed = rx.changed() => {
                if changed.is_err() {
                    return;
                }
            }
            accepted = active.accept() => {
                if let Ok((stream, _)) = accepted {
                    tokio::spawn(serve_connection_until_cut(stream, handler.clone(), rx.clone()));
                }
            }
        }
    }
}

async fn serve_connection_until_cut<H: Handler>(
    stream: TcpStream,
    handler: Arc<H>,
    mut rx: watch::Receiver<PortState>,
) {
    let _ = stream.set_nodelay(true);
    let epoch = rx.borrow().epoch;
    let service = service_fn(|req| answer_request(handler.clone(), req));
    let served = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = rx.wait_for(|state| state.epoch != epoch) => {}
        _ = served => {}
    }
}

async fn answer_request<H: Handler>(
    handler: Arc<H>,
    req: hyper::Request<Incoming>,
) -> Result<Response<ReplyBody>, CloseReason> {
    let (parts, body) = req.into_parts();
    let header = |(name, value): (&hyper::header::HeaderName, &hyper::header::HeaderValue)| {
        (name.as_str().to_owned(), String::from_utf8_lossy(value.as_bytes()).into_owned())
    };
    let req = HttpRequest {
        method: parts.method.as_str().to_owned(),
        path: parts.uri.path().to_owned(),
        query: parts.uri.query().unwrap_or_default().to_owned(),
        headers: parts.headers.iter().map(header).collect(),
        body: read_body(body).await?,
    };
    match handler.handle(req).await {
        Reply::Full { status, headers, body } => {
            let mut builder = Response::builder().status(status);
            for (name, value) in headers {
                builder = builder.header(name, value);
            }
            builder.body(ReplyBody::Full(Some(body.into()))).map_err(|_| CloseReason::Intended)
        }
        Reply::Stream(parts) => {
            let builder = Response::builder().header("content-type", "application/x-ndjson");
            builder.body(ReplyBody::Stream(parts)).map_err(|_| CloseReason::Intended)
        }
        Reply::Close => Err(CloseReason::Intended),
    }
}

async fn read_body(mut body: Incoming) -> Result<Vec<u8>, CloseReason> {
    let mut buf = Vec::new();
    while let Some(frame) = poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await {
        let frame = frame.map_err(|_| CloseReason::BadRequest)?;
        if let Ok(data) = frame.into_data() {
            buf.extend_from_slice(&data);
        }
        if buf.len() > MAX_BODY_BYTES {
            return Err(CloseReason::BadRequest);
        }
    }
    Ok(buf)
}

/// The body of an answer.
enum ReplyBody {
    /// A complete body; `None` once it has been sent.
    Full(Option<Bytes>),
    /// Parts, sent as they arrive.
    Stream(mpsc::UnboundedReceiver<StreamPart>),
}

impl Body for ReplyBody {
    type Data = Bytes;
    type Error = CloseReason;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, CloseReason>>> {
        match self.get_mut() {
            Self::Full(body) => Poll::Ready(body.take().map(|body| Ok(Frame::data(body)))),
            Self::Stream(parts) => parts.poll_recv(cx).map(|part| match part {
                Some(StreamPart::Chunk(chunk)) => Some(Ok(Frame::data(chunk.into()))),
                Some(StreamPart::End) => None,
                None => Some(Err(CloseReason::Intended)),
            }),
        }
    }

    fn size_hint(&self) -> hyper::body::SizeHint {
        match self {
            Self::Full(body) => {
                hyper::body::SizeHint::with_exact(body.as_ref().map_or(0, |b| b.len() as u64))
            }
            Self::Stream(_) => hyper::body::SizeHint::default(),
        }
    }
}
