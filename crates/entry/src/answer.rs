//! The way an answer leaves: from the thread that serves a request to the caller's connection.

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

const MAX_BUFFERED_CHUNKS: usize = 16;

quick_error! {
    /// The caller's connection is gone or takes no bytes.
    #[derive(Clone, Copy, Debug, Eq, PartialEq)]
    pub enum CallerGone {
        /// The connection was closed.
        Closed {
            display("the caller closed its connection")
        }
        /// The connection took no byte within the write timeout.
        TooSlow {
            display("the caller takes no bytes")
        }
    }
}

/// Body of an answer.
#[derive(Debug)]
pub enum AnswerBody {
    /// A whole body, until it has been taken.
    Whole(Option<Bytes>),
    /// Chunks as they come.
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

/// Answers one request of a caller.
#[derive(Debug)]
pub struct Responder {
    request: RequestId,
    tx: oneshot::Sender<Response<AnswerBody>>,
    handle: Handle,
    write_timeout: Duration,
}

impl Responder {
    /// Creates a responder and the receiver of its answer.
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

    /// Answers with a whole body.
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

    /// Answers with a refusal.
    pub fn refuse(self, refusal: &Refusal) {
        let mut headers = HeaderMap::new();
        if let Some(seconds) = refusal.retry_after_s() {
            headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds));
        }
        let body = refusal.body(self.request);
        self.respond(refusal.status(), PROBLEM_TYPE, headers, body);
    }

    /// Begins an answer whose body is written chunk by chunk.
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

/// Writes the chunks of an answer; dropping it ends the body.
#[derive(Debug)]
pub struct ChunkWriter {
    tx: mpsc::Sender<Bytes>,
    handle: Handle,
    write_timeout: Duration,
}

impl ChunkWriter {
    /// Hands one chunk to the caller's connection, which sends it at once.
    ///
    /// # Errors
    ///
    /// Returns an error when the caller is gone or takes no bytes.
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
