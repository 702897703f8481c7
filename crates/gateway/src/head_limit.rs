//! A connection that limits the bytes that a server may send before the head of its answer is whole.
//!
//! The HTTP library limits the size of one head, but reads interim answers without end.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

/// The most bytes before the head of an answer is whole, interim answers included.
const MAX_HEAD_BYTES: usize = 512 << 10;

/// The number of bytes that a connection may still read; `None` means that there is no limit.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit(Rc<Cell<Option<usize>>>);

impl HeadLimit {
    /// Limits what is read until the next call of [`Self::lift`].
    pub fn set(&self) {
        self.0.set(Some(MAX_HEAD_BYTES));
    }

    /// Ends the limit, since the head of the answer is whole.
    pub fn lift(&self) {
        self.0.set(None);
    }

    /// Takes `count` bytes that were read from what is left.
    fn take(&self, count: usize) -> io::Result<()> {
        let Some(left) = self.0.get() else {
            return Ok(());
        };
        self.0.set(Some(left.saturating_sub(count)));
        if count > left {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "head of an answer too long"));
        }
        Ok(())
    }
}

/// A stream whose reads count towards a [`HeadLimit`].
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps `stream`, whose reads count towards `limit`.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.limit.take(buf.filled().len() - before))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
