//! Streamed responses as server-sent events.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Either;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use tokio::sync::mpsc::Receiver;

use crate::clock;
use crate::CompletionWriter;
use crate::GenerationItem;
use crate::Problem;
use crate::Token;

/// Size in bytes at which a frame is sent even if more events are ready.
const FRAME_BYTES: usize = 16 * 1_024;

/// Body of a response: complete bytes, or server-sent events.
pub type ResponseBody = Either<Full<Bytes>, Box<EventBody>>;

/// Response body that streams a generation as server-sent events.
///
/// It ends with `[DONE]` after the last token, or with an event named `error` if the generation
/// fails.
pub struct EventBody {
    first: Option<GenerationItem>,
    rx: Receiver<GenerationItem>,
    writer: CompletionWriter,
    ended: bool,
}

impl EventBody {
    /// Creates a body of `first`, which was already received from `rx`, and the items left in `rx`.
    pub fn new(
        first: GenerationItem,
        rx: Receiver<GenerationItem>,
        writer: CompletionWriter,
    ) -> EventBody {
        EventBody {
            first: Some(first),
            rx,
            writer,
            ended: false,
        }
    }

    /// Returns all events that are ready, up to about `FRAME_BYTES`; `None` after the end.
    fn poll_events(&mut self, cx: &mut Context<'_>) -> Poll<Option<Bytes>> {
        if self.ended {
            return Poll::Ready(None);
        }
        let mut buf = Vec::new();
        if let Some(first) = self.first.take() {
            self.write(first, &mut buf);
        }
        while !self.ended && buf.len() < FRAME_BYTES {
            match self.rx.poll_recv(cx) {
                Poll::Ready(Some(item)) => self.write(item, &mut buf),
                Poll::Ready(None) => self.write_interrupted(&mut buf),
                Poll::Pending if buf.is_empty() => return Poll::Pending,
                Poll::Pending => break,
            }
        }
        Poll::Ready(Some(Bytes::from(buf)))
    }

    fn write(&mut self, item: GenerationItem, buf: &mut Vec<u8>) {
        match item {
            GenerationItem::Started { .. } => {}
            GenerationItem::Token(token) => self.write_token(&token, buf),
            GenerationItem::NoMemory => self.write_error(&Problem::no_memory(), buf),
            GenerationItem::Refused(refusal) => {
                self.write_error(&Problem::from_refusal(&refusal, clock::now()), buf);
            }
        }
    }

    fn write_token(&mut self, token: &Token, buf: &mut Vec<u8>) {
        buf.extend_from_slice(b"id: ");
        buf.extend_from_slice(token.origin.id(token.position, token.last).as_bytes());
        buf.extend_from_slice(b"\ndata: ");
        self.writer.write_chunk(token, buf);
        buf.extend_from_slice(b"\n\n");
        if token.last {
            buf.extend_from_slice(DONE_EVENT);
            self.ended = true;
        }
    }

    fn write_error(&mut self, problem: &Problem, buf: &mut Vec<u8>) {
        buf.extend_from_slice(b"event: error\ndata: ");
        buf.extend_from_slice(&problem.json());
        buf.extend_from_slice(b"\n\n");
        self.ended = true;
    }

    fn write_interrupted(&mut self, buf: &mut Vec<u8>) {
        self.write_error(&Problem::interrupted(), buf);
    }
}

impl Body for EventBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let events = self.poll_events(cx);
        events.map(|buf| buf.map(|buf| Ok(Frame::data(buf))))
    }
}

/// The event that ends a complete stream.
pub const DONE_EVENT: &[u8] = b"data: [DONE]\n\n";
