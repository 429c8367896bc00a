//! Concurrent streams and what their callers measure.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use backend::Engine;
use backend::GenerateRequest;
use backend::HttpEngine;
use futures::StreamExt;
use standins::Caller;
use standins::CompletionRequest;
use standins::MODEL;
use standins::WORKSPACES;
use tokio::task::JoinSet;
use tokio::time::sleep;

/// Number of different prefixes that prompts share.
const SHARED_PREFIXES: usize = 20;

/// Size of a shared prefix, in bytes: two blocks.
const SHARED_PREFIX_BYTES: usize = 16_000;

/// Load of concurrent workers that start one after another.
#[derive(Clone, Copy)]
pub struct Load {
    /// Number of workers; each has one stream at a time.
    pub streams: usize,
    /// Number of tokens of each stream.
    pub tokens: u32,
    /// Number of streams that each worker reads, one after another.
    pub rounds: u32,
    /// Time over which the starts of the workers are spread evenly.
    pub ramp: Duration,
}

/// Server that streams are requested from.
#[derive(Clone)]
pub enum Target {
    /// Server with the engine protocol: an engine or a relay to one.
    Engine(HttpEngine, SocketAddr),
    /// A router.
    Router(Caller),
}

/// Times to first token and number of tokens of a set of streams.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    first_tokens: Vec<Duration>,
    tokens: u64,
}

impl Load {
    /// Runs all streams against a target and returns the measurements.
    pub async fn run(&self, target: &Target) -> io::Result<Measurements> {
        let mut workers = JoinSet::new();
        for worker in 0..self.streams {
            workers.spawn(run_worker(*self, worker, target.clone()));
        }
        let mut measured = Measurements::default();
        while let Some(worker) = workers.join_next().await {
            measured.merge(worker.map_err(io::Error::other)??);
        }
        Ok(measured)
    }
}

/// Runs the streams of one worker, after its share of the ramp.
async fn run_worker(load: Load, worker: usize, target: Target) -> io::Result<Measurements> {
    let mut measured = Measurements::default();
    sleep(load.ramp.mul_f64(worker as f64 / load.streams as f64)).await;
    for round in 0..load.rounds {
        let prompt = prompt(worker, round);
        match &target {
            Target::Engine(engines, address) => {
                let name = format!("{worker}-{round}");
                let req = generate_request(name, prompt, load.tokens);
                stream_from_engine(engines, *address, req, &mut measured).await?;
            }
            Target::Router(caller) => {
                let completion = CompletionRequest {
                    model: MODEL.to_owned(),
                    prompt,
                    max_tokens: load.tokens,
                    ..CompletionRequest::default()
                };
                stream_from_router(caller, &completion, &mut measured).await?;
            }
        }
    }
    Ok(measured)
}

/// Reads one stream over the engine protocol.
async fn stream_from_engine(
    engines: &HttpEngine,
    address: SocketAddr,
    req: GenerateRequest,
    measured: &mut Measurements,
) -> io::Result<()> {
    let start = Instant::now();
    let generation = engines.generate(address, req).await;
    let mut chunks = generation.map_err(io::Error::other)?.chunks;
    let mut tokens = 0;
    while let Some(chunk) = chunks.next().await {
        chunk.map_err(io::Error::other)?;
        measured.record_token(start, tokens);
        tokens += 1;
    }
    Ok(())
}

/// Reads one stream from a router.
async fn stream_from_router(
    caller: &Caller,
    completion: &CompletionRequest,
    measured: &mut Measurements,
) -> io::Result<()> {
    let start = Instant::now();
    let events = caller.complete(completion).await;
    let mut events = events.map_err(io::Error::other)?;
    let mut tokens = 0;
    while let Some(event) = events.next().await {
        event.map_err(io::Error::other)?;
        measured.record_token(start, tokens);
        tokens += 1;
    }
    Ok(())
}

fn generate_request(stream: String, prompt: String, max_tokens: u32) -> GenerateRequest {
    GenerateRequest {
        stream,
        workspace: WORKSPACES[0].to_owned(),
        model: MODEL.to_owned(),
        weights_version: 1,
        incarnation: 0,
        prompt,
        max_tokens,
        priority: 0,
        delivered: Vec::new(),
        fetch_from: None,
    }
}

/// Returns a prompt that shares its prefix with those of other workers and ends in a unique
/// question.
fn prompt(worker: usize, round: u32) -> String {
    let shared = format!("criteria {:03} ", worker % SHARED_PREFIXES);
    let shared = shared.repeat(SHARED_PREFIX_BYTES / shared.len() + 1);
    format!("{shared} question {worker} {round}")
}

impl Measurements {
    /// Adds the measurements of another set of streams.
    pub fn merge(&mut self, other: Measurements) {
        self.first_tokens.extend(other.first_tokens);
        self.tokens += other.tokens;
    }

    /// Returns the number of streams that received a token.
    pub fn streams(&self) -> usize {
        self.first_tokens.len()
    }

    /// Returns the number of tokens of all streams.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns a percentile of the time to first token, or zero without any stream.
    pub fn first_token_percentile(&self, percent: usize) -> Duration {
        let mut times = self.first_tokens.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times.get(rank - 1).copied().unwrap_or_default()
    }

    /// Records a token of a stream that started at `start` and had `earlier_tokens` before.
    fn record_token(&mut self, start: Instant, earlier_tokens: u64) {
        if earlier_tokens == 0 {
            self.first_tokens.push(start.elapsed());
        }
        self.tokens += 1;
    }
}
