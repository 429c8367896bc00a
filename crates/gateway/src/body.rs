//! Response bodies for callers.

use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use snafu::Snafu;
use tokio::sync::mpsc;

/// Error of a stream that failed. It makes hyper close the connection without the
/// end of the chunked body, so that the caller notices.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("response stream ended early"))]
pub struct IncompleteStream;

/// Body of a response: complete bytes, or the events of a stream.
pub type ResponseBody = Either<Full<Bytes>, Events>;

/// Returns a response body of complete bytes.
pub fn full_body<B, E>(bytes: B) -> Either<Full<Bytes>, E>
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// Body that yields the events of a stream as they arrive.
pub struct Events(pub mpsc::Receiver<Result<Bytes, IncompleteStream>>);

impl Body for Events {
    type Data = Bytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        let event = self.0.poll_recv(cx);
        event.map(|event| event.map(|event| event.map(Frame::data)))
    }
}
