//! Passes an answer from the thread that serves a request to the task of the caller's connection.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::header;
use http::HeaderMap;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::runtime::Handle;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use yuccanotch_core::ids::RequestId;

use crate::problem::Refusal;
use crate::problem::PROBLEM_TYPE;

/// Largest number of chunks of one answer that wait for the connection before the writer blocks.
const MAX_BUFFERED_CHUNKS: usize = 16;

quick_error! {
    /// Why an answer cannot be sent to the caller any more.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum CallerGone {
        /// The caller closed the connection.
        Closed {
            display("the caller closed its connection")
        }
        /// The connection accepted no more chunks within the write timeout.
        TooSlow {
            display("the caller accepted no bytes within the write timeout")
        }
    }
}

/// Body of an answer, as the connection reads it.
#[derive(Debug)]
pub enum AnswerBody {
    /// A complete body; `None` once it was read.
    Whole(Option<Bytes>),
    /// A body that arrives in chunks.
    Chunks(mpsc::Receiver<Bytes>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Poll::Ready(body.take().map(|buf| Ok(Frame::data(buf)))),
            Self::Chunks(rx) => rx.poll_recv(cx).map(|buf| buf.map(|buf| Ok(Frame::data(buf)))),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => {
                SizeHint::with_exact(body.as_ref().map_or(0, |buf| buf.len() as u64))
            }
            Self::Chunks(_) => SizeHint::default(),
        }
    }
}

/// Sends the answer to one request of a caller.
#[derive(Debug)]
pub struct Responder {
    request: RequestId,
    tx: oneshot::Sender<Response<AnswerBody>>,
    handle: Handle,
    write_timeout: Duration,
}

impl Responder {
    /// Creates a responder and the receiver of its answer; each wait for the caller's connection
    /// lasts `write_timeout` at most.
    pub fn new(
        request: RequestId,
        handle: Handle,
        write_timeout: Duration,
    ) -> (Self, oneshot::Receiver<Response<AnswerBody>>) {
        let (tx, rx) = oneshot::channel();
        (Self { request, tx, handle, write_timeout }, rx)
    }

    /// Returns the identifier of the request.
    pub fn request(&self) -> RequestId {
        self.request
    }

    /// Returns whether the caller closed its connection.
    pub fn is_gone(&self) -> bool {
        self.tx.is_closed()
    }

    /// Sends an answer with a complete body.
    pub fn respond(
        self,
        status: u16,
        content_type: &str,
        headers: HeaderMap,
        body: impl Into<Bytes>,
    ) {
        let body = AnswerBody::Whole(Some(body.into()));
        let _ = self.tx.send(response(self.request, status, content_type, headers, body));
    }

    /// Sends a refusal with its problem body and its `Retry-After` header.
    pub fn refuse(self, refusal: &Refusal) {
        let mut headers = HeaderMap::new();
        if let Some(seconds) = refusal.retry_after_s() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        let body = refusal.body(self.request);
        self.respond(refusal.status(), PROBLEM_TYPE, headers, body);
    }

    /// Sends the head of an answer and returns the writer of its body.
    pub fn respond_chunked(
        self,
        status: u16,
        content_type: &str,
        headers: HeaderMap,
    ) -> ChunkWriter {
        let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
        let body = AnswerBody::Chunks(rx);
        let _ = self.tx.send(response(self.request, status, content_type, headers, body));
        ChunkWriter { tx, handle: self.handle, write_timeout: self.write_timeout }
    }
}

fn response(
    request: RequestId,
    status: u16,
    content_type: &str,
    mut headers: HeaderMap,
    body: AnswerBody,
) -> Response<AnswerBody> {
    if let Ok(content_type) = HeaderValue::from_str(content_type) {
        headers.insert(header::CONTENT_TYPE, content_type);
    }
    if let Ok(id) = HeaderValue::from_str(&request.to_string()) {
        headers.insert("yuccanotch-request", id);
    }
    let mut response = Response::new(body);
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    *response.headers_mut() = headers;
    response
}

/// Writes the body of an answer chunk by chunk; dropping it ends the body.
#[derive(Debug)]
pub struct ChunkWriter {
    tx: mpsc::Sender<Bytes>,
    handle: Handle,
    write_timeout: Duration,
}

impl ChunkWriter {
    /// Passes one chunk to the caller's connection, which sends it at once; blocks while too many
    /// chunks wait.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller closed its connection or accepts no bytes.
    pub fn write(&mut self, buf: impl Into<Bytes>) -> Result<(), CallerGone> {
        match self.tx.try_send(buf.into()) {
            Ok(()) => Ok(()),
            Err(mpsc::error::TrySendError::Closed(_)) => Err(CallerGone::Closed),
            Err(mpsc::error::TrySendError::Full(buf)) => self.wait_and_write(buf),
        }
    }

    /// Returns whether the caller closed its connection.
    pub fn is_gone(&self) -> bool {
        self.tx.is_closed()
    }

    fn wait_and_write(&mut self, buf: Bytes) -> Result<(), CallerGone> {
        let send = self.tx.send_timeout(buf, self.write_timeout);
        match self.handle.block_on(send) {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => Err(CallerGone::Closed),
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => Err(CallerGone::TooSlow),
        }
    }
}
