//! Discrete-event simulation of one run: requests, routers and engines in virtual time.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::collections::HashMap;

use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use policy::BackendReport;
use policy::BlockKey;
use policy::BlockSeed;
use policy::CacheReport;
use policy::Failure;
use policy::Incarnation;
use policy::LoadReport;
use policy::PeerMessage;
use policy::Time;
use policy::BLOCK_TOKENS;

use crate::bench::deployment;
use crate::bench::engine::Engine;
use crate::bench::engine::Job;
use crate::bench::measures::Measures;
use crate::bench::router::Dispatch;
use crate::bench::router::Input;
use crate::bench::router::Output;
use crate::bench::router::Router;
use crate::bench::router::SimulationView;
use crate::bench::setup::Setup;
use crate::bench::setup::CACHE_REPORT_US;
use crate::bench::setup::CALLER_US;
use crate::bench::setup::COOL_DOWN_US;
use crate::bench::setup::CRASH_EVERY_US;
use crate::bench::setup::DOWN_US;
use crate::bench::setup::LOAD_REPORT_US;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::MEMBERSHIP_LAG_US;
use crate::bench::setup::RESTARTED_ROUTERS;
use crate::bench::setup::RESTART_ROUTERS_AT_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::STORE_US;
use crate::bench::setup::TOKEN_US;
use crate::bench::setup::WARM_UP_US;
use crate::bench::store::Store;
use crate::bench::wire_size;
use crate::bench::workload::Request;

/// Creates the router with an index, the first argument, for one of its incarnations.
pub type MakeRouter<'a> = dyn Fn(usize, u64) -> Box<dyn Router> + 'a;

/// A scheduled event.
enum WorldEvent {
    /// A request, given by its index, arrives at its router.
    RequestArrives(usize),
    /// An attempt arrives at its engine, from a router with its incarnation.
    DispatchArrives(Dispatch, usize, u64),
    /// A cancellation arrives at an engine, for a request and attempt.
    CancelArrives(usize, usize, u32),
    /// A fetch for a job ends at an engine, given with its incarnation; the last field is the
    /// number of leading blocks that the other engine had.
    FetchEnds(usize, u64, Job, usize),
    /// An engine, given with its incarnation, finishes a prefill.
    PrefillEnds(usize, u64),
    /// An engine, given with its incarnation, generates the last token of a job.
    DecodeEnds(usize, u64, Job),
    /// An input arrives at a router, for one of its incarnations.
    InputArrives(usize, u64, Input),
    /// The next deadline of a router is due, for one of its incarnations.
    TickDue(usize, u64),
    /// An engine publishes a load report.
    PublishLoad(usize),
    /// An engine publishes its cache events.
    PublishCache(usize),
    /// A random engine crashes.
    CrashEngine,
    /// An engine starts again after a crash.
    RestartEngine(usize),
    /// Several routers restart at the same time.
    RestartRouters,
    /// All routers receive the membership list.
    PublishMembership,
}

/// State of one run.
pub struct World<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    make_router: &'a MakeRouter<'a>,
    rng: ChaCha8Rng,
    now_us: u64,
    /// Times of the scheduled events with their ids; ids keep simultaneous events in order.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by id.
    events: HashMap<u64, WorldEvent>,
    last_event_id: u64,
    routers: Vec<Box<dyn Router>>,
    /// Incarnation of each router.
    router_incarnations: Vec<u64>,
    /// For each router, whether it watches each engine.
    watched: Vec<Vec<bool>>,
    /// Time of the next scheduled tick of each router; `u64::MAX` for none.
    next_tick_us: Vec<u64>,
    engines: Vec<Engine>,
    store: Store,
    /// Whether each request has got its first token or a refusal.
    resolved: Vec<bool>,
    measures: Measures,
}

/// Returns the keys of the request's complete blocks.
pub fn block_keys(request: &Request) -> Vec<BlockKey> {
    let workspace = deployment::workspace_name(request.workspace);
    let seed = BlockSeed::new(&workspace, deployment::MODEL, deployment::WEIGHTS_VERSION);
    request.blocks.iter().map(|c| seed.key(*c)).collect()
}

