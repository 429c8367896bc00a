//! The world of a run and its queue.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use policy::Event;
use policy::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::soak::config::REPLICAS;
use crate::soak::engine::Engine;
use crate::soak::happening::Boot;
use crate::soak::happening::Happening;
use crate::soak::ledger::Ledger;
use crate::soak::network::Network;
use crate::soak::request::Request;
use crate::soak::shell::Shell;
use crate::soak::store::Store;
use crate::soak::trace::Trace;
use crate::soak::Settings;
use crate::soak::Summary;

/// Time at which every run begins.
pub(crate) const START: Time = Time::from_millis(1_800_000_000_000);

/// Time for which a run winds down after its last step, in milliseconds.
const WIND_DOWN_MS: u64 = 60_000;

/// A replica of the plain service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica {
    pub(crate) up: bool,
}

/// A membership list as of some time.
pub(crate) type MemberList = Vec<policy::Member>;

/// The world of a run.
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    queue: BTreeMap<(Time, u64), Happening>,
    queued: u64,
    steps: u64,
    /// Whether no more faults and requests are made.
    pub(crate) winding_down: bool,
    pub(crate) network: Network,
    pub(crate) store: Store,
    pub(crate) shells: Vec<Shell>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) requests: BTreeMap<u64, Request>,
    pub(crate) members: BTreeMap<Time, MemberList>,
    /// Versions that become due, with the time at which they were seen.
    pub(crate) due: VecDeque<(Time, u64)>,
    /// Version that all routers without a fault must have.
    pub(crate) due_before: u64,
    pub(crate) ledger: Ledger,
    pub(crate) trace: Trace,
    pub(crate) faults: BTreeMap<&'static str, u64>,
    pub(crate) outcomes: BTreeMap<String, u64>,
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl World {
    /// Creates a world in which everything starts at once.
    pub(crate) fn new(settings: Settings) -> World {
        let mut world = World {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: START,
            queue: BTreeMap::new(),
            queued: 0,
            steps: 0,
            winding_down: false,
            network: Network::default(),
            store: Store::default(),
            shells: (0..settings.routers).map(Shell::new).collect(),
            engines: (0..settings.runners).map(Engine::new).collect(),
            replicas: vec![Replica { up: true }; REPLICAS],
            requests: BTreeMap::new(),
            members: BTreeMap::new(),
            due: VecDeque::new(),
            due_before: 0,
            ledger: Ledger::default(),
            trace: Trace::new(settings.keep_trace),
            faults: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            counts: BTreeMap::new(),
        };
        world.begin();
        world
    }

    fn begin(&mut self) {
        self.ledger.on_accepted(self.now, 1);
        for router in 0..self.settings.routers {
            self.after_us(0, Happening::RouterUp(router));
        }
        self.after_us(1_000_000, Happening::LoadReports);
        self.after_us(500_000, Happening::NewRequest);
        self.after_us(700_000, Happening::NewRequest);
        self.after_us(2_000_000, Happening::Operator { read: None });
        self.after_us(2_100_000, Happening::Operator { read: None });
        self.after_us(1_500_000, Happening::Fault);
        self.after_us(1_000_000, Happening::Check);
    }

    /// Runs to the end or to the first violation.
    pub(crate) fn run(&mut self) {
        let mut end = Time::MAX;
        while let Some(((at, _), happening)) = self.queue.pop_first() {
            if at > end || self.ledger.violation.is_some() {
                break;
            }
            self.now = at;
            self.steps += 1;
            if self.steps == self.settings.steps {
                self.winding_down = true;
                end = self.now.plus_millis(WIND_DOWN_MS);
            }
            self.happen(happening);
        }
        self.check_end();
    }

    fn happen(&mut self, happening: Happening) {
        match happening {
            Happening::Node(boot, event) => self.on_node(boot, event),
            Happening::Peer { to, from, message } => self.on_peer(to, from, message),
            Happening::Tick(boot) => self.on_tick(boot),
            Happening::Send { request, router } => self.on_send(request, router),
            Happening::Hear { request, heard } => self.on_hear(request, heard),
            Happening::NewRequest => self.on_new_request(),
            Happening::EngineStart {
                conn,
                dispatch,
                request,
            } => self.on_engine_start(conn, &dispatch, request),
            Happening::EngineCancel { conn, engine } => self.engines[engine].cancel(conn),
            Happening::EngineStep {
                engine,
                incarnation,
            } => self.on_engine_step(engine, incarnation),
            Happening::EngineGone(engine) => self.on_engine_gone(engine),
            Happening::EngineUp(engine) => self.on_engine_up(engine),
            Happening::Token { conn, token } => self.on_token(conn, token),
            Happening::ReplicaStart {
                conn,
                replica,
                request,
            } => self.on_replica_start(conn, replica, request),
            Happening::ReplicaEnd {
                conn,
                replica,
                request,
                dies,
            } => self.on_replica_end(conn, replica, request, dies),
            Happening::ReplicaUp(replica) => self.replicas[replica].up = true,
            Happening::Store { boot, op, request } => self.on_store_call(boot, op, &request),
            Happening::Membership(router) => self.on_membership(router),
            Happening::Watch(router) => self.on_watch(router),
            Happening::Operator { read } => self.on_operator(read),
            Happening::RouterUp(router) => self.on_router_up(router),
            Happening::LoadReports => self.on_load_reports(),
            Happening::Fault => self.on_fault(),
            Happening::Check => self.on_check(),
        }
    }

    /// Queues something to happen after a time.
    pub(crate) fn after_us(&mut self, us: u64, happening: Happening) {
        self.queued += 1;
        self.queue
            .insert((self.now.plus_micros(us), self.queued), happening);
    }

    /// Queues an event for a router's process.
    pub(crate) fn event_after(&mut self, us: u64, boot: Boot, event: Event) {
        self.after_us(us, Happening::Node(boot, event));
    }

    /// Returns a random number below `bound`.
    pub(crate) fn below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Tells true once in `n` times.
    pub(crate) fn one_in(&mut self, n: u64) -> bool {
        self.below(n) == 0
    }

    /// Returns a random router.
    pub(crate) fn any_router(&mut self) -> usize {
        self.below(self.settings.routers as u64) as usize
    }

    /// Adds a line to the trace.
    pub(crate) fn note(&mut self, line: String) {
        let ms = self.now.micros_since(START) / 1_000;
        let us = self.now.micros_since(START) % 1_000;
        self.trace.add(format!("{ms}.{us:03} {line}"));
    }

    /// Counts something.
    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Returns what was seen.
    pub(crate) fn summary(self) -> Summary {
        Summary {
            settings: self.settings,
            steps: self.steps,
            virtual_ms: self.now.millis_since(START),
            faults: self.faults,
            outcomes: self.outcomes,
            counts: self.counts,
            trace_hash: self.trace.hash(),
            trace: self.trace.lines(),
            violation: self.ledger.violation,
        }
    }
}
