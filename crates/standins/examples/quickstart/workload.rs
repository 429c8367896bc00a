//! Completion requests whose prompts share nested prefixes.

use std::error::Error;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use backend::Engine;
use backend::GenerateRequest;
use backend::HttpEngine;
use futures::StreamExt;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::Caller;
use standins::CallerError;
use standins::CompletionRequest;
use standins::PromptHash;
use standins::WORKSPACES;
use tokio::task::JoinSet;

use crate::figures::Figures;

/// Number of workers; each has one request in flight at a time.
const WORKERS: usize = 24;

/// Number of requests that each worker sends, one after another.
const REQUESTS_PER_WORKER: usize = 16;

/// Number of pattern books, the outer level of shared prefixes.
const BOOKS: usize = 16;

/// Number of chapters per book, the inner level of shared prefixes.
const CHAPTERS: usize = 3;

/// Size of the text of a book, in bytes: two blocks.
const BOOK_BYTES: usize = 16_000;

/// Size of the text of a chapter, in bytes: one block.
const CHAPTER_BYTES: usize = 8_000;

/// Number of tokens of each completion.
const TOKENS: u32 = 12;

/// Seed of the random choice of books and chapters.
const SEED: u64 = 7;

/// Prompts of all requests and the model that serves them.
pub struct Workload {
    model: String,
    prompts: Vec<Arc<str>>,
}

/// How requests reach engines.
#[derive(Clone)]
pub enum Route {
    /// Through routers, selected round-robin.
    Routers(Vec<Caller>),
    /// Directly, each to a random engine.
    Random(HttpEngine, Vec<SocketAddr>),
}

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// Request with its index in the workload.
struct NumberedRequest {
    number: usize,
    model: String,
    prompt: Arc<str>,
}

impl Route {
    /// Returns the route to random engines at these addresses.
    pub fn random(engines: Vec<SocketAddr>) -> Route {
        Route::Random(HttpEngine::new(), engines)
    }
}

impl Workload {
    /// Generates the prompts; they are the same in each run.
    pub fn new(model: &str) -> Workload {
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let prompts = (0..WORKERS * REQUESTS_PER_WORKER).map(|number| prompt(&mut rng, number));
        Workload {
            model: model.to_owned(),
            prompts: prompts.collect(),
        }
    }

    /// Returns the number of requests.
    pub fn requests(&self) -> usize {
        self.prompts.len()
    }

    /// Sends all requests from concurrent workers and returns the measurements.
    pub async fn run(&self, route: &Route) -> Result<Figures> {
        let mut workers = JoinSet::new();
        for worker in 0..WORKERS {
            let requests = self.requests_of_worker(worker);
            workers.spawn(run_worker(route.clone(), requests));
        }
        let mut figures = Figures::default();
        while let Some(worker) = workers.join_next().await {
            figures.add(worker??);
        }
        Ok(figures)
    }

    /// Returns every `WORKERS`-th request, starting with the one at index `worker`.
    fn requests_of_worker(&self, worker: usize) -> Vec<NumberedRequest> {
        let prompts = self.prompts.iter().enumerate();
        let prompts = prompts.skip(worker).step_by(WORKERS);
        let numbered = prompts.map(|(number, prompt)| NumberedRequest {
            number,
            model: self.model.clone(),
            prompt: Arc::clone(prompt),
        });
        numbered.collect()
    }
}

/// Returns a prompt of a random book and chapter; books with higher numbers are rarer.
fn prompt(rng: &mut ChaCha8Rng, number: usize) -> Arc<str> {
    let popularity: f64 = rng.random();
    let book = (popularity * popularity * BOOKS as f64) as usize;
    let chapter = rng.random_range(0..CHAPTERS);
    let book_text = repeat_to_length(&format!("book {book}, "), BOOK_BYTES);
    let chapter_text = repeat_to_length(&format!("chapter {chapter}, "), CHAPTER_BYTES);
    Arc::from(format!("{book_text}{chapter_text}question {number}"))
}

/// Repeats `text` up to a length of `bytes`.
fn repeat_to_length(text: &str, bytes: usize) -> String {
    text.chars().cycle().take(bytes).collect()
}

/// Sends the requests of one worker, one after another.
async fn run_worker(route: Route, requests: Vec<NumberedRequest>) -> Result<Figures> {
    let mut figures = Figures::default();
    for request in requests {
        match &route {
            Route::Routers(callers) => {
                let caller = &callers[request.number % callers.len()];
                run_through_router(caller, request, &mut figures).await?;
            }
            Route::Random(adapter, engines) => {
                let mut rng = ChaCha8Rng::seed_from_u64(request.number as u64);
                let engine = engines[rng.random_range(0..engines.len())];
                run_on_engine(adapter, engine, request, &mut figures).await?;
            }
        }
    }
    Ok(figures)
}

/// Sends a request to a router; a refusal counts as an outcome.
async fn run_through_router(
    caller: &Caller,
    req: NumberedRequest,
    figures: &mut Figures,
) -> Result<()> {
    let start = Instant::now();
    let expected = PromptHash::new(&req.prompt).text(TOKENS);
    let completion = CompletionRequest {
        model: req.model,
        prompt: req.prompt.to_string(),
        max_tokens: TOKENS,
        ..CompletionRequest::default()
    };
    let mut events = match caller.complete(&completion).await {
        Ok(events) => events,
        Err(CallerError::Refused { reason, .. }) => {
            figures.add_outcome(&reason);
            return Ok(());
        }
        Err(e) => return Err(e.into()),
    };
    let mut first_token = None;
    let mut text = String::new();
    while let Some(event) = events.next().await {
        first_token.get_or_insert_with(|| start.elapsed());
        text.push_str(&event?.text);
    }
    add_result(figures, first_token, text == expected);
    Ok(())
}

/// Sends a request directly to an engine.
async fn run_on_engine(
    adapter: &HttpEngine,
    engine: SocketAddr,
    req: NumberedRequest,
    figures: &mut Figures,
) -> Result<()> {
    let start = Instant::now();
    let expected = PromptHash::new(&req.prompt).text(TOKENS);
    let req = GenerateRequest {
        stream: req.number.to_string(),
        workspace: WORKSPACES[0].to_owned(),
        model: req.model,
        weights_version: 1,
        incarnation: 0,
        prompt: req.prompt.to_string(),
        max_tokens: TOKENS,
        priority: 0,
        delivered: Vec::new(),
        fetch_from: None,
    };
    let mut chunks = adapter.generate(engine, req).await?.chunks;
    let mut first_token = None;
    let mut text = String::new();
    while let Some(chunk) = chunks.next().await {
        first_token.get_or_insert_with(|| start.elapsed());
        text.push_str(&chunk?.text);
    }
    add_result(figures, first_token, text == expected);
    Ok(())
}

/// Records a finished stream; one without a first token has the outcome `empty`.
fn add_result(figures: &mut Figures, first_token: Option<Duration>, is_correct: bool) {
    match first_token {
        Some(first_token) => figures.add_stream(first_token, is_correct),
        None => figures.add_outcome("empty"),
    }
}
