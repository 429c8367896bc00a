//! HTTP calls of the engine stand-in.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use backend::wire::path;
use backend::wire::CacheEventsAnswer;
use backend::wire::CacheEventsMessage;
use backend::wire::CancelMessage;
use backend::wire::EmptyAnswer;
use backend::wire::EmptyMessage;
use backend::wire::ExportMessage;
use backend::wire::GenerateMessage;
use backend::wire::LoadAnswer;
use backend::wire::OrderMessage;
use backend::wire::OrderReply;
use backend::wire::ResumeMessage;
use backend::wire::StreamEvent;
use backend::wire::TokenRecord;
use backend::wire::REFUSED_HEADER;
use backend::Started;
use bytes::Bytes;
use futures::future::BoxFuture;
use futures::stream;
use futures::FutureExt;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use crate::engine_refusal::EngineRefusal;
use crate::engine_run::EngineRun;
use crate::engine_stream::StreamReader;
use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::Hangup;
use crate::json_body::json;
use crate::json_body::read_json;
use crate::json_body::text;

/// Serves one incarnation of the engine stand-in.
#[derive(Clone)]
pub(crate) struct EngineHandler {
    /// Incarnation.
    pub run: Arc<EngineRun>,
}

impl Handler for EngineHandler {
    fn handle(&self, req: Request<Incoming>) -> BoxFuture<'static, Result<Response<Body>, Hangup>> {
        let run = Arc::clone(&self.run);
        let called = req.uri().path().to_owned();
        async move {
            Ok(match called.as_str() {
                path::GENERATE => call(req, |m| generate(run, m)).await,
                path::RESUME => call(req, |m| resume(run, m)).await,
                path::CANCEL => call(req, |m| cancel(run, m)).await,
                path::LOAD => call(req, |m| load(run, m)).await,
                path::CACHE_EVENTS => call(req, |m| cache_events(run, m)).await,
                path::ORDER => call(req, |m| order(run, m)).await,
                path::EXPORT => call(req, |m| export(run, m)).await,
                _ => text(StatusCode::NOT_FOUND, "no such call"),
            })
        }
        .boxed()
    }
}

async fn call<M, F, R>(req: Request<Incoming>, run: F) -> Response<Body>
where
    M: DeserializeOwned,
    F: FnOnce(M) -> R,
    R: Future<Output = Result<Response<Body>, EngineRefusal>>,
{
    let message = match read_json(req).await {
        Ok(message) => message,
        Err(refusal) => return refusal,
    };
    match run(message).await {
        Ok(answer) => answer,
        Err(refusal) => refused(refusal),
    }
}

fn refused(refusal: EngineRefusal) -> Response<Body> {
    let mut answer = text(refusal.status(), refusal.reason());
    let reason = HeaderValue::from_static(refusal.reason());
    answer.headers_mut().insert(REFUSED_HEADER, reason);
    answer
}

type Answered = Result<Response<Body>, EngineRefusal>;

async fn generate(run: Arc<EngineRun>, message: GenerateMessage) -> Answered {
    let position = u32::try_from(message.delivered.len()).unwrap_or(u32::MAX);
    let reader = run.generate(message.into())?;
    Ok(stream_events(reader, position))
}

async fn resume(run: Arc<EngineRun>, message: ResumeMessage) -> Answered {
    let reader = run.resume(&message.stream, message.incarnation)?;
    Ok(stream_events(reader, message.position))
}

async fn cancel(run: Arc<EngineRun>, message: CancelMessage) -> Answered {
    run.cancel(&message.stream);
    Ok(json(&EmptyAnswer {}))
}

async fn load(run: Arc<EngineRun>, _: EmptyMessage) -> Answered {
    Ok(json(&LoadAnswer::from(run.load())))
}

async fn cache_events(run: Arc<EngineRun>, message: CacheEventsMessage) -> Answered {
    let events = run
        .cache_events(message.incarnation, message.sequence, message.wait_ms)
        .await;
    Ok(json(&CacheEventsAnswer::from(events)))
}

async fn order(run: Arc<EngineRun>, message: OrderMessage) -> Answered {
    let answer = run.order(message.into());
    Ok(json(&OrderReply::from(answer)))
}

async fn export(run: Arc<EngineRun>, message: ExportMessage) -> Answered {
    run.export(&message).map(|answer| json(&answer))
}

/// Where a reader stands in the answer that it is given.
struct Cursor {
    reader: StreamReader,
    next: Next,
}

enum Next {
    Start { position: u32 },
    Token { position: u32 },
}

fn stream_events(reader: StreamReader, position: u32) -> Response<Body> {
    let cursor = Cursor {
        reader,
        next: Next::Start { position },
    };
    let frames = stream::unfold(cursor, next_frame);
    let mut answer = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    answer.headers_mut().insert(CONTENT_TYPE, content_type);
    answer
}

type Item = Result<Frame<Bytes>, Infallible>;

async fn next_frame(mut cursor: Cursor) -> Option<(Item, Cursor)> {
    let events = match cursor.next {
        Next::Start { position } => {
            let started = cursor.reader.started().await?;
            cursor.next = Next::Token { position };
            start_event(started)
        }
        Next::Token { position } => {
            let end = cursor.reader.wait(position).await?;
            cursor.next = Next::Token { position: end };
            token_events(&cursor.reader, position, end)
        }
    };
    Some((Ok(Frame::data(Bytes::from(events))), cursor))
}

fn start_event(started: Started) -> Vec<u8> {
    let mut events = Vec::new();
    push_event(&mut events, &StreamEvent::Started(started.into()));
    events
}

fn token_events(reader: &StreamReader, position: u32, end: u32) -> Vec<u8> {
    let stream = reader.stream();
    let mut events = Vec::new();
    for position in position..end {
        let token = TokenRecord {
            position,
            text: stream.prompt.token(position),
            last: position + 1 == stream.tokens,
        };
        push_event(&mut events, &StreamEvent::Token(token));
    }
    events
}

fn push_event(events: &mut Vec<u8>, event: &StreamEvent) {
    events.extend_from_slice(b"data: ");
    // Writing to memory cannot fail, and the event has string keys only.
    let _ = serde_json::to_writer(&mut *events, event);
    events.extend_from_slice(b"\n\n");
}
