//! One run: requests, routers and engines on virtual time.

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
use crate::bench::router::Input;
use crate::bench::router::Router;
use crate::bench::router::Send;
use crate::bench::router::Sight;
use crate::bench::router::Step;
use crate::bench::setup::Setup;
use crate::bench::setup::CACHE_REPORT_US;
use crate::bench::setup::CALLER_US;
use crate::bench::setup::COOL_DOWN_US;
use crate::bench::setup::CRASH_EVERY_US;
use crate::bench::setup::DOWN_US;
use crate::bench::setup::HERD;
use crate::bench::setup::HERD_AT_US;
use crate::bench::setup::LOAD_REPORT_US;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::MEMBERSHIP_LAG_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::STORE_US;
use crate::bench::setup::TOKEN_US;
use crate::bench::setup::WARM_UP_US;
use crate::bench::store::Store;
use crate::bench::wire_size;
use crate::bench::workload::Request;

/// Makes the router of this index for its n-th start.
pub type MakeRouter<'a> = dyn Fn(usize, u64) -> Box<dyn Router> + 'a;

/// What happens at a point in time.
enum Happening {
    Arrive(usize),
    AtEngine(Send, usize, u64),
    CancelAt(usize, usize, u32),
    Fetched(usize, u64, Job, usize),
    PrefillEnds(usize, u64),
    Ends(usize, u64, Job),
    AtRouter(usize, u64, Input),
    Wake(usize, u64),
    PublishLoad(usize),
    PublishCache(usize),
    Crash,
    Restart(usize),
    HerdRestarts,
    Membership,
}

/// One run.
pub struct World<'a> {
    setup: &'a Setup,
    requests: &'a [Request],
    make: &'a MakeRouter<'a>,
    rng: ChaCha8Rng,
    now_us: u64,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    happenings: HashMap<u64, Happening>,
    next: u64,
    routers: Vec<Box<dyn Router>>,
    starts: Vec<u64>,
    watched: Vec<Vec<bool>>,
    wake_us: Vec<u64>,
    engines: Vec<Engine>,
    store: Store,
    done: Vec<bool>,
    measures: Measures,
}

/// Returns the keys of a request's pieces.
pub fn piece_keys(request: &Request) -> Vec<BlockKey> {
    let workspace = deployment::workspace_name(request.workspace);
    let seed = BlockSeed::new(&workspace, deployment::MODEL, deployment::WEIGHTS_VERSION);
    request.blocks.iter().map(|c| seed.key(*c)).collect()
}

impl<'a> World<'a> {
    /// Runs the requests and returns what was measured.
    pub fn run(
        setup: &'a Setup,
        requests: &'a [Request],
        seed: u64,
        make: &'a MakeRouter<'a>,
    ) -> Measures {
        let mut world = World::new(setup, requests, seed, make);
        world.start();
        let end_us = WARM_UP_US + MEASURED_US + COOL_DOWN_US;
        while let Some(Reverse((at_us, id))) = world.queue.pop() {
            if at_us > end_us {
                break;
            }
            world.now_us = at_us;
            let happening = world.happenings.remove(&id).expect("it was queued");
            world.happen(happening);
        }
        let unanswered = world.done.iter().filter(|done| !**done).count();
        if unanswered > 0 {
            *world.measures.refusals.entry("no_answer").or_default() += unanswered as u64;
        }
        world.measures
    }

