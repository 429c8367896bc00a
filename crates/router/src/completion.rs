//! Responds to requests for completions and chat completions.

use std::sync::Arc;

use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderValue;
use http::Method;
use http::Response;
use http_body_util::Either;
use policy::prefix_hashes;
use policy::CallId;
use policy::CallRequest;
use policy::Generate;
use policy::Incarnation;
use policy::Resume;
use policy::Time;
use policy::Work;
use policy::BYTES_PER_TOKEN;
use tokio::sync::mpsc::channel;
use tokio::sync::mpsc::Receiver;

use crate::body::full_body;
use crate::clock;
use crate::delivered_tokens::DeliveredTokens;
use crate::event_body::DONE_EVENT;
use crate::fingerprint;
use crate::handler::require_method;
use crate::handler::ReadRequest;
use crate::handler::RequestBody;
use crate::request_hold::RequestHold;
use crate::CallHeaders;
use crate::CompletionApi;
use crate::CompletionRequest;
use crate::CompletionWriter;
use crate::EventBody;
use crate::EventId;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::GenerationTask;
use crate::Handler;
use crate::Problem;
use crate::Rejection;
use crate::ResponseBody;
use crate::Usage;

/// Number of tokens buffered for a slow caller before reading from its engine pauses.
const TOKEN_BUFFER_LEN: usize = 64;

/// How often the text of a whole answer is in memory at most: in a buffer that may have doubled, and as
/// JSON.
const TEXT_COPIES: u64 = 3;

const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

const MICROS_PER_SECOND: f64 = 1e6;
const MILLIS_PER_SECOND: u64 = 1_000;

impl Handler {
    /// Responds to a request for a completion or chat completion, as a stream or in one JSON body.
    pub(crate) async fn complete(
        &self,
        api: CompletionApi,
        head: Parts,
        body: RequestBody<'_>,
    ) -> Result<Response<ResponseBody>, Rejection> {
        let arrived_at = clock::now();
        require_method(&head, Method::POST, "POST")?;
        let headers = CallHeaders::parse(&head.headers)?;
        let ReadRequest { body, hold } = self.read_body(body).await?;
        let req = CompletionRequest::parse(api, &body)?;
        let resume_point = self.resume_point(&headers)?;
        if resume_point.as_ref().is_some_and(|id| id.last) {
            return Ok(event_stream_response(full_body(DONE_EVENT)));
        }
        let call = self.next_call_id();
        let stream = req.stream;
        let writer = writer(call, &req, arrived_at);
        let fingerprint = fingerprint::of(&head, &body);
        let (work, source) = work_and_source(req, resume_point);
        let req = headers.into_call(call, fingerprint, work);
        let rx = self.start_generation(req, source, stream, Arc::clone(&hold));
        let response = PendingResponse {
            rx,
            hold,
            writer,
            usage: Usage::default(),
        };
        Ok(response.respond(self, arrived_at, stream).await)
    }

    fn resume_point(&self, headers: &CallHeaders) -> Result<Option<EventId>, Rejection> {
        let Some(id) = &headers.last_event_id else {
            return Ok(None);
        };
        match self.event_ids.decode(id) {
            Ok(id) => Ok(Some(id)),
            Err(source) => Err(Rejection::EventId { source }),
        }
    }

    fn start_generation(
        &self,
        req: CallRequest,
        source: GenerationSource,
        resumable: bool,
        hold: Arc<RequestHold>,
    ) -> Receiver<GenerationItem> {
        self.metrics.on_call(source.kind());
        let (tx, rx) = channel(TOKEN_BUFFER_LEN);
        let call = req.call;
        let generation = GenerationTask {
            call,
            source,
            resumable,
            rx: self.node.submit(req),
            tx,
            node: self.node.clone(),
            engine: Arc::clone(&self.external_services.engine),
            event_ids: Arc::clone(&self.event_ids),
            metrics: Arc::clone(&self.metrics),
            tasks: self.tasks.clone(),
            hold,
        };
        self.tasks.spawn(generation.run());
        rx
    }
}

/// A response whose tokens are still being generated.
struct PendingResponse {
    rx: Receiver<GenerationItem>,
    hold: Arc<RequestHold>,
    writer: CompletionWriter,
    usage: Usage,
}

