//! Response body that records its end at its connection.

use std::pin::Pin;
use std::sync::Arc;
use std::task::Context;
use std::task::Poll;

use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::connections::OpenConnection;

/// Response body that records its end at its connection.
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
        Pin::new(&mut self.body).poll_frame(cx)
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
        self.connection.end_body();
    }
}
