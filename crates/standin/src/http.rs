//! Serves many small HTTP/1.1 ports on one runtime.
//!
//! The stand-ins have to refuse connections, cut answers short and notice callers that went away,
//! on a port per backend server. A server library with threads of its own per port allows none of
//! these, so this module keeps to the few parts of HTTP/1.1 that the stand-ins' callers use: a
//! request head, a body with a content length, plain answers and chunked answers.

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::sync::watch;

const MAX_HEAD_BYTES: usize = 16 << 10;
const MAX_BODY_BYTES: usize = 4 << 20;
const READ_BYTES: usize = 8 << 10;
const LISTEN_BACKLOG: u32 = 1024;

/// A request that was read whole.
#[derive(Clone, Debug, Default)]
pub(crate) struct HttpRequest {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) query: String,
    pub(crate) headers: Vec<(String, String)>,
    pub(crate) body: Vec<u8>,
}

impl HttpRequest {
    /// Returns the value of a header, whose name is given in lower case.
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

    fn wants_close(&self) -> bool {
        self.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// One part of a streamed answer.
#[derive(Debug)]
pub(crate) enum Part {
    /// Bytes to send at once, as one chunk.
    Chunk(Vec<u8>),
    /// The answer is whole.
    End,
}

/// An answer.
#[derive(Debug)]
pub(crate) enum Reply {
    /// A whole answer.
    Full {
        /// Status code.
        status: u16,
        /// Additional headers.
        headers: Vec<(&'static str, String)>,
        /// Body.
        body: Vec<u8>,
    },
    /// A chunked answer; it is cut when the channel closes before [`Part::End`].
    Stream(mpsc::UnboundedReceiver<Part>),
    /// No answer: the connection is closed.
    Cut,
}

impl Reply {
    /// Creates a whole answer without headers of its own.
    pub(crate) fn new(status: u16, body: impl Into<Vec<u8>>) -> Self {
        Self::Full { status, headers: Vec::new(), body: body.into() }
    }

    /// Creates a whole answer with a JSON body.
    pub(crate) fn json(status: u16, body: &impl serde::Serialize) -> Self {
        let body = serde_json::to_vec(body).unwrap_or_default();
        Self::Full { status, headers: vec![("content-type", "application/json".into())], body }
    }
}

/// Whether a port accepts connections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) struct PortState {
    /// Whether connections are accepted.
    pub(crate) open: bool,
    /// Connections of an earlier epoch are cut.
    pub(crate) epoch: u64,
}

/// Answers the requests of one port.
pub(crate) trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(&self, req: HttpRequest) -> impl Future<Output = Reply> + Send;
}

/// A port that stays reserved while it refuses connections.
pub(crate) struct Port {
    /// Address of the port.
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
        tokio::spawn(serve(address, Some(listener), handler, rx));
        Ok(Self { address, _reserved: reserved, state })
    }

    /// Cuts all connections and refuses new ones.
    pub(crate) fn close(&self) {
        self.state.send_modify(|state| {
            state.open = false;
            state.epoch += 1;
        });
    }

    /// Refuses new connections and keeps those that are open.
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

async fn serve<H: Handler>(
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
                    tokio::spawn(connection(stream, handler.clone(), rx.clone()));
                }
            }
        }
    }
}

async fn connection<H: Handler>(
    mut stream: TcpStream,
    handler: Arc<H>,
    mut rx: watch::Receiver<PortState>,
) {
    let _ = stream.set_nodelay(true);
    let epoch = rx.borrow().epoch;
    tokio::select! {
        _ = rx.wait_for(|state| state.epoch != epoch) => {}
        _ = requests(&mut stream, &*handler) => {}
    }
}