impl PendingResponse {
    async fn respond(
        mut self,
        handler: &Handler,
        arrived_at: Time,
        stream: bool,
    ) -> Response<ResponseBody> {
        let first = self.next().await;
        if let Some(GenerationItem::Token(_)) = first {
            let micros = clock::now().micros_since(arrived_at);
            handler
                .metrics
                .on_first_token(micros as f64 / MICROS_PER_SECOND);
        }
        match first {
            Some(first @ GenerationItem::Token(_)) if stream => {
                let body = EventBody::new(first, self.rx, self.writer);
                event_stream_response(Either::Right(Box::new(body)))
            }
            first => self.collect(first).await,
        }
    }

    /// Returns the next token or refusal, `None` if the generation's task ended without sending
    /// the last token or a refusal.
    async fn next(&mut self) -> Option<GenerationItem> {
        loop {
            match self.rx.recv().await {
                Some(GenerationItem::Started {
                    prompt_tokens,
                    cached_tokens,
                }) => {
                    self.usage.prompt_tokens = prompt_tokens;
                    self.usage.prompt_tokens_details.cached_tokens = cached_tokens;
                }
                item => return item,
            }
        }
    }

    async fn collect(mut self, first: Option<GenerationItem>) -> Response<ResponseBody> {
        let mut text = String::new();
        let mut item = first;
        loop {
            match item {
                Some(GenerationItem::Token(token)) => {
                    let bytes = TEXT_COPIES * token.text.len() as u64;
                    if !self.hold.try_grow_response(bytes) {
                        return Problem::no_memory().response();
                    }
                    text.push_str(&token.text);
                    self.usage.completion_tokens += 1;
                    if token.last {
                        return self.json_response(&text);
                    }
                }
                Some(GenerationItem::Refused(refusal)) => {
                    return Problem::from_refusal(&refusal, clock::now()).response();
                }
                Some(GenerationItem::NoMemory) => return Problem::no_memory().response(),
                Some(GenerationItem::Started { .. }) => {}
                None => return Problem::interrupted().response(),
            }
            item = self.next().await;
        }
    }

    fn json_response(mut self, text: &str) -> Response<ResponseBody> {
        self.usage.total_tokens = self.usage.prompt_tokens + self.usage.completion_tokens;
        let json = self.writer.response_json(text, self.usage);
        let mut res = Response::new(full_body(json));
        res.headers_mut().insert(CONTENT_TYPE, JSON);
        res
    }
}

fn event_stream_response(body: ResponseBody) -> Response<ResponseBody> {
    let mut res = Response::new(body);
    res.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    res.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    res
}

fn writer(call: CallId, req: &CompletionRequest, arrived_at: Time) -> CompletionWriter {
    let created = arrived_at.as_millis() / MILLIS_PER_SECOND;
    let id = format!("{}-{:x}-{:x}", req.api.id_prefix(), arrived_at.0, call.0);
    CompletionWriter::new(req.api, id, created, req.model.clone())
}

/// Returns the work that the node is to decide on, and the source that engines generate from.
pub(crate) fn work_and_source(
    req: CompletionRequest,
    resume_point: Option<EventId>,
) -> (Work, GenerationSource) {
    match resume_point {
        Some(id) => {
            let delivered = id.position.saturating_add(1);
            let work = Work::Resume(Resume {
                workspace: id.origin.workspace.clone(),
                server: id.origin.server.clone(),
                incarnation: Incarnation(id.origin.incarnation),
                delivered,
            });
            let origin = id.origin;
            (work, GenerationSource::Stream { origin, delivered })
        }
        None => {
            let prompt = req.prompt.as_bytes();
            let bytes = u64::try_from(prompt.len()).unwrap_or(u64::MAX);
            let work = Work::Generate(Generate {
                model: req.model.clone(),
                blocks: prefix_hashes(prompt),
                prompt_tokens: bytes.div_ceil(BYTES_PER_TOKEN),
                max_tokens: req.max_tokens,
            });
            let delivered = DeliveredTokens::default();
            (work, GenerationSource::Prompt { req, delivered })
        }
    }
}
