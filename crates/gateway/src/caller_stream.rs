//! Stream to a caller that records the bytes which move over it.

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

use crate::accepted_connection::AcceptedConnection;

/// Stream to a caller.
pub struct CallerStream {
    socket: Rc<TcpStream>,
    connection: Rc<AcceptedConnection>,
}

impl CallerStream {
    /// Wraps the socket of a connection.
    pub fn new(socket: Rc<TcpStream>, connection: Rc<AcceptedConnection>) -> CallerStream {
        CallerStream { socket, connection }
    }

    fn poll_write_with<F>(&self, cx: &mut Context<'_>, write: F) -> Poll<io::Result<usize>>
    where
        F: Fn(&TcpStream) -> io::Result<usize>,
    {
        loop {
            ready!(self.socket.poll_write_ready(cx))?;
            match write(&self.socket) {
                Ok(len) => {
                    self.connection.record_written(len);
                    return Poll::Ready(Ok(len));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.socket.poll_read_ready(cx))?;
            match self.socket.try_read_buf(buf) {
                Ok(len) => {
                    self.connection.record_read(len);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.try_write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    /// The http library calls it when it has no more bytes to write.
    fn poll_flush(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.connection.record_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.socket);
        Poll::Ready(match socket.shutdown(std::net::Shutdown::Write) {
            Err(e) if e.kind() == io::ErrorKind::NotConnected => Ok(()),
            result => result,
        })
    }
}
