//! Bodies that are read whole, each into one buffer whose bytes are reserved before they are read.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use quick_error::quick_error;
use tokio::sync::oneshot;
use tokio::time;
use yuccanotch_core::bytes::BodyId;
use yuccanotch_core::bytes::NoRoom;
use yuccanotch_core::bytes::OpenBodies;
use yuccanotch_core::bytes::Reservation;
use yuccanotch_core::bytes::UseKind;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::forward::reason::Rejection;

use crate::host::Gateway;

/// The first size of the buffer of a body without a stated length, in bytes.
const FIRST_CAPACITY: usize = 4 << 10;
/// How often a waiting body checks for room.
pub(crate) const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// The longest wait of a body for room: long enough for stragglers to be told from others.
const MAX_ROOM_WAIT: Millis = Millis(1_000);
/// The part of its time that a request may wait for room, as a divisor.
const ROOM_WAIT_SHARE: u64 = 3;
/// How long an answer waits for room before it may be read beyond the limit.
const ANSWER_ROOM_WAIT: Millis = Millis(200);

quick_error! {
    /// Why a body was not read whole.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum BodyError {
        /// It is longer than the limit.
        TooLong {
            display("body too long")
        }
        /// The connection failed, or it ended early.
        Broken {
            display("body ended early")
        }
        /// It was closed since others need its room.
        Closed {
            display("body closed for others")
        }
        /// No room was free in time.
        NoRoom {
            display("no room for the body")
        }
    }
}

impl From<BodyError> for Rejection {
    fn from(e: BodyError) -> Self {
        match e {
            BodyError::TooLong => Self::TooLarge,
            BodyError::Broken => Self::BodyBroken,
            BodyError::Closed => Self::BodyStraggling,
            BodyError::NoRoom => Self::NoMemory,
        }
    }
}

/// Bytes with the reservation that counts them.
pub(crate) struct ReservedBytes<T> {
    data: T,
    _reservation: Reservation,
}

impl<T: AsRef<[u8]>> AsRef<[u8]> for ReservedBytes<T> {
    fn as_ref(&self) -> &[u8] {
        self.data.as_ref()
    }
}

/// Returns `data` as bytes that free `reservation` when the last part of them is dropped.
pub(crate) fn with_reservation<T>(data: T, reservation: Reservation) -> Bytes
where
    T: AsRef<[u8]> + Send + 'static,
{
    Bytes::from_owner(ReservedBytes { data, _reservation: reservation })
}

/// The bodies of callers that are being read, and the signals that close them.
#[derive(Debug, Default)]
pub struct BodyTable {
    bodies: RefCell<OpenBodies>,
    closers: RefCell<HashMap<BodyId, oneshot::Sender<()>>>,
}

impl BodyTable {
    fn open(self: &Rc<Self>, now: Millis) -> (OpenBody, oneshot::Receiver<()>) {
        let (closer, closed) = oneshot::channel();
        let id = self.bodies.borrow_mut().begin(now);
        self.closers.borrow_mut().insert(id, closer);
        (OpenBody { table: self.clone(), id }, closed)
    }

    /// Closes the body that has made no progress for the longest time; returns whether there is one.
    pub(crate) fn close_straggler(&self, now: Millis) -> bool {
        let Some(id) = self.bodies.borrow_mut().take_straggler(now) else {
            return false;
        };
        if let Some(closer) = self.closers.borrow_mut().remove(&id) {
            // The body may have ended in the same moment.
            let _ = closer.send(());
        }
        true
    }

    /// Returns the number of bodies that are being read.
    pub(crate) fn count(&self) -> usize {
        self.bodies.borrow().count()
    }
}

/// A body in a [`BodyTable`], until it is dropped.
struct OpenBody {
    table: Rc<BodyTable>,
    id: BodyId,
}

impl Drop for OpenBody {
    fn drop(&mut self) {
        self.table.bodies.borrow_mut().end(self.id);
        self.table.closers.borrow_mut().remove(&self.id);
    }
}

/// The buffer of a body and its reservation, which is never smaller.
struct Buffer {
    data: Vec<u8>,
    reservation: Reservation,
    limit: usize,
}

impl Buffer {
    fn new(reservation: Reservation, limit: usize) -> Self {
        Self { data: Vec::new(), reservation, limit }
    }

    /// Returns how many more bytes have to be reserved before `more` bytes fit into the buffer.
    fn missing(&self, more: usize) -> Result<usize, BodyError> {
        let needed = self.data.len().saturating_add(more);
        if needed > self.limit {
            return Err(BodyError::TooLong);
        }
        let reserved = self.reservation.bytes();
        if needed <= reserved {
            return Ok(0);
        }
        let doubled = (reserved * 2).max(FIRST_CAPACITY).min(self.limit);
        Ok(doubled.max(needed) - reserved)
    }

    /// Appends `part`, for which bytes have been reserved.
    fn push(&mut self, part: &[u8]) {
        if self.data.capacity() - self.data.len() < part.len() {
            let capacity = self.reservation.bytes().max(self.data.len() + part.len());
            self.data.reserve_exact(capacity - self.data.len());
        }
        self.data.extend_from_slice(part);
    }