impl<'a> World<'a> {
    /// Simulates the requests and returns the measurements.
    pub fn run(
        setup: &'a Setup,
        requests: &'a [Request],
        seed: u64,
        make_router: &'a MakeRouter<'a>,
    ) -> Measures {
        let mut world = World::new(setup, requests, seed, make_router);
        world.schedule_initial_events();
        let end_us = WARM_UP_US + MEASURED_US + COOL_DOWN_US;
        while let Some(Reverse((at_us, id))) = world.queue.pop() {
            if at_us > end_us {
                break;
            }
            world.now_us = at_us;
            let event = world.events.remove(&id).expect("the event was scheduled");
            world.handle_event(event);
        }
        let unresolved = world.resolved.iter().filter(|resolved| !**resolved).count();
        if unresolved > 0 {
            *world.measures.refusals.entry("no_answer").or_default() += unresolved as u64;
        }
        world.measures
    }

    fn new(
        setup: &'a Setup,
        requests: &'a [Request],
        seed: u64,
        make_router: &'a MakeRouter<'a>,
    ) -> World<'a> {
        let engine = Engine::new(setup.cache_blocks, setup.prefill_us_per_token);
        World {
            setup,
            requests,
            make_router,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event_id: 0,
            routers: (0..ROUTERS).map(|i| make_router(i, 1)).collect(),
            router_incarnations: vec![1; ROUTERS],
            watched: vec![vec![false; setup.engines]; ROUTERS],
            next_tick_us: vec![u64::MAX; ROUTERS],
            engines: vec![engine; setup.engines],
            store: Store::default(),
            resolved: vec![false; requests.len()],
            measures: Measures::default(),
        }
    }

    /// Starts the routers and schedules arrivals, reports and faults.
    fn schedule_initial_events(&mut self) {
        for router in 0..ROUTERS {
            self.send_initial_state(router);
        }
        for engine in 0..self.engines.len() {
            // Spreads the reports of the engines over the interval.
            let offset = engine as u64 * 7_919;
            self.schedule(offset % LOAD_REPORT_US, WorldEvent::PublishLoad(engine));
            self.schedule(offset % CACHE_REPORT_US, WorldEvent::PublishCache(engine));
        }
        for (i, request) in self.requests.iter().enumerate() {
            self.schedule(request.at_us, WorldEvent::RequestArrives(i));
        }
        if self.setup.faults {
            self.schedule(WARM_UP_US, WorldEvent::CrashEngine);
            self.schedule(RESTART_ROUTERS_AT_US, WorldEvent::RestartRouters);
        }
    }

    /// Sends the configuration and the membership list to a router that has just started.
    fn send_initial_state(&mut self, router: usize) {
        self.handle_input(router, Input::Config(deployment::config(self.setup)));
        let members = deployment::members(self.setup, &self.engines, &self.router_incarnations);
        self.handle_input(router, Input::Members(members));
    }

    /// Schedules an event `delay_us` from now.
    fn schedule(&mut self, delay_us: u64, event: WorldEvent) {
        self.last_event_id += 1;
        self.events.insert(self.last_event_id, event);
        self.queue
            .push(Reverse((self.now_us + delay_us, self.last_event_id)));
    }

    fn handle_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::RequestArrives(i) => {
                self.handle_input(self.requests[i].router, Input::Arrive(i))
            }
            WorldEvent::DispatchArrives(dispatch, router, router_incarnation) => {
                self.dispatch_arrives(&dispatch, router, router_incarnation)
            }
            WorldEvent::CancelArrives(engine, request, attempt) => {
                self.engines[engine].cancel(request, attempt);
            }
            WorldEvent::FetchEnds(engine, incarnation, job, holder_blocks) => {
                self.fetch_ends(engine, incarnation, job, holder_blocks);
            }
            WorldEvent::PrefillEnds(engine, incarnation) => self.prefill_ends(engine, incarnation),
            WorldEvent::DecodeEnds(engine, incarnation, job) => {
                self.decode_ends(engine, incarnation, &job)
            }
            WorldEvent::InputArrives(router, router_incarnation, input)
                if router_incarnation == self.router_incarnations[router] =>
            {
                self.record_first_token(&input);
                self.handle_input(router, input);
            }
            WorldEvent::InputArrives(..) => {}
            WorldEvent::TickDue(router, router_incarnation) => {
                self.tick_router(router, router_incarnation)
            }
            WorldEvent::PublishLoad(engine) => self.publish_load(engine),
            WorldEvent::PublishCache(engine) => self.publish_cache(engine),
            WorldEvent::CrashEngine => self.crash_engine(),
            WorldEvent::RestartEngine(engine) => self.restart_engine(engine),
            WorldEvent::RestartRouters => self.restart_routers(),
            WorldEvent::PublishMembership => self.publish_membership(),
        }
    }

    /// Passes an input to a router, applies its outputs and schedules its next tick.
    fn handle_input(&mut self, router: usize, input: Input) {
        let mut out = Vec::new();
        let view = SimulationView {
            setup: self.setup,
            requests: self.requests,
            engines: &self.engines,
        };
        self.routers[router].handle(self.now_us, input, &view, &mut out);
        for output in out {
            self.apply_output(router, output);
        }
        let Some(at_us) = self.routers[router].next_deadline_us() else {
            return;
        };
        let at_us = at_us.max(self.now_us + 1);
        if at_us < self.next_tick_us[router] || self.next_tick_us[router] <= self.now_us {
            self.next_tick_us[router] = at_us;
            let router_incarnation = self.router_incarnations[router];
            self.schedule(
                at_us - self.now_us,
                WorldEvent::TickDue(router, router_incarnation),
            );
        }
    }

    /// Sends a tick to a router, unless the tick was superseded by an earlier one.
    fn tick_router(&mut self, router: usize, router_incarnation: u64) {
        if router_incarnation == self.router_incarnations[router]
            && self.next_tick_us[router] == self.now_us
        {
            self.handle_input(router, Input::Tick);
        }
    }

    fn apply_output(&mut self, router: usize, output: Output) {
        match output {
            Output::Dispatch(dispatch) => {
                let latency = self.to_engine_us(router, dispatch.engine);
                let router_incarnation = self.router_incarnations[router];
                self.count_prompt(router, &dispatch);
                self.schedule(
                    latency,
                    WorldEvent::DispatchArrives(dispatch, router, router_incarnation),
                );
            }
            Output::Cancel {
                request,
                attempt,
                engine,
            } => {
                let latency = self.to_engine_us(router, engine);
                self.schedule(latency, WorldEvent::CancelArrives(engine, request, attempt));
            }
            Output::Refuse { request, reason } => self.record_refusal(request, reason),
            Output::Peer { to, message } => self.send_peer(router, to, message),
            Output::Store { op, request } => {
                let result = self.store.handle(request);
                let router_incarnation = self.router_incarnations[router];
                let input = Input::Store { op, result };
                self.schedule(
                    STORE_US,
                    WorldEvent::InputArrives(router, router_incarnation, input),
                );
            }
            Output::Watch(engines) => {
                self.watched[router] = vec![false; self.engines.len()];
                for engine in engines {
                    self.watched[router][engine] = true;
                }
            }
        }
    }

    /// Returns the one-way latency between a router and an engine, in microseconds.
    fn to_engine_us(&self, router: usize, engine: usize) -> u64 {
        let from = self.setup.router_region(router);
        let to = self.setup.engine_region(engine);
        self.setup.latency_us(from, to)
    }

    /// Returns whether a request arrived after the warm-up.
    fn is_measured(&self, request: usize) -> bool {
        self.requests[request].at_us >= WARM_UP_US
    }

    /// Counts the traffic of a request between regions.
    fn count_prompt(&mut self, router: usize, dispatch: &Dispatch) {
        let request = &self.requests[dispatch.request];
        let from = self.setup.router_region(router);
        if from != self.setup.engine_region(dispatch.engine) && self.is_measured(dispatch.request) {
            let tokens = request.prompt_tokens + request.output_tokens;
            self.measures.cross_region_bytes += tokens * policy::BYTES_PER_TOKEN;
        }
    }

    /// Records that a request was refused.
    fn record_refusal(&mut self, request: usize, reason: &'static str) {
        self.resolved[request] = true;
        if self.is_measured(request) {
            *self.measures.refusals.entry(reason).or_default() += 1;
        }
    }

    /// Sends a message between routers, which may be lost.
    fn send_peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.now_us >= WARM_UP_US && self.now_us < WARM_UP_US + MEASURED_US {
            // Counted at the sender and at the receiver.
            self.measures.control_bytes += 2 * wire_size::message_bytes(&message);
        }
        if self.rng.random::<f64>() < self.setup.message_loss {
            return;
        }
        let regions = [from, to].map(|r| self.setup.router_region(r));
        let latency = self.setup.latency_us(regions[0], regions[1]);
        let router_incarnation = self.router_incarnations[to];
        let input = Input::Peer { from, message };
        self.schedule(
            latency,
            WorldEvent::InputArrives(to, router_incarnation, input),
        );
    }

    /// Fails an attempt that the engine can't serve, or begins it with an optional fetch.
    fn dispatch_arrives(&mut self, dispatch: &Dispatch, router: usize, sender_incarnation: u64) {
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
    fn fail(&mut self, engine: usize, job: &Job, failure: Failure) {
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
    fn fetch_ends(&mut self, engine: usize, incarnation: u64, mut job: Job, holder_blocks: usize) {
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
    fn prefill_ends(&mut self, engine: usize, incarnation: u64) {
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
    fn decode_ends(&mut self, engine: usize, incarnation: u64, job: &Job) {
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

    /// Records the time to first token, if the input reports one.
    fn record_first_token(&mut self, input: &Input) {
        let Input::Report {
            request,
            report: BackendReport::FirstToken,
            ..
        } = input
        else {
            return;
        };
        if !self.resolved[*request] && self.is_measured(*request) {
            let ttft = self.now_us - self.requests[*request].at_us + 2 * CALLER_US;
            self.measures.ttft_us.push(ttft);
        }
        self.resolved[*request] = true;
    }

    fn publish_load(&mut self, engine: usize) {
        self.schedule(LOAD_REPORT_US, WorldEvent::PublishLoad(engine));
        let source = &self.engines[engine];
        if !source.up {
            return;
        }
        let report = LoadReport {
            server: deployment::engine_name(engine),
            incarnation: Incarnation(source.incarnation),
            at: Time(self.now_us),
            queued_tokens: source.queued_tokens(self.now_us),
            running: source.decoding.len() as u32,
            leaving: false,
            weights: None,
        };
        for router in self.watchers(engine) {
            self.count_control(wire_size::LOAD_REPORT_BYTES);
            let router_incarnation = self.router_incarnations[router];
            let input = Input::Load(report.clone());
            let event = WorldEvent::InputArrives(router, router_incarnation, input);
            self.schedule(self.setup.report_lag_us, event);
        }
    }

    fn publish_cache(&mut self, engine: usize) {
        self.schedule(CACHE_REPORT_US, WorldEvent::PublishCache(engine));
        let source = &mut self.engines[engine];
        let changes = std::mem::take(&mut source.changes);
        let first_sequence = source.sequence;
        source.sequence += changes.len() as u64;
        if !source.up || changes.is_empty() {
            return;
        }
        let report = CacheReport {
            server: deployment::engine_name(engine),
            incarnation: Incarnation(source.incarnation),
            first_sequence,
            changes,
        };
        for router in self.watchers(engine) {
            self.count_control(report.changes.len() as u64 * wire_size::CACHE_EVENT_BYTES);
            if self.rng.random::<f64>() < self.setup.event_loss {
                continue;
            }
            let router_incarnation = self.router_incarnations[router];
            let input = Input::Cache(report.clone());
            let event = WorldEvent::InputArrives(router, router_incarnation, input);
            self.schedule(self.setup.report_lag_us, event);
        }
    }

    /// Returns the routers that watch an engine.
    fn watchers(&self, engine: usize) -> Vec<usize> {
        (0..ROUTERS).filter(|r| self.watched[*r][engine]).collect()
    }

    /// Counts control traffic within the measured period.
    fn count_control(&mut self, bytes: u64) {
        if self.now_us >= WARM_UP_US && self.now_us < WARM_UP_US + MEASURED_US {
            self.measures.control_bytes += bytes;
        }
    }

    /// Crashes a random engine and schedules its restart and the next crash.
    fn crash_engine(&mut self) {
        if self.now_us + CRASH_EVERY_US < WARM_UP_US + MEASURED_US {
            self.schedule(CRASH_EVERY_US, WorldEvent::CrashEngine);
        }
        let engine = self.rng.random_range(0..self.engines.len());
        if !self.engines[engine].up {
            return;
        }
        for job in self.engines[engine].crash() {
            self.fail(engine, &job, Failure::Broken);
        }
        self.schedule(DOWN_US, WorldEvent::RestartEngine(engine));
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }

    fn restart_engine(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }

    fn publish_membership(&mut self) {
        let members = deployment::members(self.setup, &self.engines, &self.router_incarnations);
        for router in 0..ROUTERS {
            self.handle_input(router, Input::Members(members.clone()));
        }
    }

    /// Restarts several routers at the same time with empty state.
    fn restart_routers(&mut self) {
        for router in 0..RESTARTED_ROUTERS {
            self.router_incarnations[router] += 1;
            self.routers[router] = (self.make_router)(router, self.router_incarnations[router]);
            self.watched[router] = vec![false; self.engines.len()];
            self.next_tick_us[router] = u64::MAX;
        }
        for router in 0..RESTARTED_ROUTERS {
            self.send_initial_state(router);
        }
        self.schedule(MEMBERSHIP_LAG_US, WorldEvent::PublishMembership);
    }
}
