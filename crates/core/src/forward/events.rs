//! Splits a stream into complete server-sent events, so that it can be resumed at another server
//! after the last event delivered.

use bytes::Bytes;
use bytes::BytesMut;

use crate::defect::planted;

/// The most bytes of an event that are buffered until it is complete.
pub const MAX_EVENT_BYTES: usize = 256 << 10;

/// The most events of an attempt that may have been delivered before, however many were.
const MAX_REPEATED_EVENTS: u64 = 4_096;

/// Complete events that may be sent to the caller.
#[derive(Debug, Default)]
pub struct CompleteEvents {
    /// The bytes of the events, unchanged.
    pub bytes: Bytes,
    /// The number of events.
    pub count: usize,
}

/// The reason for which an event cannot be delivered after the events before it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EventError {
    /// An event has no numeric id.
    NoId,
    /// Events between the last one delivered and this one are missing.
    Gap,
    /// More events came again than can have been delivered before.
    Repeated,
    /// An event is longer than [`MAX_EVENT_BYTES`].
    TooLong,
}

/// Buffers the bytes of an attempt and returns complete events in order of their ids.
#[derive(Debug)]
pub struct EventSplitter {
    buf: BytesMut,
    scanned: usize,
    last: Option<u64>,
    // The events of the present attempt that were delivered before.
    repeated: u64,
}

impl EventSplitter {
    /// Creates a splitter that continues after the event with the id `last`.
    pub fn new(last: Option<u64>) -> Self {
        Self { buf: BytesMut::new(), scanned: 0, last, repeated: 0 }
    }

    /// Returns the id of the last event returned.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns whether a part of an event is buffered.
    pub fn has_partial_event(&self) -> bool {
        !self.buf.is_empty()
    }

    /// Returns the number of buffered bytes of an event that is not complete.
    pub fn partial_bytes(&self) -> usize {
        self.buf.len()
    }

    /// Discards a buffered part of an event, since the next bytes are those of another attempt.
    pub fn begin_attempt(&mut self) {
        self.buf = BytesMut::new();
        self.scanned = 0;
        self.repeated = 0;
    }

    /// Buffers `data` and returns the events that are complete, without those that were returned
    /// before.
    ///
    /// # Errors
    ///
    /// Returns an error if an event cannot follow the last one, or if it exceeds
    /// [`MAX_EVENT_BYTES`]; no event of `data` is returned then.
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
                Some(last) if id <= last && !planted!(ForwardEventTwice) => {
                    self.repeated += 1;
                    if self.repeated > last.min(MAX_REPEATED_EVENTS) {
                        return Err(EventError::Repeated);
                    }
                    continue;
                }
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

    /// Returns the length of the first buffered event with the blank line that ends it, if
    /// complete.
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
