//! One attempt of a generation on an engine.

use std::sync::Arc;
use std::time::Duration;

use backend::Chunk;
use backend::Engine;
use backend::FetchFrom;
use backend::GenerateRequest;
use backend::Generation;
use backend::Started;
use futures::StreamExt;
use gateway::HeldFor;
use policy::BackendReport;
use policy::Dispatch;
use policy::Failure;
use policy::Incarnation;
use policy::TokenAction;
use policy::TokenSequencer;
use tokio::sync::mpsc::Sender;
use tokio::time::timeout;

use crate::delivered_tokens::DeliveredTokens;
use crate::failure;
use crate::request_hold::RequestHold;
use crate::CompletionRequest;
use crate::EventIdCodec;
use crate::GenerationItem;
use crate::GenerationSource;
use crate::Metrics;
use crate::NodeHandle;
use crate::SignedOrigin;
use crate::Token;

/// Time without a further token, after the first, after which an attempt fails as stalled.
const TOKEN_TIMEOUT: Duration = Duration::from_secs(5);

/// One attempt of a generation on an engine. Dropping it cancels the attempt, but the engine keeps
/// the stream for a while unless it is cancelled by its name.
pub struct EngineAttempt<'a> {
    /// The attempt that the node dispatched, with its engine.
    pub dispatch: Dispatch,
    /// Name of the stream, used unless an existing one is resumed.
    pub stream: &'a str,
    /// What to generate, and what the caller already has of it.
    pub source: &'a mut GenerationSource,
    /// Sends tokens to the caller's response.
    pub tx: &'a Sender<GenerationItem>,
    /// Handle of the node's actor.
    pub node: &'a NodeHandle,
    /// Client of the engines.
    pub engine: &'a dyn Engine,
    /// Encodes event ids.
    pub event_ids: &'a EventIdCodec,
    /// Metrics of the router.
    pub metrics: &'a Metrics,
    /// Memory of the request and its response.
    pub hold: &'a RequestHold,
}

impl EngineAttempt<'_> {
    /// Runs the attempt, relaying tokens up to the last one. Returns the number of tokens of the
    /// whole response, including those that the caller had before this attempt.
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
                let bytes = delivered.request_bytes();
                if !self.hold.try_grow(bytes, HeldFor::Request) {
                    return self.run_out_of_memory().await;
                }
                let req = self.request(req, delivered);
                let result = self.engine.generate(peer, req).await;
                self.hold.shrink(bytes, HeldFor::Request);
                result
            }
            GenerationSource::Stream { origin, delivered } => {
                self.engine
                    .resume(peer, &origin.stream, origin.incarnation, *delivered)
                    .await
            }
        };
        result.map_err(|e| self.log_failure(&e))
    }

    fn request(&self, req: &CompletionRequest, delivered: &DeliveredTokens) -> GenerateRequest {
        GenerateRequest {
            stream: self.stream.to_owned(),
            workspace: self.dispatch.workspace.clone(),
            model: req.model.clone(),
            weights_version: self.dispatch.weights_version,
            incarnation: self.dispatch.incarnation.0,
            prompt: req.prompt.clone(),
            max_tokens: req.max_tokens,
            priority: self.dispatch.rank,
            delivered: delivered.texts(),
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
        // `GenerationTask` detects a disconnected caller.
        let _ = self.tx.send(item).await;
    }

    async fn relay(
        &mut self,
        mut generation: Generation,
        origin: Arc<SignedOrigin>,
    ) -> Result<u32, Failure> {
        let mut sequencer = TokenSequencer::new(self.source.delivered());
        let mut first = true;
        while let Some(chunk) = self.next_chunk(&mut generation, first).await? {
            let chunk = chunk.map_err(|e| {
                self.log_failure(&e);
                Failure::Broken
            })?;
            match sequencer.on_token(chunk.position, chunk.last) {
                TokenAction::Forward => self.forward(chunk, &origin).await,
                TokenAction::Duplicate => {
                    self.metrics.on_relay_fault("duplicate");
                    continue;
                }
                TokenAction::Gap => {
                    self.metrics.on_relay_fault("gap");
                    return Err(Failure::Broken);
                }
                TokenAction::AfterEnd => return Ok(sequencer.delivered()),
            }
            if first {
                first = false;
                self.report(BackendReport::FirstToken);
            }
            if sequencer.ended() {
                return Ok(sequencer.delivered());
            }
        }
        Err(Failure::Broken)
    }

    /// Waits for the next token. The first one has no timeout here: the node cancels an attempt
    /// whose first token is overdue, if its server is unresponsive as well.
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
            // The caller has disconnected; `GenerationTask` detects this and drops the attempt.
            return std::future::pending().await;
        };
        let bytes = self.source.deliver_bytes(&chunk.text);
        if !self.hold.try_grow_response(bytes) {
            permit.send(GenerationItem::NoMemory);
            return std::future::pending().await;
        }
        self.source.deliver(&chunk.text);
        permit.send(GenerationItem::Token(Token {
            position: chunk.position,
            text: chunk.text,
            last: chunk.last,
            origin: Arc::clone(origin),
        }));
    }

    /// Tells the response that there is no memory for more tokens. `GenerationTask` drops the attempt once
    /// the response has ended.
    async fn run_out_of_memory<R>(&self) -> R {
        let _ = self.tx.send(GenerationItem::NoMemory).await;
        std::future::pending().await
    }

    /// Logs an error of the attempt and returns the failure to report to the node.
    fn log_failure(&self, error: &backend::Error) -> Failure {
        let at = self.dispatch.at;
        log::warn!(
            "event=attempt_failed call={} attempt={} server={} reason={:?}",
            at.call.0,
            at.attempt.0,
            self.dispatch.server_name,
            error.to_string()
        );
        failure::from_backend_error(error)
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
