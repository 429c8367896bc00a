//! Streams that run side by side, and what callers measure of them.

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

/// Prompts that streams share.
const SHARED_PREFIXES: usize = 20;

/// Bytes of the part that prompts have in common with others, two pieces.
const SHARED_PREFIX_BYTES: usize = 16_000;

/// Streams that run side by side, each begun a little after the one before.
#[derive(Clone, Copy)]
pub struct Load {
    /// Streams at once.
    pub streams: usize,
    /// Tokens of each stream.
    pub tokens: u32,
    /// Streams that follow each other in each of the places.
    pub rounds: u32,
    /// Time over which the first streams of all places begin.
    pub ramp: Duration,
}

/// Where streams come from.
#[derive(Clone)]
pub enum Target {
    /// What speaks the engines' protocol.
    Engine(HttpEngine, SocketAddr),
    /// A router.
    Router(Caller),
}

/// What callers measured.
#[derive(Clone, Debug, Default)]
pub struct Measurements {
    first_tokens: Vec<Duration>,
    tokens: u64,
}

impl Load {
    /// Runs all streams.
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

fn prompt(worker: usize, round: u32) -> String {
    let shared = format!("criteria {:03} ", worker % SHARED_PREFIXES);
    let shared = shared.repeat(SHARED_PREFIX_BYTES / shared.len() + 1);
    format!("{shared} question {worker} {round}")
}

impl Measurements {
    /// Adds what was measured in another run.
    pub fn merge(&mut self, other: Measurements) {
        self.first_tokens.extend(other.first_tokens);
        self.tokens += other.tokens;
    }

    /// Returns the number of streams.
    pub fn streams(&self) -> usize {
        self.first_tokens.len()
    }

    /// Returns the number of tokens.
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Returns the time to first token that `percent` of the streams stayed within.
    pub fn first_token_percentile(&self, percent: usize) -> Duration {
        let mut times = self.first_tokens.clone();
        times.sort_unstable();
        let rank = (times.len() * percent).div_ceil(100).max(1);
        times.get(rank - 1).copied().unwrap_or_default()
    }

    fn record_token(&mut self, start: Instant, earlier_tokens: u64) {
        if earlier_tokens == 0 {
            self.first_tokens.push(start.elapsed());
        }
        self.tokens += 1;
    }
}