    fn new(
        setup: &'a Setup,
        requests: &'a [Request],
        seed: u64,
        make: &'a MakeRouter<'a>,
    ) -> World<'a> {
        let engine = Engine::new(setup.cache_pieces, setup.prefill_us_per_token);
        World {
            setup,
            requests,
            make,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now_us: 0,
            queue: BinaryHeap::new(),
            happenings: HashMap::new(),
            next: 0,
            routers: (0..ROUTERS).map(|i| make(i, 1)).collect(),
            starts: vec![1; ROUTERS],
            watched: vec![vec![false; setup.runners]; ROUTERS],
            wake_us: vec![u64::MAX; ROUTERS],
            engines: vec![engine; setup.runners],
            store: Store::default(),
            done: vec![false; requests.len()],
            measures: Measures::default(),
        }
    }

    fn start(&mut self) {
        for router in 0..ROUTERS {
            self.introduce(router);
        }
        for engine in 0..self.engines.len() {
            let offset = engine as u64 * 7_919;
            self.after(offset % LOAD_REPORT_US, Happening::PublishLoad(engine));
            self.after(offset % CACHE_REPORT_US, Happening::PublishCache(engine));
        }
        for (i, request) in self.requests.iter().enumerate() {
            self.after(request.at_us, Happening::Arrive(i));
        }
        if self.setup.faults {
            self.after(WARM_UP_US, Happening::Crash);
            self.after(HERD_AT_US, Happening::HerdRestarts);
        }
    }

    /// Gives a router that has just started configuration and membership list.
    fn introduce(&mut self, router: usize) {
        self.handle(router, Input::Config(deployment::config(self.setup)));
        let members = deployment::members(self.setup, &self.engines, &self.starts);
        self.handle(router, Input::Members(members));
    }

    fn after(&mut self, delay_us: u64, happening: Happening) {
        self.next += 1;
        self.happenings.insert(self.next, happening);
        self.queue
            .push(Reverse((self.now_us + delay_us, self.next)));
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Arrive(i) => self.handle(self.requests[i].router, Input::Arrive(i)),
            Happening::AtEngine(send, router, start) => self.at_engine(&send, router, start),
            Happening::CancelAt(engine, request, attempt) => {
                self.engines[engine].cancel(request, attempt);
            }
            Happening::Fetched(engine, incarnation, job, held) => {
                self.fetched(engine, incarnation, job, held);
            }
            Happening::PrefillEnds(engine, incarnation) => self.prefill_ends(engine, incarnation),
            Happening::Ends(engine, incarnation, job) => self.ends(engine, incarnation, &job),
            Happening::AtRouter(router, start, input) if start == self.starts[router] => {
                self.first_token(&input);
                self.handle(router, input);
            }
            Happening::AtRouter(..) => {}
            Happening::Wake(router, start) => self.wake(router, start),
            Happening::PublishLoad(engine) => self.publish_load(engine),
            Happening::PublishCache(engine) => self.publish_cache(engine),
            Happening::Crash => self.crash(),
            Happening::Restart(engine) => self.restart(engine),
            Happening::HerdRestarts => self.herd_restarts(),
            Happening::Membership => self.membership(),
        }
    }

    fn handle(&mut self, router: usize, input: Input) {
        let mut out = Vec::new();
        let sight = Sight {
            setup: self.setup,
            requests: self.requests,
            engines: &self.engines,
        };
        self.routers[router].handle(self.now_us, input, &sight, &mut out);
        for step in out {
            self.take(router, step);
        }
        let Some(at_us) = self.routers[router].next_deadline_us() else {
            return;
        };
        let at_us = at_us.max(self.now_us + 1);
        if at_us < self.wake_us[router] || self.wake_us[router] <= self.now_us {
            self.wake_us[router] = at_us;
            let start = self.starts[router];
            self.after(at_us - self.now_us, Happening::Wake(router, start));
        }
    }

    fn wake(&mut self, router: usize, start: u64) {
        if start == self.starts[router] && self.wake_us[router] == self.now_us {
            self.handle(router, Input::Tick);
        }
    }

    fn take(&mut self, router: usize, step: Step) {
        match step {
            Step::Send(send) => {
                let latency = self.to_engine_us(router, send.engine);
                let start = self.starts[router];
                self.count_prompt(router, &send);
                self.after(latency, Happening::AtEngine(send, router, start));
            }
            Step::Cancel {
                request,
                attempt,
                engine,
            } => {
                let latency = self.to_engine_us(router, engine);
                self.after(latency, Happening::CancelAt(engine, request, attempt));
            }
            Step::Refuse { request, reason } => self.refused(request, reason),
            Step::Peer { to, message } => self.peer(router, to, message),
            Step::Store { op, request } => {
                let result = self.store.answer(request);
                let start = self.starts[router];
                let input = Input::Store { op, result };
                self.after(STORE_US, Happening::AtRouter(router, start, input));
            }
            Step::Watch(engines) => {
                self.watched[router] = vec![false; self.engines.len()];
                for engine in engines {
                    self.watched[router][engine] = true;
                }
            }
        }
    }

    fn to_engine_us(&self, router: usize, engine: usize) -> u64 {
        let from = self.setup.router_region(router);
        let to = self.setup.engine_region(engine);
        self.setup.latency_us(from, to)
    }

    fn is_measured(&self, request: usize) -> bool {
        self.requests[request].at_us >= WARM_UP_US
    }

    fn count_prompt(&mut self, router: usize, send: &Send) {
        let request = &self.requests[send.request];
        let from = self.setup.router_region(router);
        if from != self.setup.engine_region(send.engine) && self.is_measured(send.request) {
            let tokens = request.prompt_tokens + request.output_tokens;
            self.measures.cross_region_bytes += tokens * policy::BYTES_PER_TOKEN;
        }
    }

    fn refused(&mut self, request: usize, reason: &'static str) {
        self.done[request] = true;
        if self.is_measured(request) {
            *self.measures.refusals.entry(reason).or_default() += 1;
        }
    }

    fn peer(&mut self, from: usize, to: usize, message: PeerMessage) {
        if self.now_us >= WARM_UP_US && self.now_us < WARM_UP_US + MEASURED_US {
            self.measures.control_bytes += 2 * wire_size::of_message(&message);
        }
        if self.rng.random::<f64>() < self.setup.message_loss {
            return;
        }
        let regions = [from, to].map(|r| self.setup.router_region(r));
        let latency = self.setup.latency_us(regions[0], regions[1]);
        let start = self.starts[to];
        let input = Input::Peer { from, message };
        self.after(latency, Happening::AtRouter(to, start, input));
    }

    fn at_engine(&mut self, send: &Send, router: usize, start: u64) {
        let engine = &self.engines[send.engine];
        let failure = match engine.up {
            false => Some(Failure::NotConnected),
            true if send.incarnation != 0 && send.incarnation != engine.incarnation => {
                Some(Failure::StaleIncarnation)
            }
            true => None,
        };
        let request = &self.requests[send.request];
        let job = Job {
            request: send.request,
            attempt: send.attempt,
            router,
            router_start: start,
            blocks: piece_keys(request),
            prompt_tokens: request.prompt_tokens,
            output_tokens: request.output_tokens,
            rank: request.kind.rank,
            fetched: 0,
            decoding: false,
        };
        match failure {
            Some(failure) => self.fail(send.engine, &job, failure),
            None => self.fetch(send, job),
        }
    }

    fn fail(&mut self, engine: usize, job: &Job, failure: Failure) {
        let report = BackendReport::Failed {
            failure,
            delivered: u32::from(job.decoding),
        };
        self.report(engine, job, report);
    }

    /// Begins the fetch of pieces that the named holder has and this engine lacks.
    fn fetch(&mut self, send: &Send, job: Job) {
        let own = self.engines[send.engine].cache.prefix(&job.blocks);
        let source = send.fetch_from.filter(|(holder, incarnation)| {
            let holder = &self.engines[*holder];
            holder.up && holder.incarnation == *incarnation
        });
        let held = source.map_or(0, |(i, _)| self.engines[i].cache.prefix(&job.blocks));
        let Some((holder, _)) = source.filter(|_| held > own) else {
            self.engines[send.engine].enqueue(job);
            self.begin(send.engine);
            return;
        };
        let bytes = (held - own) as u64 * BLOCK_TOKENS * self.setup.kv_bytes_per_token;
        let same = self.setup.engine_region(holder) == self.setup.engine_region(send.engine);
        let speed = match same {
            true => self.setup.region_bytes_per_us,
            false => self.setup.cross_region_bytes_per_us,
        };
        if !same && self.is_measured(job.request) {
            self.measures.cross_region_bytes += bytes;
        }
        let link = &mut self.engines[holder].link_free_us;
        *link = (*link).max(self.now_us) + (bytes as f64 / speed) as u64;
        let delay = *link - self.now_us;
        let incarnation = self.engines[send.engine].incarnation;
        let happening = Happening::Fetched(send.engine, incarnation, job, held);
        self.after(delay, happening);
    }

    fn fetched(&mut self, engine: usize, incarnation: u64, mut job: Job, held: usize) {
        if self.engines[engine].incarnation != incarnation {
            self.fail(engine, &job, Failure::Broken);
            return;
        }
        let target = &mut self.engines[engine];
        let own = target.cache.prefix(&job.blocks);
        job.fetched = held.saturating_sub(own);
        for piece in &job.blocks[..held] {
            target.cache.touch(*piece, &mut target.changes);
        }
        target.enqueue(job);
        self.begin(engine);
    }

    fn begin(&mut self, engine: usize) {
        let incarnation = self.engines[engine].incarnation;
        let Some(prefill) = self.engines[engine].begin(self.now_us) else {
            return;
        };
        let prefill = prefill.clone();
        self.count_prefill(engine, &prefill.job, prefill.cached, prefill.ends_us);
        let report = BackendReport::Started {
            incarnation: Incarnation(incarnation),
            cached_tokens: prefill.cached as u64 * BLOCK_TOKENS,
        };
        self.report(engine, &prefill.job, report);
        let delay = prefill.ends_us - self.now_us;
        self.after(delay, Happening::PrefillEnds(engine, incarnation));
    }

    fn count_prefill(&mut self, engine: usize, job: &Job, cached: usize, ends_us: u64) {
        if !self.is_measured(job.request) {
            return;
        }
        let missing = &job.blocks[cached..];
        let held = missing.iter().filter(|piece| {
            let mut others = self.engines.iter().enumerate();
            others.any(|(i, other)| i != engine && other.has_or_computes(**piece))
        });
        let wasted = held.count() as u64 * BLOCK_TOKENS;
        let computed = missing.len() as u64 * BLOCK_TOKENS;
        self.measures.wasted_tokens += wasted;
        self.measures.unavoidable_tokens += computed - wasted;
        self.measures.prefix_tokens += job.blocks.len() as u64 * BLOCK_TOKENS;
        self.measures.reused_tokens += cached as u64 * BLOCK_TOKENS;
        self.measures.fetched_tokens += job.fetched.min(cached) as u64 * BLOCK_TOKENS;
        self.measures.busy_us += ends_us - self.now_us;
    }

    fn prefill_ends(&mut self, engine: usize, incarnation: u64) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        let prefill = self.engines[engine].finish().expect("one is in progress");
        self.report(engine, &prefill.job, BackendReport::FirstToken);
        let decode = prefill.job.output_tokens * TOKEN_US;
        self.after(decode, Happening::Ends(engine, incarnation, prefill.job));
        self.begin(engine);
    }

    fn ends(&mut self, engine: usize, incarnation: u64, job: &Job) {
        if self.engines[engine].incarnation != incarnation {
            return;
        }
        self.engines[engine]
            .decoding
            .remove(&(job.request, job.attempt));
        let output_tokens = job.output_tokens as u32;
        self.report(engine, job, BackendReport::Finished { output_tokens });
    }

    fn report(&mut self, engine: usize, job: &Job, report: BackendReport) {
        let latency = self.to_engine_us(job.router, engine);
        let input = Input::Report {
            request: job.request,
            attempt: job.attempt,
            report,
        };
        self.after(
            latency,
            Happening::AtRouter(job.router, job.router_start, input),
        );
    }

    fn first_token(&mut self, input: &Input) {
        let Input::Report {
            request,
            report: BackendReport::FirstToken,
            ..
        } = input
        else {
            return;
        };
        if !self.done[*request] && self.is_measured(*request) {
            let ttft = self.now_us - self.requests[*request].at_us + 2 * CALLER_US;
            self.measures.ttft_us.push(ttft);
        }
        self.done[*request] = true;
    }

    fn publish_load(&mut self, engine: usize) {
        self.after(LOAD_REPORT_US, Happening::PublishLoad(engine));
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
            self.count_control(wire_size::LOAD_REPORT);
            let start = self.starts[router];
            let input = Input::Load(report.clone());
            let happening = Happening::AtRouter(router, start, input);
            self.after(self.setup.report_lag_us, happening);
        }
    }

    fn publish_cache(&mut self, engine: usize) {
        self.after(CACHE_REPORT_US, Happening::PublishCache(engine));
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
            self.count_control(report.changes.len() as u64 * wire_size::CACHE_EVENT);
            if self.rng.random::<f64>() < self.setup.event_loss {
                continue;
            }
            let start = self.starts[router];
            let input = Input::Cache(report.clone());
            let happening = Happening::AtRouter(router, start, input);
            self.after(self.setup.report_lag_us, happening);
        }
    }

    fn watchers(&self, engine: usize) -> Vec<usize> {
        (0..ROUTERS).filter(|r| self.watched[*r][engine]).collect()
    }

    fn count_control(&mut self, bytes: u64) {
        if self.now_us >= WARM_UP_US && self.now_us < WARM_UP_US + MEASURED_US {
            self.measures.control_bytes += bytes;
        }
    }

    fn crash(&mut self) {
        if self.now_us + CRASH_EVERY_US < WARM_UP_US + MEASURED_US {
            self.after(CRASH_EVERY_US, Happening::Crash);
        }
        let engine = self.rng.random_range(0..self.engines.len());
        if !self.engines[engine].up {
            return;
        }
        for job in self.engines[engine].crash() {
            self.fail(engine, &job, Failure::Broken);
        }
        self.after(DOWN_US, Happening::Restart(engine));
        self.after(MEMBERSHIP_LAG_US, Happening::Membership);
    }

    fn restart(&mut self, engine: usize) {
        self.engines[engine].up = true;
        self.after(MEMBERSHIP_LAG_US, Happening::Membership);
    }

    fn membership(&mut self) {
        let members = deployment::members(self.setup, &self.engines, &self.starts);
        for router in 0..ROUTERS {
            self.handle(router, Input::Members(members.clone()));
        }
    }

    fn herd_restarts(&mut self) {
        for router in 0..HERD {
            self.starts[router] += 1;
            self.routers[router] = (self.make)(router, self.starts[router]);
            self.watched[router] = vec![false; self.engines.len()];
            self.wake_us[router] = u64::MAX;
        }
        for router in 0..HERD {
            self.introduce(router);
        }
        self.after(MEMBERSHIP_LAG_US, Happening::Membership);
    }
}
