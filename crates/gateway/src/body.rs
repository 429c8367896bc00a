//! Response bodies for callers.

use std::collections::VecDeque;
use std::pin::Pin;
use std::rc::Rc;
use std::task::ready;
use std::task::Context;
use std::task::Poll;

use bytes::Buf;
use bytes::Bytes;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;
use snafu::Snafu;
use tokio::sync::mpsc;

use crate::accepted_connection::AcceptedConnection;
use crate::buffer_hold::BufferHold;

/// Error of a stream that failed. It makes hyper close the connection without the
/// end of the chunked body, so that the caller notices.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("response stream ended early"))]
pub struct IncompleteStream;

/// Bytes on their way to a caller, which count as buffered until its socket has taken them.
pub struct HeldBytes {
    bytes: Bytes,
    /// None for the few bytes of this router's own responses.
    _hold: Option<BufferHold>,
}

/// What a stream's task sends to the body that the caller reads.
pub enum StreamPart {
    /// The next event.
    Event(HeldBytes),
    /// The stream is whole. One whose task ends without saying so has failed.
    End,
}

/// Body of a response to a caller.
pub struct ResponseBody {
    content: Content,
    /// Connection over which it is sent.
    connection: Option<Rc<AcceptedConnection>>,
}

enum Content {
    /// Complete bytes, in pieces.
    Pieces(VecDeque<HeldBytes>),
    /// The events of a stream, as they arrive.
    Events(mpsc::Receiver<StreamPart>),
    /// No more bytes.
    End,
}

impl HeldBytes {
    /// Returns bytes that `hold` counts.
    pub fn new(bytes: Bytes, hold: BufferHold) -> HeldBytes {
        HeldBytes {
            bytes,
            _hold: Some(hold),
        }
    }
}

impl Buf for HeldBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, len: usize) {
        self.bytes.advance(len);
    }
}

impl ResponseBody {
    /// Returns a small body of this router's own, which isn't counted.
    pub fn own<B>(bytes: B) -> ResponseBody
    where
        B: Into<Bytes>,
    {
        let bytes = bytes.into();
        let piece = HeldBytes { bytes, _hold: None };
        ResponseBody::pieces([piece].into())
    }

    /// Returns a body that counts as held until the socket has taken all of it.
    pub fn held(bytes: Bytes, hold: BufferHold) -> ResponseBody {
        ResponseBody::pieces([HeldBytes::new(bytes, hold)].into())
    }

    /// Returns the body of a backend server's response that was read in full.
    pub fn pieces(mut pieces: VecDeque<HeldBytes>) -> ResponseBody {
        pieces.retain(Buf::has_remaining);
        ResponseBody::new(Content::Pieces(pieces))
    }

    /// Returns the body of a stream whose parts come over a channel.
    pub fn events(parts: mpsc::Receiver<StreamPart>) -> ResponseBody {
        ResponseBody::new(Content::Events(parts))
    }

    /// Sets the connection over which it is sent, which records when the body has ended.
    pub fn send_over(&mut self, connection: Rc<AcceptedConnection>) {
        self.connection = Some(connection);
    }

    fn new(content: Content) -> ResponseBody {
        ResponseBody {
            content,
            connection: None,
        }
    }
}

impl Body for ResponseBody {
    type Data = HeldBytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<HeldBytes>, IncompleteStream>>> {
        let part = match &mut self.content {
            Content::End => return Poll::Ready(None),
            Content::Pieces(pieces) => pieces.pop_front().map(StreamPart::Event),
            Content::Events(parts) => match ready!(parts.poll_recv(cx)) {
                None => return Poll::Ready(Some(IncompleteStreamSnafu.fail())),
                part => part,
            },
        };
        Poll::Ready(match part {
            Some(StreamPart::Event(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(StreamPart::End) | None => {
                self.content = Content::End;
                None
            }
        })
    }

    fn is_end_stream(&self) -> bool {
        match &self.content {
            Content::Pieces(pieces) => pieces.is_empty(),
            Content::Events(_) => false,
            Content::End => true,
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.content {
            Content::Pieces(pieces) => {
                let len: usize = pieces.iter().map(Buf::remaining).sum();
                SizeHint::with_exact(len as u64)
            }
            Content::Events(_) => SizeHint::default(),
            Content::End => SizeHint::with_exact(0),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        if let Some(connection) = &self.connection {
            connection.end_response_body();
        }
    }
}