    fn finish(mut self) -> Bytes {
        if self.data.is_empty() {
            return Bytes::new();
        }
        self.data.shrink_to_fit();
        self.reservation.shrink_to(self.data.len());
        with_reservation(self.data, self.reservation)
    }
}

/// Returns the length that the head of a message states for `body`.
fn stated_length(body: &Incoming) -> Option<usize> {
    body.size_hint().exact().and_then(|length| usize::try_from(length).ok())
}

/// Returns the next part of the data of `body`; `None` at its end.
async fn next_part(body: &mut Incoming) -> Result<Option<Bytes>, BodyError> {
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
    Ok(None)
}

/// Reads the body of a caller's request, which has `time_left` to arrive; waits for room if there is
/// none.
///
/// # Errors
///
/// Returns an error when the body is longer than `limit`, fails, gets no room in time or is closed since
/// others need its room.
pub(crate) async fn read_request(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    time_left: Millis,
) -> Result<Bytes, BodyError> {
    let limit = limit.min(gateway.byte_budget.largest(UseKind::Bodies));
    let length = stated_length(&body);
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLong);
    }
    let (open, closed) = gateway.open_bodies.open(gateway.clock.now());
    let mut buffer = Buffer::new(gateway.byte_budget.reservation(UseKind::Bodies), limit);
    let reading = async {
        if let Some(length) = length {
            make_room(gateway, &open, &mut buffer.reservation, length, time_left).await?;
        }
        while let Some(part) = next_part(&mut body).await? {
            open.table.bodies.borrow_mut().on_bytes(gateway.clock.now(), open.id, part.len());
            let missing = buffer.missing(part.len())?;
            make_room(gateway, &open, &mut buffer.reservation, missing, time_left).await?;
            buffer.push(&part);
        }
        Ok::<(), BodyError>(())
    };
    tokio::select! {
        biased;
        Ok(()) = closed => return Err(BodyError::Closed),
        result = reading => result?,
    }
    Ok(buffer.finish())
}

/// Reserves `more` bytes for a body; waits while others use the room, and closes stragglers.
async fn make_room(
    gateway: &Gateway,
    open: &OpenBody,
    reservation: &mut Reservation,
    more: usize,
    time_left: Millis,
) -> Result<(), BodyError> {
    if more == 0 || reservation.grow(more).is_ok() {
        return Ok(());
    }
    let set_held_up = |is_held_up| {
        let now = gateway.clock.now();
        open.table.bodies.borrow_mut().set_held_up(now, open.id, is_held_up);
    };
    let until = gateway.clock.now() + MAX_ROOM_WAIT.min(Millis(time_left.0 / ROOM_WAIT_SHARE));
    set_held_up(true);
    gateway.note_exhausted(UseKind::Bodies);
    loop {
        match reservation.grow(more) {
            Ok(()) => break,
            Err(NoRoom::Ever) => return Err(BodyError::TooLong),
            Err(NoRoom::Now) if gateway.clock.now() >= until => return Err(BodyError::NoRoom),
            Err(NoRoom::Now) => {}
        }
        gateway.open_bodies.close_straggler(gateway.clock.now());
        time::sleep(ROOM_CHECK_INTERVAL).await;
    }
    set_held_up(false);
    Ok(())
}

/// Reads the whole answer of a server; waits for room if there is none, since its request has run.
/// `waits` tells whether it does.
///
/// # Errors
///
/// Returns an error when the answer is longer than `limit` or fails.
pub(crate) async fn read_answer(
    gateway: &Gateway,
    mut body: Incoming,
    limit: usize,
    waits: &Cell<bool>,
) -> Result<Bytes, BodyError> {
    let length = stated_length(&body);
    if length.is_some_and(|length| length > limit) {
        return Err(BodyError::TooLong);
    }
    let reservation = gateway.byte_budget.reservation(UseKind::Answers);
    let mut buffer = Buffer::new(reservation, length.unwrap_or(limit));
    wait_for_answer_room(gateway, &mut buffer, length.unwrap_or(0), waits).await;
    while let Some(part) = next_part(&mut body).await? {
        let missing = buffer.missing(part.len())?;
        wait_for_answer_room(gateway, &mut buffer, missing, waits).await;
        buffer.push(&part);
    }
    Ok(buffer.finish())
}

/// Reserves `more` bytes for an answer. One that waits for long is read whole beyond the limit while no
/// other is, so that answers which hold a part each do not wait for each other without end.
async fn wait_for_answer_room(
    gateway: &Gateway,
    buffer: &mut Buffer,
    more: usize,
    waits: &Cell<bool>,
) {
    if more == 0 || buffer.reservation.grow(more).is_ok() {
        return;
    }
    gateway.note_exhausted(UseKind::Answers);
    waits.set(true);
    let may_exceed_at = gateway.clock.now() + ANSWER_ROOM_WAIT;
    let budget = &gateway.byte_budget;
    while buffer.reservation.grow(more).is_err() {
        let may_exceed = gateway.clock.now() >= may_exceed_at;
        if may_exceed && budget.used(UseKind::Answers) <= budget.limit(UseKind::Answers) {
            buffer.reservation.grow_beyond(buffer.limit - buffer.reservation.bytes());
            break;
        }
        time::sleep(ROOM_CHECK_INTERVAL).await;
    }
    waits.set(false);
}
