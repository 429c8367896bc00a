//! Bodies of responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Body;
use hyper::body::Frame;
use hyper::body::SizeHint;

use crate::EventBody;

/// Body of a response.
pub enum AnswerBody {
    /// Known in whole.
    Whole(Full<Bytes>),
    /// Server-sent events as they come.
    Events(Box<EventBody>),
}

impl AnswerBody {
    /// Creates a body that is known in whole.
    pub fn whole<B>(body: B) -> AnswerBody
    where
        B: Into<Bytes>,
    {
        AnswerBody::Whole(Full::new(body.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            AnswerBody::Whole(body) => Pin::new(body).poll_frame(cx),
            AnswerBody::Events(body) => body.poll_events(cx).map(|buf| Some(Ok(Frame::data(buf?)))),
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