async fn requests<H: Handler>(stream: &mut TcpStream, handler: &H) -> io::Result<()> {
    let mut buf = Vec::new();
    while let Some(req) = read_request(stream, &mut buf).await? {
        let close = req.wants_close();
        let head = req.method == "HEAD";
        match handler.handle(req).await {
            Reply::Full { status, headers, body } => {
                write_full(stream, status, &headers, if head { &[] } else { &body }).await?;
            }
            Reply::Stream(parts) => write_stream(stream, parts).await?,
            Reply::Cut => return Ok(()),
        }
        if close {
            return Ok(());
        }
    }
    Ok(())
}

async fn read_request(
    stream: &mut TcpStream,
    buf: &mut Vec<u8>,
) -> io::Result<Option<HttpRequest>> {
    let head_len = loop {
        if let Some(at) = buf.windows(4).position(|window| window == b"\r\n\r\n") {
            break at + 4;
        }
        if buf.len() > MAX_HEAD_BYTES {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if read_more(stream, buf).await? == 0 {
            return Ok(None);
        }
    };
    let mut req = parse_head(&buf[..head_len]).ok_or(io::ErrorKind::InvalidData)?;
    let body_len = req.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
    if body_len > MAX_BODY_BYTES || req.header("transfer-encoding").is_some() {
        write_full(stream, 413, &[], b"a content length of at most 4 MiB is needed").await?;
        return Ok(None);
    }
    while buf.len() < head_len + body_len {
        if read_more(stream, buf).await? == 0 {
            return Ok(None);
        }
    }
    let rest = buf.split_off(head_len + body_len);
    req.body = buf.split_off(head_len);
    *buf = rest;
    Ok(Some(req))
}

async fn read_more(stream: &mut TcpStream, buf: &mut Vec<u8>) -> io::Result<usize> {
    buf.reserve(READ_BYTES);
    stream.read_buf(buf).await
}

fn parse_head(head: &[u8]) -> Option<HttpRequest> {
    let text = std::str::from_utf8(head).ok()?;
    let mut lines = text.split("\r\n");
    let mut words = lines.next()?.split(' ');
    let method = words.next()?.to_owned();
    let target = words.next()?;
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let headers = lines
        .filter_map(|line| line.split_once(':'))
        .map(|(key, value)| (key.to_ascii_lowercase(), value.trim().to_owned()))
        .collect();
    Some(HttpRequest {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body: Vec::new(),
    })
}

fn status_text(status: u16) -> &'static str {
    match status {
        200 => "OK",
        404 => "Not Found",
        405 => "Method Not Allowed",
        409 => "Conflict",
        410 => "Gone",
        412 => "Precondition Failed",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        503 => "Service Unavailable",
        _ => "Error",
    }
}

async fn write_full(
    stream: &mut TcpStream,
    status: u16,
    headers: &[(&'static str, String)],
    body: &[u8],
) -> io::Result<()> {
    let mut buf = format!("HTTP/1.1 {status} {}\r\n", status_text(status)).into_bytes();
    for (key, value) in headers {
        buf.extend_from_slice(format!("{key}: {value}\r\n").as_bytes());
    }
    buf.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
    buf.extend_from_slice(body);
    stream.write_all(&buf).await
}

async fn write_stream(
    stream: &mut TcpStream,
    mut parts: mpsc::UnboundedReceiver<Part>,
) -> io::Result<()> {
    let head = "HTTP/1.1 200 OK\r\ncontent-type: application/x-ndjson\r\n\
                transfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    let mut probe = [0; 1];
    loop {
        let part = tokio::select! {
            part = parts.recv() => part,
            // A caller sends nothing while it reads an answer, so this resolves when it went away.
            _ = stream.read(&mut probe) => return Err(io::ErrorKind::ConnectionAborted.into()),
        };
        match part {
            Some(Part::Chunk(chunk)) => {
                let mut buf = format!("{:x}\r\n", chunk.len()).into_bytes();
                buf.extend_from_slice(&chunk);
                buf.extend_from_slice(b"\r\n");
                stream.write_all(&buf).await?;
            }
            Some(Part::End) => return stream.write_all(b"0\r\n\r\n").await,
            None => return Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}
