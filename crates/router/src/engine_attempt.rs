//! One attempt of a generation at an engine.

use std::sync::Arc;
use std::time::Duration;

use backend::Chunk;
use backend::Engine;
use backend::FetchFrom;
use backend::GenerateRequest;
use backend::Generation;
use backend::Started;
use futures::StreamExt;
use policy::BackendReport;
use policy::Dispatch;
use policy::Failure;
use policy::Incarnation;
use policy::TokenAction;
use policy::TokenSequencer;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::failure;
use crate::CompletionRequest;
use crate::EventIds;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Metrics;
use crate::NodeHandle;
use crate::SignedOrigin;
use crate::Token;

/// Time after which an engine that sends no further token is taken to have stalled.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// One attempt of a generation at an engine; dropping it cancels it.
pub struct EngineAttempt<'a> {
    /// What the node asked for.
    pub dispatch: Dispatch,
    /// Name of the stream, if it is a new one.
    pub stream: &'a str,
    /// What is generated.
    pub source: &'a mut GenerationSource,
    /// Way to the caller's side.
    pub tx: &'a Sender<GenerationItem>,
    /// Way to the node.
    pub node: &'a NodeHandle,
    /// Way to engines.
    pub engine: &'a dyn Engine,
    /// Maker of event ids.
    pub event_ids: &'a EventIds,
    /// Counters.
    pub metrics: &'a Metrics,
}

impl EngineAttempt<'_> {
    /// Relays tokens until the last one and returns their number.
    pub async fn run(mut self) -> Result<u32, Failure> {
        let generation = self.start().await?;
        let started = generation.started;
        let origin = self
            .source
            .origin(&self.dispatch, started.incarnation, self.stream);
        self.on_started(started).await;
        let origin = Arc::new(self.event_ids.sign(&origin));
        self.relay(generation, origin).await
    }

    async fn start(&self) -> Result<Generation, Failure> {
        let peer = self.dispatch.address;
        let result = match &*self.source {
            GenerationSource::Prompt { req, delivered } => {
                let req = self.request(req, delivered);
                self.engine.generate(peer, req).await
            }
            GenerationSource::Stream { origin, delivered } => {
                self.engine
                    .resume(peer, &origin.stream, origin.incarnation, *delivered)
                    .await
            }
        };
        result.map_err(|e| self.failed(&e))
    }

    fn request(&self, req: &CompletionRequest, delivered: &[String]) -> GenerateRequest {
        GenerateRequest {
            stream: self.stream.to_owned(),
            workspace: self.dispatch.workspace.clone(),
            model: req.model.clone(),
            weights_version: self.dispatch.weights_version,
            incarnation: self.dispatch.incarnation.0,
            prompt: req.prompt.clone(),
            max_tokens: req.max_tokens,
            priority: self.dispatch.rank,
            delivered: delivered.to_vec(),
            fetch_from: self.dispatch.fetch_from.map(fetch_from),
        }
    }

    async fn on_started(&self, started: Started) {
        self.metrics
            .on_started(started.prompt_tokens, started.cached_tokens);
        self.report(BackendReport::Started {
            incarnation: Incarnation(started.incarnation),
            cached_tokens: started.cached_tokens,
        });
        let item = GenerationItem::Started {
            prompt_tokens: started.prompt_tokens,
            cached_tokens: started.cached_tokens,
        };
        // A caller that has gone away is noticed by the task.
        let _ = self.tx.send(item).await;
    }

    async fn relay(
        &mut self,
        mut generation: Generation,
        origin: Arc<SignedOrigin>,
    ) -> Result<u32, Failure> {
        let mut relay = TokenSequencer::new(self.source.delivered());
        let mut first = true;
        while let Some(chunk) = self.next_chunk(&mut generation, first).await? {
            let chunk = chunk.map_err(|e| {
                self.failed(&e);
                Failure::Broken
            })?;
            match relay.on_token(chunk.position, chunk.last) {
                TokenAction::Forward => self.forward(chunk, &origin).await,
                TokenAction::Duplicate => {
                    self.metrics.on_relay_fault("duplicate");
                    continue;
                }
                TokenAction::Gap => {
                    self.metrics.on_relay_fault("gap");
                    return Err(Failure::Broken);
                }
                TokenAction::AfterEnd => return Ok(relay.delivered()),
            }
            if first {
                first = false;
                self.report(BackendReport::FirstToken);
            }
            if relay.ended() {
                return Ok(relay.delivered());
            }
        }
        Err(Failure::Broken)
    }

    /// Waits for the next token; the node watches over the first one.
    async fn next_chunk(
        &self,
        generation: &mut Generation,
        first: bool,
    ) -> Result<Option<backend::Result<Chunk>>, Failure> {
        let next = generation.chunks.next();
        if first {
            return Ok(next.await);
        }
        timeout(TOKEN_TIMEOUT, next)
            .await
            .map_err(|_| Failure::Stalled)
    }

    async fn forward(&mut self, chunk: Chunk, origin: &Arc<SignedOrigin>) {
        let Ok(permit) = self.tx.reserve().await else {
            // The caller has gone away, which the task notices.
            return std::future::pending().await;
        };
        self.source.deliver(&chunk.text);
        permit.send(GenerationItem::Token(Token {
            position: chunk.position,
            text: chunk.text,
            last: chunk.last,
            origin: Arc::clone(origin),
        }));
    }

    fn failed(&self, error: &backend::Error) -> Failure {
        let at = self.dispatch.at;
        log::warn!(
            "event=attempt_failed call={} attempt={} server={} reason={:?}",
            at.call.0,
            at.attempt.0,
            self.dispatch.server_name,
            error.to_string()
        );
        failure::of_backend(error)
    }

    fn report(&self, report: BackendReport) {
        let at = self.dispatch.at;
        self.node.report(at.call, at.attempt, report);
    }
}

fn fetch_from(from: policy::FetchFrom) -> FetchFrom {
    FetchFrom {
        address: from.address,
        incarnation: from.incarnation.0,
    }
}
