//! Splits a stream of events into whole events, so that a stream can go on at another server.

use bytes::Bytes;
use bytes::BytesMut;

use crate::defect::planted;

/// The longest event that is held back until it is whole, in bytes.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// Whole events that may go to the caller.
#[derive(Debug, Default)]
pub struct CompleteEvents {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The number of events.
    pub count: usize,
}

/// An event that cannot follow the events before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// An event has no id.
    NoId,
    /// Events between the last and this one are missing.
    Gap,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

/// Collects bytes of one attempt and releases whole events in order.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    last: Option<u64>,
}

impl EventSplitter {
    /// Creates a splitter that goes on after the event `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), scanned: 0, last }
    }

    /// Returns the id of the last event released.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a part of an event is held back.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Drops a held part; the next bytes are of another attempt.
    pub fn discard_partial_event(&mut self) {
        self.buf.clear();
        self.scanned = 0;
    }

    /// Takes in bytes and releases the events that are whole; repeated events are dropped.
    ///
    /// # Errors
    ///
    /// Returns an error when an event cannot follow the last one; nothing is released then.
    pub fn push(&mut self, data: &[u8]) -> Result<CompleteEvents, EventError> {
        self.buf.extend_from_slice(data);
        let mut out = BytesMut::new();
        let mut count = 0;
        let mut last = self.last;
        while let Some(len) = self.next_event_len() {
            let event = self.buf.split_to(len);
            self.scanned = 0;
            let id = event_id(&event).ok_or(EventError::NoId)?;
            match last {
                Some(last) if id <= last && !planted!(ForwardEventTwice) => continue,
                Some(last) if id > last + 1 => return Err(EventError::Gap),
                _ => {}
            }
            last = Some(id);
            count += 1;
            out.extend_from_slice(&event);
        }
        if self.buf.len() > MAX_EVENT_BYTES {
            return Err(EventError::TooLong);
        }
        self.last = last;
        Ok(CompleteEvents { bytes: out.freeze(), count })
    }

    fn next_event_len(&mut self) -> Option<usize> {
        let start = self.scanned.saturating_sub(3);
        for i in start..self.buf.len() {
            let rest = &self.buf[i..];
            if rest.starts_with(b"\n\n") {
                return Some(i + 2);
            }
            if rest.starts_with(b"\r\n\r\n") {
                return Some(i + 4);
            }
        }
        self.scanned = self.buf.len();
        None
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let line = event.split(|&b| b == b'\n').find(|line| line.starts_with(b"id:"))?;
    std::str::from_utf8(&line[3..]).ok()?.trim().parse().ok()
}
