//! Bodies of answers to callers.

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

/// A stream that ends before it is whole; the connection is closed without its end.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the stream broke off"))]
pub struct BrokenOff;

/// Body of an answer: whole bytes, or events of a stream as they come.
pub type AnswerBody = Either<Full<Bytes>, Events>;

/// Returns a body of whole bytes.
pub fn whole<B, E>(bytes: B) -> Either<Full<Bytes>, E>
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// Events of a stream, as they come.
pub struct Events(pub mpsc::Receiver<Result<Bytes, BrokenOff>>);

impl Body for Events {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        let event = self.0.poll_recv(cx);
        event.map(|event| event.map(|event| event.map(Frame::data)))
    }
}
