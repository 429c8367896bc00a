//! Byte counting for connections.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio::io::ReadBuf;

use crate::Observer;

/// Wraps a connection and reports the bytes sent and received to an [`Observer`].
pub struct CountedIo<T> {
    inner: T,
    observer: Arc<dyn Observer>,
}

impl<T> CountedIo<T> {
    /// Wraps `inner`; all bytes that pass from now on are counted.
    pub fn new(inner: T, observer: Arc<dyn Observer>) -> CountedIo<T> {
        CountedIo { inner, observer }
    }
}

impl<T> AsyncRead for CountedIo<T>
where
    T: AsyncRead + Unpin,
{
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let read = buf.filled().len() - before;
        self.observer.on_received(u64::try_from(read).unwrap_or(0));
        Poll::Ready(Ok(()))
    }
}

impl<T> AsyncWrite for CountedIo<T>
where
    T: AsyncWrite + Unpin,
{
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.inner).poll_write(cx, buf))?;
        self.observer.on_sent(u64::try_from(written).unwrap_or(0));
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.inner).poll_shutdown(cx)
    }
}
