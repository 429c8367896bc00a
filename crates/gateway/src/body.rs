//! Bodies of answers to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

/// A stream that ends before it is whole; the connection is closed without its end.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("the stream broke off"))]
pub struct BrokenOff;

/// Body of an answer.
pub enum AnswerBody {
    /// Whole bytes.
    Whole(Full<Bytes>),
    /// Events of a stream, as they come.
    Events(mpsc::Receiver<Result<Bytes, BrokenOff>>),
}

impl AnswerBody {
    /// Returns a body of whole bytes.
    pub fn whole(bytes: Bytes) -> AnswerBody {
        AnswerBody::Whole(Full::new(bytes))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BrokenOff;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenOff>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => {
                let frame = Pin::new(body).poll_frame(cx);
                frame.map(|frame| frame.map(|frame| frame.map_err(never)))
            }
            AnswerBody::Events(rx) => rx
                .poll_recv(cx)
                .map(|event| event.map(|event| event.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AnswerBody::Whole(body) => body.is_end_stream(),
            AnswerBody::Events(_) => false,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AnswerBody::Whole(body) => body.size_hint(),
            AnswerBody::Events(_) => SizeHint::default(),
        }
    }
}

fn never(e: Infallible) -> BrokenOff {
    match e {}
}
