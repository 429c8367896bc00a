//! Requests whose prompts share prefixes nested in levels.

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

/// Requests at once.
const WORKERS: usize = 24;

/// Requests that follow each other in each of the places.
const REQUESTS_PER_WORKER: usize = 16;

/// Pattern books, the outer level of shared prefixes.
const BOOKS: usize = 16;

/// Chapters of a book, the inner level.
const CHAPTERS: usize = 3;

/// Bytes of a book's text, two pieces.
const BOOK_BYTES: usize = 16_000;

/// Bytes of a chapter's text, one piece.
const CHAPTER_BYTES: usize = 8_000;

/// Tokens of each answer.
const TOKENS: u32 = 12;

/// Seed of the requests.
const SEED: u64 = 7;

/// Requests whose prompts share prefixes.
pub struct Workload {
    model: String,
    prompts: Vec<Arc<str>>,
}

/// Which way requests take.
#[derive(Clone)]
pub enum Route {
    /// Through routers, in turn.
    Routers(Vec<Caller>),
    /// Straight to engines, at random.
    Random(HttpEngine, Vec<SocketAddr>),
}

type Result<T> = std::result::Result<T, Box<dyn Error + Send + Sync>>;

/// One request with its number.
struct NumberedRequest {
    number: usize,
    model: String,
    prompt: Arc<str>,
}

impl Route {
    /// Returns the way straight to engines, at random.
    pub fn random(engines: Vec<SocketAddr>) -> Route {
        Route::Random(HttpEngine::new(), engines)
    }
}

impl Workload {
    /// Draws the requests.
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

    /// Sends all requests, some at a time.
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

/// Returns a prompt; books are the rarer the higher their number.
fn prompt(rng: &mut ChaCha8Rng, number: usize) -> Arc<str> {
    let popularity: f64 = rng.random();
    let book = (popularity * popularity * BOOKS as f64) as usize;
    let chapter = rng.random_range(0..CHAPTERS);
    let book_text = repeat_to_length(&format!("book {book}, "), BOOK_BYTES);
    let chapter_text = repeat_to_length(&format!("chapter {chapter}, "), CHAPTER_BYTES);
    Arc::from(format!("{book_text}{chapter_text}question {number}"))
}

fn repeat_to_length(text: &str, bytes: usize) -> String {
    text.chars().cycle().take(bytes).collect()
}

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

fn add_result(figures: &mut Figures, first_token: Option<Duration>, is_correct: bool) {
    match first_token {
        Some(first_token) => figures.add_stream(first_token, is_correct),
        None => figures.add_outcome("empty"),
    }
}
