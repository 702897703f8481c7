//! The answer to a caller, either complete or streamed.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use quick_error::quick_error;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::time;
use yuccanotch_core::bytes::ByteBudget;
use yuccanotch_core::bytes::Reservation;
use yuccanotch_core::bytes::UseKind;

use crate::body;
use crate::connections::ConnectionRequest;

/// The largest number of chunks buffered for a caller that reads slowly.
pub(crate) const MAX_BUFFERED_CHUNKS: usize = 16;

quick_error! {
    /// Why an answer ended before it was complete.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BrokenOff {
        /// The host ended the answer early.
        ByHost {
            display("answer broken off")
        }
    }
}

/// Tells the request's task, when dropped, that the caller has disconnected.
#[derive(Debug)]
pub struct CallerGuard {
    _alive: oneshot::Sender<Infallible>,
}

/// Resolves when the caller has disconnected.
pub type CallerGone = oneshot::Receiver<Infallible>;

/// Creates a guard and the receiver that resolves when the guard is dropped.
pub fn caller_guard() -> (CallerGuard, CallerGone) {
    let (alive, gone) = oneshot::channel();
    (CallerGuard { _alive: alive }, gone)
}

#[derive(Debug)]
enum Source {
    Whole(Option<Bytes>),
    Chunks { rx: mpsc::Receiver<Bytes>, is_finished: Rc<Cell<bool>> },
}

/// The body of an answer.
#[derive(Debug)]
pub struct AnswerBody {
    source: Source,
    _guard: Option<CallerGuard>,
    _request: Option<ConnectionRequest>,
}

impl AnswerBody {
    /// Creates a body from all of its bytes.
    pub fn whole(bytes: Bytes) -> Self {
        let bytes = if bytes.is_empty() { None } else { Some(bytes) };
        Self { source: Source::Whole(bytes), _guard: None, _request: None }
    }

    /// Attaches a guard, which is dropped together with the body.
    pub fn with_guard(mut self, guard: CallerGuard) -> Self {
        self._guard = Some(guard);
        self
    }

    /// Attaches the request of a connection, which ends together with the body.
    pub(crate) fn with_request(mut self, request: ConnectionRequest) -> Self {
        self._request = Some(request);
        self
    }
}

/// Sends the chunks of a streamed answer. Dropping it without [`ChunkSender::finish`] makes the
/// answer end as incomplete, after the chunks sent so far.
#[derive(Debug)]
pub struct ChunkSender {
    tx: mpsc::Sender<Bytes>,
    is_finished: Rc<Cell<bool>>,
    budget: ByteBudget,
}

impl ChunkSender {
    /// Sends a chunk; waits while the buffer is full.
    pub async fn send(&self, bytes: Bytes) {
        if !bytes.is_empty() {
            let reservation = self.reserve(bytes.len()).await;
            // If the caller has disconnected, its guard ends the request's task.
            let _ = self.tx.send(body::with_reservation(bytes, reservation)).await;
        }
    }

    /// Reserves the bytes of a chunk. A caller that has read all chunks before it never waits for
    /// others that read slowly.
    async fn reserve(&self, bytes: usize) -> Reservation {
        let mut reservation = self.budget.reservation(UseKind::Chunks);
        while reservation.grow(bytes).is_err() {
            let is_read = self.tx.capacity() == self.tx.max_capacity();
            if is_read || self.tx.is_closed() {
                reservation.grow_beyond(bytes);
                break;
            }
            time::sleep(body::ROOM_CHECK_INTERVAL).await;
        }
        reservation
    }

    /// Ends the answer as complete.
    pub fn finish(self) {
        self.is_finished.set(true);
    }
}

/// Creates a streamed body and the sender of its chunks, which count towards `budget`.
pub fn chunked(budget: &ByteBudget) -> (ChunkSender, AnswerBody) {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let is_finished = Rc::<Cell<bool>>::default();
    let source = Source::Chunks { rx, is_finished: is_finished.clone() };
    let body = AnswerBody { source, _guard: None, _request: None };
    (ChunkSender { tx, is_finished, budget: budget.clone() }, body)
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match &mut self.source {
            Source::Whole(bytes) => Poll::Ready(bytes.take().map(|b| Ok(Frame::data(b)))),
            Source::Chunks { rx, is_finished } => rx.poll_recv(cx).map(|next| match next {
                Some(chunk) => Some(Ok(Frame::data(chunk))),
                None if is_finished.get() => None,
                None => Some(Err(BrokenOff::ByHost)),
            }),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self.source, Source::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Source::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |b| b.len() as u64))
            }
            Source::Chunks { .. } => SizeHint::default(),
        }
    }
}

/// Creates an answer from its parts.
pub fn respond(status: StatusCode, fields: HeaderMap, body: AnswerBody) -> Response<AnswerBody> {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = fields;
    response
}
