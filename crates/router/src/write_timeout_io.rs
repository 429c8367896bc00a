//! Connections with a timeout on writes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;
use std::time::Duration;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;
use tokio::time::sleep;
use tokio::time::Sleep;

use crate::open_connection::OpenConnection;

/// Wait of a read for which there is no room, while evicted connections give their memory back.
const READ_DELAY: Duration = Duration::from_millis(20);

/// A connection on which a write fails with `TimedOut` if it makes no progress within a timeout. It
/// records the bytes that move over it.
pub struct WriteTimeoutIo<T> {
    inner: T,
    connection: Arc<OpenConnection>,
    timeout: Duration,
    /// Timer of the pending write, `None` while no write is pending.
    deadline: Option<Pin<Box<Sleep>>>,
    /// Timer of a read that waits for room.
    read_delay: Option<Pin<Box<Sleep>>>,
}

impl<T> WriteTimeoutIo<T> {
    /// Wraps `inner`; `timeout` applies to each write on its own.
    pub fn new(inner: T, connection: Arc<OpenConnection>, timeout: Duration) -> WriteTimeoutIo<T> {
        WriteTimeoutIo {
            inner,
            connection,
            timeout,
            deadline: None,
            read_delay: None,
        }
    }

    fn record_written(&self, write: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(len)) = write {
            self.connection.record_written(*len);
        }
    }

    fn apply_timeout<R>(
        &mut self,
        cx: &mut Context<'_>,
        write: Poll<io::Result<R>>,
    ) -> Poll<io::Result<R>> {
        if write.is_ready() {
            self.deadline = None;
            return write;
        }
        let timeout = self.timeout;
        let deadline = self
            .deadline
            .get_or_insert_with(|| Box::pin(sleep(timeout)));
        match deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            Poll::Pending => Poll::Pending,
        }
    }
}

impl<T> AsyncRead for WriteTimeoutIo<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while !self.connection.has_read_room() {
            let delay = self
                .read_delay
                .get_or_insert_with(|| Box::pin(sleep(READ_DELAY)));
            ready!(delay.as_mut().poll(cx));
            self.read_delay = None;
        }
        let before = buf.filled().len();
        let read = Pin::new(&mut self.inner).poll_read(cx, buf);
        self.connection.record_read(buf.filled().len() - before);
        read
    }
}

impl<T> AsyncWrite for WriteTimeoutIo<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write(cx, buf);
        self.record_written(&write);
        self.apply_timeout(cx, write)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let flush = Pin::new(&mut self.inner).poll_flush(cx);
        // The http library flushes when it has no more bytes to write.
        if matches!(flush, Poll::Ready(Ok(()))) {
            self.connection.record_flushed();
        }
        self.apply_timeout(cx, flush)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let shutdown = Pin::new(&mut self.inner).poll_shutdown(cx);
        self.apply_timeout(cx, shutdown)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let write = Pin::new(&mut self.inner).poll_write_vectored(cx, bufs);
        self.record_written(&write);
        self.apply_timeout(cx, write)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }
}
