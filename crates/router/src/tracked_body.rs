//! Response body that counts its bytes at its connection until the socket has taken them.

use std::pin::Pin;
use std::sync::Arc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::open_connection::OpenConnection;

/// Response body that counts its bytes at its connection. It returns no more of them while the socket
/// hasn't taken enough of the earlier ones.
pub struct TrackedBody<B> {
    body: B,
    connection: Arc<OpenConnection>,
}

impl<B> TrackedBody<B> {
    /// Wraps the body of a response that is sent over a connection.
    pub fn new(body: B, connection: Arc<OpenConnection>) -> TrackedBody<B> {
        TrackedBody { body, connection }
    }
}

impl<B> Body for TrackedBody<B>
where
    B: Body + Unpin,
{
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        ready!(self.connection.poll_writable(cx));
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let data = frame
            .as_ref()
            .and_then(|frame| frame.as_ref().ok()?.data_ref());
        if let Some(data) = data {
            self.connection.record_unflushed(data.remaining() as u64);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl<B> Drop for TrackedBody<B> {
    fn drop(&mut self) {
        self.connection.end_response_body();
    }
}
