//! The structured log on standard output. It is bounded and never blocks the event loop.

use std::cell::Cell;
use std::cell::RefCell;
use std::fmt::Display;
use std::fmt::Write as _;
use std::io;

use yuccanotch_core::clock::Clock;
use yuccanotch_core::clock::Millis;
use yuccanotch_core::event::Event;

/// The number of buffered bytes from which on further lines are dropped.
const MAX_BUFFER_BYTES: usize = 64 << 10;
/// The largest number of lines accepted in one second.
const MAX_LINES_PER_S: u32 = 400;
const SECOND: Millis = Millis(1_000);

/// Buffers log lines and writes them as fast as standard output accepts them. Lines beyond the
/// bounds are dropped and counted.
#[derive(Debug)]
pub struct EventLog {
    clock: Clock,
    buf: RefCell<String>,
    dropped: Cell<u64>,
    second_start: Cell<Millis>,
    lines_in_second: Cell<u32>,
}

/// A key and its value in a log line.
pub type Detail<'a> = (&'static str, &'a dyn Display);

impl EventLog {
    /// Creates the log and makes standard output non-blocking.
    pub fn new(clock: Clock) -> Self {
        set_stdout_nonblocking();
        Self {
            clock,
            buf: RefCell::new(String::new()),
            dropped: Cell::new(0),
            second_start: Cell::new(Millis::ZERO),
            lines_in_second: Cell::new(0),
        }
    }

    /// Logs `event` with `details`, or counts it as dropped.
    pub fn line(&self, event: Event, details: &[Detail<'_>]) {
        let now = self.clock.now();
        if now.since(self.second_start.get()) >= SECOND {
            self.second_start.set(now);
            self.lines_in_second.set(0);
        }
        let mut buf = self.buf.borrow_mut();
        if self.lines_in_second.get() >= MAX_LINES_PER_S || buf.len() >= MAX_BUFFER_BYTES {
            self.dropped.set(self.dropped.get() + 1);
            return;
        }
        self.lines_in_second.set(self.lines_in_second.get() + 1);
        write_line(&mut buf, now, event, details);
    }

    /// Returns the number of lines dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.get()
    }

    /// Writes as much as standard output accepts without blocking.
    pub fn flush(&self) {
        let mut buf = self.buf.borrow_mut();
        if buf.is_empty() {
            return;
        }
        let written = write_stdout(buf.as_bytes());
        buf.drain(..written);
    }
}

fn write_line(buf: &mut String, now: Millis, event: Event, details: &[Detail<'_>]) {
    let level = event.level().as_str();
    let text = event.text();
    let number = event.number();
    let start = format_args!("{{\"ms\":{},\"event\":{number},\"level\":\"{level}\"", now.0);
    // Writing to a string cannot fail.
    let _ = write!(buf, "{start},\"text\":\"{text}\"");
    for (key, value) in details {
        let _ = write!(buf, ",\"{key}\":\"");
        let _ = write!(Escaped(buf), "{value}");
        buf.push('"');
    }
    buf.push_str("}\n");
}

/// Writes text as the content of a JSON string; control characters become spaces.
struct Escaped<'a>(&'a mut String);

impl std::fmt::Write for Escaped<'_> {
    fn write_str(&mut self, text: &str) -> std::fmt::Result {
        for c in text.chars() {
            match c {
                '"' | '\\' => {
                    self.0.push('\\');
                    self.0.push(c);
                }
                c if c.is_control() => self.0.push(' '),
                c => self.0.push(c),
            }
        }
        Ok(())
    }
}

#[allow(unsafe_code)]
fn set_stdout_nonblocking() {
    // SAFETY: the calls take only a descriptor number and flags.
    unsafe {
        let flags = libc::fcntl(libc::STDOUT_FILENO, libc::F_GETFL);
        if flags >= 0 {
            libc::fcntl(libc::STDOUT_FILENO, libc::F_SETFL, flags | libc::O_NONBLOCK);
        }
    }
}

#[allow(unsafe_code)]
fn write_stdout(bytes: &[u8]) -> usize {
    // SAFETY: the pointer and the length belong to one live slice.
    let written = unsafe { libc::write(libc::STDOUT_FILENO, bytes.as_ptr().cast(), bytes.len()) };
    match usize::try_from(written) {
        Ok(written) => written,
        // If the reader is slow, the bytes stay buffered. If nobody reads any more, they are
        // dropped.
        Err(_) if io::Error::last_os_error().kind() == io::ErrorKind::WouldBlock => 0,
        Err(_) => bytes.len(),
    }
}
