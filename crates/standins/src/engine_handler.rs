//! HTTP interface of the engine stand-in.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;

use backend::wire::path;
use backend::wire::CacheEventsMessage;
use backend::wire::CacheEventsResponse;
use backend::wire::CancelMessage;
use backend::wire::EmptyMessage;
use backend::wire::EmptyResponse;
use backend::wire::ExportMessage;
use backend::wire::GenerateMessage;
use backend::wire::LoadResponse;
use backend::wire::OrderMessage;
use backend::wire::OrderResponseRecord;
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

use crate::engine_incarnation::EngineIncarnation;
use crate::engine_refusal::EngineRefusal;
use crate::engine_stream::StreamReader;
use crate::http_server::Body;
use crate::http_server::Disconnect;
use crate::http_server::Handler;
use crate::json_body::json_response;
use crate::json_body::read_json;
use crate::json_body::text_response;

/// Handles the HTTP requests to one incarnation of the engine stand-in.
#[derive(Clone)]
pub(crate) struct EngineHandler {
    /// The incarnation that serves the requests.
    pub engine: Arc<EngineIncarnation>,
}

impl Handler for EngineHandler {
    fn handle(
        &self,
        req: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Disconnect>> {
        let engine = Arc::clone(&self.engine);
        let request_path = req.uri().path().to_owned();
        async move {
            Ok(match request_path.as_str() {
                path::GENERATE => handle_json(req, |m| generate(engine, m)).await,
                path::RESUME => handle_json(req, |m| resume(engine, m)).await,
                path::CANCEL => handle_json(req, |m| cancel(engine, m)).await,
                path::LOAD => handle_json(req, |m| load(engine, m)).await,
                path::CACHE_EVENTS => handle_json(req, |m| cache_events(engine, m)).await,
                path::ORDER => handle_json(req, |m| order(engine, m)).await,
                path::EXPORT => handle_json(req, |m| export(engine, m)).await,
                _ => text_response(StatusCode::NOT_FOUND, "unknown path"),
            })
        }
        .boxed()
    }
}

/// Parses the JSON body, passes it to `handler` and maps a refusal to an HTTP response.
async fn handle_json<M, F, R>(req: Request<Incoming>, handler: F) -> Response<Body>
where
    M: DeserializeOwned,
    F: FnOnce(M) -> R,
    R: Future<Output = Result<Response<Body>, EngineRefusal>>,
{
    let message = match read_json(req).await {
        Ok(message) => message,
        Err(refusal) => return refusal,
    };
    match handler(message).await {
        Ok(response) => response,
        Err(refusal) => refusal_response(refusal),
    }
}

fn refusal_response(refusal: EngineRefusal) -> Response<Body> {
    let mut response = text_response(refusal.status(), refusal.reason());
    let reason = HeaderValue::from_static(refusal.reason());
    response.headers_mut().insert(REFUSED_HEADER, reason);
    response
}

type HandlerResult = Result<Response<Body>, EngineRefusal>;

async fn generate(engine: Arc<EngineIncarnation>, message: GenerateMessage) -> HandlerResult {
    let position = u32::try_from(message.delivered.len()).unwrap_or(u32::MAX);
    let reader = engine.generate(message.into())?;
    Ok(stream_events(reader, position))
}

async fn resume(engine: Arc<EngineIncarnation>, message: ResumeMessage) -> HandlerResult {
    let reader = engine.resume(&message.stream, message.incarnation)?;
    Ok(stream_events(reader, message.position))
}

async fn cancel(engine: Arc<EngineIncarnation>, message: CancelMessage) -> HandlerResult {
    engine.cancel(&message.stream);
    Ok(json_response(&EmptyResponse {}))
}

async fn load(engine: Arc<EngineIncarnation>, _: EmptyMessage) -> HandlerResult {
    Ok(json_response(&LoadResponse::from(engine.load())))
}

async fn cache_events(
    engine: Arc<EngineIncarnation>,
    message: CacheEventsMessage,
) -> HandlerResult {
    let events = engine
        .cache_events(message.incarnation, message.sequence, message.wait_ms)
        .await;
    Ok(json_response(&CacheEventsResponse::from(events)))
}

async fn order(engine: Arc<EngineIncarnation>, message: OrderMessage) -> HandlerResult {
    let response = engine.order(message.into());
    Ok(json_response(&OrderResponseRecord::from(response)))
}

async fn export(engine: Arc<EngineIncarnation>, message: ExportMessage) -> HandlerResult {
    engine
        .export(&message)
        .map(|response| json_response(&response))
}

/// Position in an event stream that is being sent.
struct Cursor {
    reader: StreamReader,
    next: NextEvent,
}

/// The next event to send.
enum NextEvent {
    /// The start event; the first token after it is at `position`.
    Start { position: u32 },
    /// The token at `position`.
    Token { position: u32 },
}

fn stream_events(reader: StreamReader, position: u32) -> Response<Body> {
    let cursor = Cursor {
        reader,
        next: NextEvent::Start { position },
    };
    let frames = stream::unfold(cursor, next_frame);
    let mut response = Response::new(StreamBody::new(frames).boxed_unsync());
    let content_type = HeaderValue::from_static("text/event-stream");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

type Item = Result<Frame<Bytes>, Infallible>;

async fn next_frame(mut cursor: Cursor) -> Option<(Item, Cursor)> {
    let events = match cursor.next {
        NextEvent::Start { position } => {
            let started = cursor.reader.wait_for_start().await?;
            cursor.next = NextEvent::Token { position };
            start_event(started)
        }
        NextEvent::Token { position } => {
            let end = cursor.reader.wait_for_token(position).await?;
            cursor.next = NextEvent::Token { position: end };
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
    // Serialization into memory can't fail: all keys of the event are strings.
    let _ = serde_json::to_writer(&mut *events, event);
    events.extend_from_slice(b"\n\n");
}
