//! A small stand-in engine on virtual time: one prefill at a time, by rank.

use std::collections::BTreeMap;

use policy::BlockKey;
use policy::CacheChange;

use crate::bench::cache::Cache;
use crate::bench::setup::OVERHEAD_US;

/// An attempt at an engine.
#[derive(Clone, Debug)]
pub struct Job {
    /// Index of the request.
    pub request: usize,
    /// Attempt of it.
    pub attempt: u32,
    /// Router that sent it.
    pub router: usize,
    /// Start of that router, to which reports go.
    pub router_start: u64,
    /// Keys of the prompt's whole pieces.
    pub blocks: Vec<BlockKey>,
    /// Tokens of the whole prompt.
    pub prompt_tokens: u64,
    /// Tokens to generate.
    pub output_tokens: u64,
    /// Rank of the priority class.
    pub rank: u8,
    /// Pieces that were fetched for it.
    pub fetched: usize,
    /// Whether its first token was sent.
    pub decoding: bool,
}

/// A prefill in progress.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// What is computed.
    pub job: Job,
    /// First pieces that were in the cache.
    pub cached: usize,
    /// End, in microseconds.
    pub ends_us: u64,
}

/// A stand-in engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Incarnation, which grows with each crash.
    pub incarnation: u64,
    /// Whether it runs.
    pub up: bool,
    /// What it holds.
    pub cache: Cache,
    /// Changes of the cache that were not published yet.
    pub changes: Vec<CacheChange>,
    /// Sequence number of the first of them.
    pub sequence: u64,
    /// Generations that run, by request and attempt.
    pub decoding: BTreeMap<(usize, u32), Job>,
    /// Time at which its link to other engines is free, in microseconds.
    pub link_free_us: u64,
    /// Time spent on prefill, in microseconds.
    pub busy_us: u64,
    queue: BTreeMap<(u8, u64), Job>,
    arrivals: u64,
    prefill: Option<Prefill>,
    capacity: usize,
    us_per_token: f64,
}

impl Engine {
    /// Creates an engine with an empty cache.
    pub fn new(capacity: usize, us_per_token: f64) -> Engine {
        Engine {
            incarnation: 1,
            up: true,
            cache: Cache::new(capacity),
            changes: Vec::new(),
            sequence: 1,
            decoding: BTreeMap::new(),
            link_free_us: 0,
            busy_us: 0,
            queue: BTreeMap::new(),
            arrivals: 0,
            prefill: None,
            capacity,
            us_per_token,
        }
    }

    /// Adds an attempt to the queue.
    pub fn enqueue(&mut self, job: Job) {
        self.arrivals += 1;
        self.queue.insert((u8::MAX - job.rank, self.arrivals), job);
    }

    /// Takes an attempt out of the queue if it has not begun.
    pub fn cancel(&mut self, request: usize, attempt: u32) {
        self.queue
            .retain(|_, job| (job.request, job.attempt) != (request, attempt));
    }

    /// Begins the next prefill if none is in progress.
    pub fn begin(&mut self, now_us: u64) -> Option<&Prefill> {
        if self.prefill.is_some() {
            return None;
        }
        let (_, job) = self.queue.pop_first()?;
        let cached = self.cache.prefix(&job.blocks);
        for piece in &job.blocks[..cached] {
            self.cache.touch(*piece, &mut self.changes);
        }
        let work_us = self.work_us(job.prompt_tokens, cached);
        self.busy_us += work_us;
        let ends_us = now_us + work_us;
        self.prefill = Some(Prefill {
            job,
            cached,
            ends_us,
        });
        self.prefill.as_ref()
    }

    /// Ends the prefill in progress.
    pub fn finish(&mut self) -> Option<Prefill> {
        let prefill = self.prefill.take()?;
        for piece in &prefill.job.blocks {
            self.cache.touch(*piece, &mut self.changes);
        }
        let tail = BlockKey(u64::MAX - prefill.job.request as u64);
        self.cache.touch(tail, &mut self.changes);
        let mut job = prefill.job.clone();
        job.decoding = true;
        self.decoding.insert((job.request, job.attempt), job);
        Some(prefill)
    }

    /// Loses everything; returns the attempts that break.
    pub fn crash(&mut self) -> Vec<Job> {
        let queue = std::mem::take(&mut self.queue);
        let mut broken: Vec<Job> = queue.into_values().collect();
        broken.extend(self.prefill.take().map(|p| p.job));
        self.cache = Cache::new(self.capacity);
        self.changes.clear();
        self.sequence = 1;
        broken.extend(std::mem::take(&mut self.decoding).into_values());
        self.up = false;
        self.incarnation += 1;
        broken
    }

    /// Returns the prompt tokens that wait for computation.
    pub fn queued_tokens(&self, now_us: u64) -> u64 {
        (self.wait_us(now_us, 0) as f64 / self.us_per_token) as u64
    }

    /// Returns how long a request of this rank would wait, in microseconds.
    pub fn wait_us(&self, now_us: u64, rank: u8) -> u64 {
        let current = self.prefill.as_ref().map_or(0, |p| p.ends_us - now_us);
        let mut coming: Vec<BlockKey> = Vec::new();
        if let Some(prefill) = &self.prefill {
            coming.extend(&prefill.job.blocks);
        }
        let mut wait = current;
        for ((inverse, _), job) in &self.queue {
            if u8::MAX - inverse < rank {
                break;
            }
            let cached = self.prefix_with(&job.blocks, &coming);
            wait += self.work_us(job.prompt_tokens, cached);
            coming.extend(&job.blocks[cached..]);
        }
        wait
    }

    /// Returns how many first pieces will be held once the queue is done.
    pub fn coming_prefix(&self, blocks: &[BlockKey]) -> usize {
        let mut coming: Vec<BlockKey> = Vec::new();
        if let Some(prefill) = &self.prefill {
            coming.extend(&prefill.job.blocks);
        }
        for job in self.queue.values() {
            coming.extend(&job.blocks);
        }
        self.prefix_with(blocks, &coming)
    }

    /// Tells whether a piece is held or being computed.
    pub fn has_or_computes(&self, piece: BlockKey) -> bool {
        let computes = self
            .prefill
            .as_ref()
            .is_some_and(|p| p.job.blocks.contains(&piece));
        self.up && (computes || self.cache.holds(piece))
    }

    fn prefix_with(&self, blocks: &[BlockKey], coming: &[BlockKey]) -> usize {
        blocks
            .iter()
            .take_while(|p| self.cache.holds(**p) || coming.contains(p))
            .count()
    }

    fn work_us(&self, prompt_tokens: u64, cached: usize) -> u64 {
        let tokens = prompt_tokens - cached as u64 * policy::BLOCK_TOKENS;
        OVERHEAD_US + (tokens as f64 * self.us_per_token) as u64
    }
}
