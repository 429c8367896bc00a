//! Stream that reads no more bytes than it is allowed to. Without it a peer that sends bytes
//! without end would take memory and processor time until a deadline passes.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

/// Number of bytes that may still be read from a stream.
#[derive(Clone, Debug)]
pub struct ReadAllowance(Rc<Cell<u64>>);

impl ReadAllowance {
    /// Allows `bytes` more bytes in place of those that were allowed before.
    pub fn set(&self, bytes: u64) {
        self.0.set(bytes);
    }

    /// Returns whether nothing more may be read.
    pub fn is_used_up(&self) -> bool {
        self.0.get() == 0
    }

    fn take(&self, bytes: usize) {
        let left = self.0.get().saturating_sub(bytes as u64);
        self.0.set(left);
    }
}

/// Stream with an allowance of bytes to read. A read beyond it fails.
pub struct LimitedStream<S> {
    stream: S,
    allowance: ReadAllowance,
}

impl<S> LimitedStream<S> {
    /// Wraps a stream from which `bytes` bytes may be read. Returns also its allowance.
    pub fn new(stream: S, bytes: u64) -> (LimitedStream<S>, ReadAllowance) {
        let allowance = ReadAllowance(Rc::new(Cell::new(bytes)));
        let limited = LimitedStream {
            stream,
            allowance: allowance.clone(),
        };
        (limited, allowance)
    }
}

impl<S> AsyncRead for LimitedStream<S>
where
    S: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.0.get() == 0 {
            let e = io::Error::new(io::ErrorKind::InvalidData, "peer sends too many bytes");
            return Poll::Ready(Err(e));
        }
        let before = buf.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.allowance.take(buf.filled().len() - before);
        result
    }
}

impl<S> AsyncWrite for LimitedStream<S>
where
    S: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
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

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
