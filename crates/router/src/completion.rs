//! Answers completions and chat completions.

use std::sync::Arc;

use gateway::whole;
use http::header::CACHE_CONTROL;
use http::header::CONTENT_TYPE;
use http::request::Parts;
use http::HeaderValue;
use http::Method;
use http::Response;
use http_body_util::Either;
use hyper::body::Incoming;
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

use crate::clock;
use crate::event_body::DONE;
use crate::fingerprint;
use crate::handler::allow;
use crate::AnswerBody;
use crate::CallHeaders;
use crate::CompletionRequest;
use crate::CompletionWriter;
use crate::EventBody;
use crate::EventId;
use crate::Generation;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Handler;
use crate::Problem;
use crate::Rejection;
use crate::Shape;
use crate::Usage;

/// Tokens that wait for a slow caller before its engine is held back.
const TOKENS_AHEAD: usize = 64;

const EVENT_STREAM: HeaderValue = HeaderValue::from_static("text/event-stream");
const JSON: HeaderValue = HeaderValue::from_static("application/json");
const NO_CACHE: HeaderValue = HeaderValue::from_static("no-cache");

const MICROS_PER_SECOND: f64 = 1e6;
const MILLIS_PER_SECOND: u64 = 1_000;

impl Handler {
    /// Answers a completion or chat completion.
    pub(crate) async fn complete(
        &self,
        shape: Shape,
        head: Parts,
        body: Incoming,
    ) -> Result<Response<AnswerBody>, Rejection> {
        let arrival = clock::now();
        allow(&head, Method::POST, "POST")?;
        let headers = CallHeaders::parse(&head.headers)?;
        let body = self.read_body(body).await?;
        let req = CompletionRequest::parse(shape, &body)?;
        let resumed = self.resumed(&headers)?;
        if resumed.as_ref().is_some_and(|id| id.last) {
            return Ok(events(whole(DONE)));
        }
        let call = self.next_call();
        let stream = req.stream;
        let writer = writer(call, &req, arrival);
        let fingerprint = fingerprint::of(&head, &body);
        let (work, source) = work_and_source(req, resumed);
        let req = headers.into_call(call, fingerprint, work);
        let rx = self.generate(req, source, stream);
        let answer = Answer {
            rx,
            writer,
            usage: Usage::default(),
        };
        Ok(answer.respond(self, arrival, stream).await)
    }

    fn resumed(&self, headers: &CallHeaders) -> Result<Option<EventId>, Rejection> {
        let Some(id) = &headers.last_event_id else {
            return Ok(None);
        };
        match self.event_ids.open(id) {
            Ok(id) => Ok(Some(id)),
            Err(source) => Err(Rejection::EventId { source }),
        }
    }

    fn generate(
        &self,
        req: CallRequest,
        source: GenerationSource,
        resumable: bool,
    ) -> Receiver<GenerationItem> {
        self.metrics.on_call(source.kind());
        let (tx, rx) = channel(TOKENS_AHEAD);
        let call = req.call;
        let generation = Generation {
            call,
            source,
            resumable,
            rx: self.node.call(req),
            tx,
            node: self.node.clone(),
            engine: Arc::clone(&self.outside.engine),
            event_ids: Arc::clone(&self.event_ids),
            metrics: Arc::clone(&self.metrics),
            tasks: self.tasks.clone(),
        };
        self.tasks.spawn(generation.run());
        rx
    }
}

/// A generation that is being answered.
struct Answer {
    rx: Receiver<GenerationItem>,
    writer: CompletionWriter,
    usage: Usage,
}

impl Answer {
    async fn respond(
        mut self,
        handler: &Handler,
        arrival: Time,
        stream: bool,
    ) -> Response<AnswerBody> {
        let first = self.next().await;
        if let Some(GenerationItem::Token(_)) = first {
            let micros = clock::now().micros_since(arrival);
            handler
                .metrics
                .on_first_token(micros as f64 / MICROS_PER_SECOND);
        }
        match first {
            Some(first @ GenerationItem::Token(_)) if stream => {
                let body = EventBody::new(first, self.rx, self.writer);
                events(Either::Right(Box::new(body)))
            }
            first => self.collect(first).await,
        }
    }

    /// Returns the next token or refusal.
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

    async fn collect(mut self, first: Option<GenerationItem>) -> Response<AnswerBody> {
        let mut text = String::new();
        let mut item = first;
        loop {
            match item {
                Some(GenerationItem::Token(token)) => {
                    text.push_str(&token.text);
                    self.usage.completion_tokens += 1;
                    if token.last {
                        return self.whole(&text);
                    }
                }
                Some(GenerationItem::Refused(refusal)) => {
                    return Problem::of_refusal(&refusal, clock::now()).response();
                }
                Some(GenerationItem::Started { .. }) => {}
                None => return Problem::interrupted().response(),
            }
            item = self.next().await;
        }
    }

    fn whole(mut self, text: &str) -> Response<AnswerBody> {
        self.usage.total_tokens = self.usage.prompt_tokens + self.usage.completion_tokens;
        let json = self.writer.whole(text, self.usage);
        let mut res = Response::new(whole(json));
        res.headers_mut().insert(CONTENT_TYPE, JSON);
        res
    }
}

fn events(body: AnswerBody) -> Response<AnswerBody> {
    let mut res = Response::new(body);
    res.headers_mut().insert(CONTENT_TYPE, EVENT_STREAM);
    res.headers_mut().insert(CACHE_CONTROL, NO_CACHE);
    res
}

fn writer(call: CallId, req: &CompletionRequest, arrival: Time) -> CompletionWriter {
    let created = arrival.as_millis() / MILLIS_PER_SECOND;
    let id = format!("{}-{:x}-{:x}", req.shape.id_prefix(), arrival.0, call.0);
    CompletionWriter::new(req.shape, id, created, req.model.clone())
}

/// Returns what a request asks of the node, and what is generated for it.
pub(crate) fn work_and_source(
    req: CompletionRequest,
    resumed: Option<EventId>,
) -> (Work, GenerationSource) {
    match resumed {
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
            let delivered = Vec::new();
            (work, GenerationSource::Prompt { req, delivered })
        }
    }
}
