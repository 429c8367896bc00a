//! Simulated engine: one prefill at a time, by priority rank.

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
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the router that dispatched it.
    pub router: usize,
    /// Incarnation of that router; reports to another one are dropped.
    pub router_incarnation: u64,
    /// Keys of the prompt's complete blocks.
    pub blocks: Vec<BlockKey>,
    /// Number of tokens of the prompt.
    pub prompt_tokens: u64,
    /// Number of tokens to generate.
    pub output_tokens: u64,
    /// Rank of the priority class; higher ranks go first.
    pub rank: u8,
    /// Number of blocks fetched from another engine for it.
    pub fetched: usize,
    /// Whether the first token was generated.
    pub decoding: bool,
}

/// A prefill in progress.
#[derive(Clone, Debug)]
pub struct Prefill {
    /// The attempt.
    pub job: Job,
    /// Number of leading blocks that were cached.
    pub cached: usize,
    /// End of the prefill, in microseconds.
    pub ends_us: u64,
}

/// A simulated engine.
#[derive(Clone, Debug)]
pub struct Engine {
    /// Incarnation, which grows with each crash.
    pub incarnation: u64,
    /// Whether the engine runs.
    pub up: bool,
    /// Cached blocks.
    pub cache: Cache,
    /// Changes of the cache that are not yet published.
    pub changes: Vec<CacheChange>,
    /// Sequence number of the first of these changes.
    pub sequence: u64,
    /// Attempts that generate tokens, by request and attempt.
    pub decoding: BTreeMap<(usize, u32), Job>,
    /// Time at which the link to other engines is free, in microseconds.
    pub link_free_us: u64,
    /// Total time of prefill, in microseconds.
    pub busy_us: u64,
    /// Waiting attempts by inverse rank, `u8::MAX - rank`, and then by arrival.
    queue: BTreeMap<(u8, u64), Job>,
    last_arrival: u64,
    prefill: Option<Prefill>,
    /// Capacity of the cache, in blocks.
    capacity: usize,
    us_per_token: f64,
}

impl Engine {
    /// Creates an engine with an empty cache for `capacity` blocks.
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
            last_arrival: 0,
            prefill: None,
            capacity,
            us_per_token,
        }
    }

    /// Adds an attempt to the queue.
    pub fn enqueue(&mut self, job: Job) {
        self.last_arrival += 1;
        self.queue
            .insert((u8::MAX - job.rank, self.last_arrival), job);
    }

    /// Removes an attempt from the queue; has no effect once its prefill has begun.
    pub fn cancel(&mut self, request: usize, attempt: u32) {
        self.queue
            .retain(|_, job| (job.request, job.attempt) != (request, attempt));
    }

    /// Begins the next prefill; `None` if one is in progress or the queue is empty.
    pub fn begin_prefill(&mut self, now_us: u64) -> Option<&Prefill> {
        if self.prefill.is_some() {
            return None;
        }
        let (_, job) = self.queue.pop_first()?;
        let cached = self.cache.cached_prefix(&job.blocks);
        for block in &job.blocks[..cached] {
            self.cache.touch(*block, &mut self.changes);
        }
        let prefill_us = self.prefill_us(job.prompt_tokens, cached);
        self.busy_us += prefill_us;
        let ends_us = now_us + prefill_us;
        self.prefill = Some(Prefill {
            job,
            cached,
            ends_us,
        });
        self.prefill.as_ref()
    }

    /// Ends the prefill in progress, stores its blocks and begins to generate tokens.
    pub fn finish_prefill(&mut self) -> Option<Prefill> {
        let prefill = self.prefill.take()?;
        for block in &prefill.job.blocks {
            self.cache.touch(*block, &mut self.changes);
        }
        // The rest of the prompt takes one cache entry and is never shared.
        let tail = BlockKey(u64::MAX - prefill.job.request as u64);
        self.cache.touch(tail, &mut self.changes);
        let mut job = prefill.job.clone();
        job.decoding = true;
        self.decoding.insert((job.request, job.attempt), job);
        Some(prefill)
    }

    /// Stops the engine, empties its cache and returns the attempts that it was serving.
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

    /// Returns the prompt tokens that could be computed in the time that the queue takes.
    pub fn queued_tokens(&self, now_us: u64) -> u64 {
        (self.wait_us(now_us, 0) as f64 / self.us_per_token) as u64
    }

    /// Returns how long a request of this rank would wait for its prefill, in microseconds.
    pub fn wait_us(&self, now_us: u64, rank: u8) -> u64 {
        let current = self.prefill.as_ref().map_or(0, |p| p.ends_us - now_us);
        let mut pending_blocks: Vec<BlockKey> = Vec::new();
        if let Some(prefill) = &self.prefill {
            pending_blocks.extend(&prefill.job.blocks);
        }
        let mut wait = current;
        for ((inverse, _), job) in &self.queue {
            if u8::MAX - inverse < rank {
                break;
            }
            let cached = self.prefix_with_pending(&job.blocks, &pending_blocks);
            wait += self.prefill_us(job.prompt_tokens, cached);
            pending_blocks.extend(&job.blocks[cached..]);
        }
        wait
    }

    /// Returns how many leading blocks will be cached once the queue has been processed.
    pub fn future_prefix(&self, blocks: &[BlockKey]) -> usize {
        let mut pending_blocks: Vec<BlockKey> = Vec::new();
        if let Some(prefill) = &self.prefill {
            pending_blocks.extend(&prefill.job.blocks);
        }
        for job in self.queue.values() {
            pending_blocks.extend(&job.blocks);
        }
        self.prefix_with_pending(blocks, &pending_blocks)
    }

    /// Returns whether a block is cached or in prefill on a running engine.
    pub fn caches_or_computes(&self, block: BlockKey) -> bool {
        let computes = self
            .prefill
            .as_ref()
            .is_some_and(|p| p.job.blocks.contains(&block));
        self.up && (computes || self.cache.holds(block))
    }

    /// Returns how many leading blocks are cached or pending.
    fn prefix_with_pending(&self, blocks: &[BlockKey], pending_blocks: &[BlockKey]) -> usize {
        blocks
            .iter()
            .take_while(|p| self.cache.holds(**p) || pending_blocks.contains(p))
            .count()
    }

    /// Returns the time to serve a prompt of which `cached` blocks are cached, in microseconds.
    fn prefill_us(&self, prompt_tokens: u64, cached: usize) -> u64 {
        let tokens = prompt_tokens - cached as u64 * policy::BLOCK_TOKENS;
        OVERHEAD_US + (tokens as f64 * self.us_per_token) as u64
    }
}
