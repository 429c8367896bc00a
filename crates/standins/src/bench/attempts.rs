//! Attempts on engines: fetches of cache blocks, prefill and decoding.

use policy::BackendReport;
use policy::Failure;
use policy::Incarnation;
use policy::BLOCK_TOKENS;

use crate::bench::engine::Job;
use crate::bench::router::Dispatch;
use crate::bench::router::Input;
use crate::bench::setup::TOKEN_US;
use crate::bench::world::block_keys;
use crate::bench::world::World;
use crate::bench::world_event::WorldEvent;

impl World<'_> {
    /// Fails an attempt that the engine can't serve, or begins it with an optional fetch.
    pub(super) fn dispatch_arrives(
        &mut self,
        dispatch: &Dispatch,
        router: usize,
        sender_incarnation: u64,
    ) {
        let engine = &self.engines[dispatch.engine];
        let failure = match engine.up {
            false => Some(Failure::NotConnected),
            true if dispatch.incarnation != 0 && dispatch.incarnation != engine.incarnation => {
                Some(Failure::StaleIncarnation)
            }
            true => None,
        };
        let request = &self.requests[dispatch.request];
        let job = Job {
            request: dispatch.request,
            attempt: dispatch.attempt,
            router,
            router_incarnation: sender_incarnation,
            blocks: block_keys(request),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            rank: request.kind.rank,
            fetched: 0,
            decoding: false,
        };
        match failure {
            Some(failure) => self.fail(dispatch.engine, &job, failure),
            None => self.fetch(dispatch, job),
        }
    }

    /// Reports a failed attempt to its router.
    pub(super) fn fail(&mut self, engine: usize, job: &Job, failure: Failure) {
        let report = BackendReport::Failed {
            failure,
            delivered: u32::from(job.decoding),
        };
        self.send_report(engine, job, report);
    }

    /// Fetches the blocks that the named holder has and this engine lacks, if any.
    ///
    /// The attempt is queued once they have arrived. Transfers from one engine are sequential.
    fn fetch(&mut self, dispatch: &Dispatch, job: Job) {
        let own = self.engines[dispatch.engine]
            .cache
            .cached_prefix(&job.blocks);
        let source = dispatch.fetch_from.filter(|(holder, incarnation)| {
            let holder = &self.engines[*holder];
            holder.up && holder.incarnation == *incarnation
        });
        let holder_blocks =
            source.map_or(0, |(i, _)| self.engines[i].cache.cached_prefix(&job.blocks));
        let Some((holder, _)) = source.filter(|_| holder_blocks > own) else {
            self.engines[dispatch.engine].enqueue(job);
            self.begin_prefill(dispatch.engine);
            return;
        };
        let bytes = (holder_blocks - own) as u64 * BLOCK_TOKENS * self.setup.kv_bytes_per_token;
        let is_same_region =
            self.setup.engine_region(holder) == self.setup.engine_region(dispatch.engine);
        let speed = match is_same_region {
            true => self.setup.region_bytes_per_us,
            false => self.setup.cross_region_bytes_per_us,
        };
        if !is_same_region && self.is_measured(job.request) {
            self.measures.cross_region_bytes += bytes;
        }
        let link_free_us = &mut self.engines[holder].link_free_us;
        *link_free_us = (*link_free_us).max(self.now_us) + (bytes as f64 / speed) as u64;
        let delay = *link_free_us - self.now_us;
        let incarnation = self.engines[dispatch.engine].incarnation;
        let event = WorldEvent::FetchEnds(dispatch.engine, incarnation, job, holder_blocks);
        self.schedule(delay, event);
    }

    /// Stores fetched blocks and queues the attempt.
    pub(super) fn fetch_ends(
        &mut self,
        engine: usize,
        incarnation: u64,
        mut job: Job,
        holder_blocks: usize,
    ) {
        if self.engines[engine].incarnation != incarnation {
            self.fail(engine, &job, Failure::Broken);
            return;
        }
        let target = &mut self.engines[engine];
        let own = target.cache.cached_prefix(&job.blocks);
        job.fetched = holder_blocks.saturating_sub(own);
        for block in &job.blocks[..holder_blocks] {
            target.cache.touch(*block, &mut target.changes);
        }
        target.enqueue(job);
        self.begin_prefill(engine);
    }

    /// Begins the next prefill of an engine, if it is idle and has one.
    fn begin_prefill(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let Some(prefill) = self.engines[engine].begin_prefill(self.now_us) else {
            return;
        };
        let prefill = prefill.clone();
        self.count_prefill(engine, &prefill.job, prefill.cached, prefill.ends_us);
        let report = BackendReport::Started {
            incarnation: Incarnation(incarnation),
            cached_tokens: prefill.cached as u64 * BLOCK_TOKENS,
        };
        self.send_report(engine, &prefill.job, report);
        let delay = prefill.ends_us - self.now_us;
        self.schedule(delay, WorldEvent::PrefillEnds(engine, incarnation));
    }

    /// Counts reused, wasted and unavoidable tokens of a prefill.
    fn count_prefill(&mut self, engine: usize, job: &Job, cached: usize, ends_us: u64) {
        if !self.is_measured(job.request) {
            return;
        }
        let missing = &job.blocks[cached..];
        let cached_elsewhere = missing.iter().filter(|block| {
            let mut others = self.engines.iter().enumerate();
            others.any(|(i, other)| i != engine && other.caches_or_computes(**block))
        });
        let wasted = cached_elsewhere.count() as u64 * BLOCK_TOKENS;
        let computed = missing.len() as u64 * BLOCK_TOKENS;
        self.measures.wasted_tokens += wasted;
        self.measures.unavoidable_tokens += computed - wasted;
        self.measures.prefix_tokens += job.blocks.len() as u64 * BLOCK_TOKENS;
        self.measures.reused_tokens += cached as u64 * BLOCK_TOKENS;
        self.measures.fetched_tokens += job.fetched.min(cached) as u64 * BLOCK_TOKENS;
        self.measures.busy_us += ends_us - self.now_us;
    }

    /// Reports the first token and begins the next prefill.
    pub(super) fn prefill_ends(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let prefill = self.engines[engine]
            .finish_prefill()
            .expect("a prefill is in progress");
        self.send_report(engine, &prefill.job, BackendReport::FirstToken);
        let decode = prefill.job.output_tokens * TOKEN_US;
        self.schedule(
            decode,
            WorldEvent::DecodeEnds(engine, incarnation, prefill.job),
        );
        self.begin_prefill(engine);
    }

    /// Reports the end of an attempt.
    pub(super) fn decode_ends(&mut self, engine: usize, incarnation: u64, job: &Job) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine]
            .decoding
            .remove(&(job.request, job.attempt));
        let output_tokens = job.output_tokens as u32;
        self.send_report(engine, job, BackendReport::Finished { output_tokens });
    }

    /// Sends a report on an attempt to the router that dispatched it.
    fn send_report(&mut self, engine: usize, job: &Job, report: BackendReport) {
        let latency = self.to_engine_us(job.router, engine);
        let input = Input::Report {
            request: job.request,
            attempt: job.attempt,
            report,
        };
        self.schedule(
            latency,
            WorldEvent::InputArrives(job.router, job.router_incarnation, input),
        );
    }
}
