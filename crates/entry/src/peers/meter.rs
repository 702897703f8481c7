//! Counters of the links: bytes with their framing, calls, and refused connections and bodies by
//! reason.

use std::io;
use std::pin::Pin;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;
use yuccanotch_core::reason::LinkFault;

use crate::peers::Shared;

/// Counters of one host's links since its start.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LinkStats {
    /// Bytes written to sockets, HTTP/2 framing included.
    pub bytes_out: u64,
    /// Bytes read from sockets, HTTP/2 framing included.
    pub bytes_in: u64,
    /// Writes to sockets; each is at least one TCP segment.
    pub writes: u64,
    /// Reads from sockets.
    pub reads: u64,
    /// Connections opened to peers.
    pub connects: u64,
    /// Connections accepted from peers.
    pub accepts: u64,
    /// Calls made to peers.
    pub calls: u64,
    /// Calls to peers that failed.
    pub failed_calls: u64,
    /// Requests of peers that were answered.
    pub served: u64,
    /// Requests of [`Peers::send`](crate::peers::Peers::send) that were dropped because too many
    /// were in flight.
    pub dropped_sends: u64,
    /// Refused connections and bodies by reason, in the order of [`LinkFault::ALL`].
    pub faults: Vec<(LinkFault, u64)>,
}

impl LinkStats {
    /// Returns how often a connection or a body was refused for `fault`.
    pub fn fault(&self, fault: LinkFault) -> u64 {
        self.faults.iter().find(|(f, _)| *f == fault).map_or(0, |(_, n)| *n)
    }
}

/// The live counters behind [`LinkStats`].
#[derive(Debug, Default)]
pub(super) struct Meter {
    pub(super) bytes_out: AtomicU64,
    pub(super) bytes_in: AtomicU64,
    pub(super) writes: AtomicU64,
    pub(super) reads: AtomicU64,
    pub(super) connects: AtomicU64,
    pub(super) accepts: AtomicU64,
    pub(super) calls: AtomicU64,
    pub(super) failed_calls: AtomicU64,
    pub(super) served: AtomicU64,
    dropped_sends: AtomicU64,
    faults: [AtomicU64; LinkFault::ALL.len()],
}

pub(super) fn add(counter: &AtomicU64, n: usize) {
    counter.fetch_add(n as u64, Ordering::Relaxed);
}

fn read(counter: &AtomicU64) -> u64 {
    counter.load(Ordering::Relaxed)
}

impl Meter {
    pub(super) fn count_fault(&self, fault: LinkFault) {
        add(&self.faults[fault as usize], 1);
    }

    pub(super) fn count_dropped_send(&self) {
        add(&self.dropped_sends, 1);
    }

    pub(super) fn stats(&self) -> LinkStats {
        let faults = LinkFault::ALL.iter().map(|f| (*f, read(&self.faults[*f as usize])));
        LinkStats {
            bytes_out: read(&self.bytes_out),
            bytes_in: read(&self.bytes_in),
            writes: read(&self.writes),
            reads: read(&self.reads),
            connects: read(&self.connects),
            accepts: read(&self.accepts),
            calls: read(&self.calls),
            failed_calls: read(&self.failed_calls),
            served: read(&self.served),
            dropped_sends: read(&self.dropped_sends),
            faults: faults.collect(),
        }
    }
}

/// A socket whose traffic is counted.
pub(super) struct MeteredStream {
    stream: TcpStream,
    shared: Arc<Shared>,
}

impl MeteredStream {
    pub(super) fn new(stream: TcpStream, shared: Arc<Shared>) -> Self {
        Self { stream, shared }
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let poll = Pin::new(&mut self.stream).poll_read(cx, buf);
        let n = buf.filled().len() - before;
        if n > 0 {
            add(&self.shared.meter.bytes_in, n);
            add(&self.shared.meter.reads, 1);
        }
        poll
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let poll = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(n)) = &poll {
            add(&self.shared.meter.bytes_out, *n);
            add(&self.shared.meter.writes, 1);
        }
        poll
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
