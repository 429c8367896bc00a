//! Response bodies for callers.

use std::pin::Pin;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::buffer_budget::BufferHold;

/// Error of a stream that failed. It makes hyper close the connection without the
/// end of the chunked body, so that the caller notices.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("response stream ended early"))]
pub struct IncompleteStream;

/// Body of a response: a small one of this router's own, or that of a backend server's response.
pub type ResponseBody = Either<Full<Bytes>, RelayedBody>;

/// Body of a backend server's response: complete bytes, or the events of a stream.
pub type RelayedBody = Either<Buffered, Events>;

/// Body of complete bytes, which count as buffered until it has been written.
pub struct Buffered {
    bytes: Full<Bytes>,
    _hold: BufferHold,
}

/// An event on its way to the caller, counted as buffered until it is taken.
pub struct BufferedEvent {
    /// Bytes of the event.
    pub bytes: Bytes,
    /// Counts them.
    pub _hold: BufferHold,
}

/// What a stream's task sends to the body that the caller reads.
pub enum StreamPart {
    /// The next event.
    Event(BufferedEvent),
    /// The stream is whole. One whose task ends without saying so has failed.
    End,
}

/// Body that yields the events of a stream as they arrive.
pub struct Events {
    parts: mpsc::Receiver<StreamPart>,
    is_whole: bool,
}

impl Events {
    /// Returns the body of a stream whose parts come over a channel.
    pub fn new(parts: mpsc::Receiver<StreamPart>) -> Events {
        Events {
            parts,
            is_whole: false,
        }
    }
}

/// Returns a small response body of complete bytes, which isn't counted.
pub fn full_body<B, E>(bytes: B) -> Either<Full<Bytes>, E>
where
    B: Into<Bytes>,
{
    Either::Left(Full::new(bytes.into()))
}

/// Returns a response body of complete bytes that `hold` counts.
pub fn held_body(bytes: Bytes, hold: BufferHold) -> ResponseBody {
    Either::Right(Either::Left(Buffered {
        bytes: Full::new(bytes),
        _hold: hold,
    }))
}

impl Body for Buffered {
    type Data = Bytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        let frame = Pin::new(&mut self.bytes).poll_frame(cx);
        frame.map(|frame| frame.map(|frame| frame.map_err(|never| match never {})))
    }

    fn is_end_stream(&self) -> bool {
        self.bytes.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.bytes.size_hint()
    }
}

impl Body for Events {
    type Data = Bytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        if self.is_whole {
            return Poll::Ready(None);
        }
        let part = ready!(self.parts.poll_recv(cx));
        Poll::Ready(match part {
            Some(StreamPart::Event(event)) => Some(Ok(Frame::data(event.bytes))),
            Some(StreamPart::End) => {
                self.is_whole = true;
                None
            }
            None => Some(IncompleteStreamSnafu.fail()),
        })
    }
}
