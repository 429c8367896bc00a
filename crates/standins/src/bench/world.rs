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
use policy::PeerMessage;

use crate::bench::deployment;
use crate::bench::engine::Engine;
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
use crate::bench::setup::LOAD_REPORT_US;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::RESTART_ROUTERS_AT_US;
use crate::bench::setup::ROUTERS;
use crate::bench::setup::STORE_US;
use crate::bench::setup::WARM_UP_US;
use crate::bench::store::Store;
use crate::bench::wire_size;
use crate::bench::workload::Request;
use crate::bench::world_event::WorldEvent;

/// Creates the router with an index, the first argument, for one of its incarnations.
pub type MakeRouter<'a> = dyn Fn(usize, u64) -> Box<dyn Router> + 'a;

/// State of one run.
pub struct World<'a> {
    pub(super) setup: &'a Setup,
    pub(super) requests: &'a [Request],
    pub(super) make_router: &'a MakeRouter<'a>,
    pub(super) rng: ChaCha8Rng,
    pub(super) now_us: u64,
    /// Times of the scheduled events with their ids; ids keep simultaneous events in order.
    pub(super) queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// Scheduled events by id.
    pub(super) events: HashMap<u64, WorldEvent>,
    pub(super) last_event_id: u64,
    pub(super) routers: Vec<Box<dyn Router>>,
    /// Incarnation of each router.
    pub(super) router_incarnations: Vec<u64>,
    /// For each router, whether it watches each engine.
    pub(super) watched: Vec<Vec<bool>>,
    /// Time of the next scheduled tick of each router; `u64::MAX` for none.
    pub(super) next_tick_us: Vec<u64>,
    pub(super) engines: Vec<Engine>,
    pub(super) store: Store,
    /// Whether each request has got its first token or a refusal.
    pub(super) resolved: Vec<bool>,
    pub(super) measures: Measures,
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
    pub(super) fn send_initial_state(&mut self, router: usize) {
        self.handle_input(router, Input::Config(deployment::config(self.setup)));
        let members = deployment::members(self.setup, &self.engines, &self.router_incarnations);
        self.handle_input(router, Input::Members(members));
    }

    /// Schedules an event `delay_us` from now.
    pub(super) fn schedule(&mut self, delay_us: u64, event: WorldEvent) {
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
    pub(super) fn handle_input(&mut self, router: usize, input: Input) {
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
    pub(super) fn to_engine_us(&self, router: usize, engine: usize) -> u64 {
        let from = self.setup.router_region(router);
        let to = self.setup.engine_region(engine);
        self.setup.latency_us(from, to)
    }

    /// Returns whether a request arrived after the warm-up.
    pub(super) fn is_measured(&self, request: usize) -> bool {
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
}
