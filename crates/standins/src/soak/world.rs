//! State of a simulation run and its event queue.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use policy::Event;
use policy::Time;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use crate::soak::config::REPLICAS;
use crate::soak::engine::Engine;
use crate::soak::ledger::Ledger;
use crate::soak::network::Network;
use crate::soak::request::Request;
use crate::soak::router_vm::RouterVm;
use crate::soak::scheduled_event::Boot;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::store::Store;
use crate::soak::trace::Trace;
use crate::soak::Settings;
use crate::soak::Summary;

/// Virtual time at which every run begins.
pub(crate) const START: Time = Time::from_millis(1_800_000_000_000);

/// Virtual time for pending calls to finish once no new requests start, in milliseconds.
const WIND_DOWN_MS: u64 = 60_000;

/// A replica of the plain service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Replica {
    /// Whether the replica accepts calls.
    pub(crate) up: bool,
}

/// Contents of the membership list at some time.
pub(crate) type MemberList = Vec<policy::Member>;

/// State of a simulation run.
pub(crate) struct World {
    pub(crate) settings: Settings,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) now: Time,
    /// Events by time and, at the same time, in the order in which they were scheduled.
    queue: BTreeMap<(Time, u64), ScheduledEvent>,
    /// Number of events scheduled so far.
    last_sequence: u64,
    /// Number of events processed so far.
    steps: u64,
    /// Whether no more faults and requests start.
    pub(crate) winding_down: bool,
    pub(crate) network: Network,
    pub(crate) store: Store,
    /// VMs of the routers.
    pub(crate) vms: Vec<RouterVm>,
    pub(crate) engines: Vec<Engine>,
    pub(crate) replicas: Vec<Replica>,
    /// Callers' requests by id.
    pub(crate) requests: BTreeMap<u64, Request>,
    /// Membership lists by the time of the change.
    pub(crate) members: BTreeMap<Time, MemberList>,
    /// Recent configuration versions with the time at which routers could know them.
    pub(crate) observed_versions: VecDeque<(Time, u64)>,
    /// Configuration version that all undisturbed routers must have applied by now.
    pub(crate) required_version: u64,
    pub(crate) ledger: Ledger,
    pub(crate) trace: Trace,
    /// Number of injected faults by kind.
    pub(crate) faults: BTreeMap<&'static str, u64>,
    /// Number of callers' submissions by request kind and result.
    pub(crate) outcomes: BTreeMap<String, u64>,
    /// Other counts by name.
    pub(crate) counts: BTreeMap<&'static str, u64>,
}

impl World {
    /// Creates a world whose routers, engines and replicas all start at [`START`].
    pub(crate) fn new(settings: Settings) -> World {
        let mut world = World {
            settings,
            rng: ChaCha8Rng::seed_from_u64(settings.seed),
            now: START,
            queue: BTreeMap::new(),
            last_sequence: 0,
            steps: 0,
            winding_down: false,
            network: Network::default(),
            store: Store::default(),
            vms: (0..settings.routers).map(RouterVm::new).collect(),
            engines: (0..settings.runners).map(Engine::new).collect(),
            replicas: vec![Replica { up: true }; REPLICAS],
            requests: BTreeMap::new(),
            members: BTreeMap::new(),
            observed_versions: VecDeque::new(),
            required_version: 0,
            ledger: Ledger::default(),
            trace: Trace::new(settings.keep_trace),
            faults: BTreeMap::new(),
            outcomes: BTreeMap::new(),
            counts: BTreeMap::new(),
        };
        world.schedule_initial_events();
        world
    }

    fn schedule_initial_events(&mut self) {
        self.ledger.on_accepted(self.now, 1);
        for router in 0..self.settings.routers {
            self.schedule_after_us(0, ScheduledEvent::RouterUp(router));
        }
        self.schedule_after_us(1_000_000, ScheduledEvent::LoadReports);
        self.schedule_after_us(500_000, ScheduledEvent::NewRequest);
        self.schedule_after_us(700_000, ScheduledEvent::NewRequest);
        self.schedule_after_us(2_000_000, ScheduledEvent::Operator { read_version: None });
        self.schedule_after_us(2_100_000, ScheduledEvent::Operator { read_version: None });
        self.schedule_after_us(1_500_000, ScheduledEvent::Fault);
        self.schedule_after_us(1_000_000, ScheduledEvent::Check);
    }

    /// Processes events until the run ends or violates a guarantee.
    pub(crate) fn run(&mut self) {
        let mut end = Time::MAX;
        while let Some(((at, _), scheduled)) = self.queue.pop_first() {
            if at > end || self.ledger.violation.is_some() {
                break;
            }
            self.now = at;
            self.steps += 1;
            if self.steps == self.settings.steps {
                self.winding_down = true;
                end = self.now.plus_millis(WIND_DOWN_MS);
            }
            self.dispatch_event(scheduled);
        }
        self.check_end();
    }

    /// Calls the handler of an event.
    fn dispatch_event(&mut self, scheduled: ScheduledEvent) {
        match scheduled {
            ScheduledEvent::RouterEvent(boot, event) => self.on_router_event(boot, event),
            ScheduledEvent::Peer { to, from, message } => self.on_peer(to, from, message),
            ScheduledEvent::Tick(boot) => self.on_tick(boot),
            ScheduledEvent::Submit { request, router } => self.on_submit(request, router),
            ScheduledEvent::CallerResult { request, result } => {
                self.on_caller_result(request, result)
            }
            ScheduledEvent::NewRequest => self.on_new_request(),
            ScheduledEvent::EngineStart {
                conn,
                dispatch,
                request,
            } => self.on_engine_start(conn, &dispatch, request),
            ScheduledEvent::EngineCancel { conn, engine } => self.engines[engine].cancel(conn),
            ScheduledEvent::EngineStep {
                engine,
                incarnation,
            } => self.on_engine_step(engine, incarnation),
            ScheduledEvent::EngineRemoved(engine) => self.on_engine_removed(engine),
            ScheduledEvent::EngineUp(engine) => self.on_engine_up(engine),
            ScheduledEvent::Token { conn, token } => self.on_token(conn, token),
            ScheduledEvent::ReplicaStart {
                conn,
                replica,
                request,
            } => self.on_replica_start(conn, replica, request),
            ScheduledEvent::ReplicaEnd {
                conn,
                replica,
                request,
                crashes_after_running,
            } => self.on_replica_end(conn, replica, request, crashes_after_running),
            ScheduledEvent::ReplicaUp(replica) => self.replicas[replica].up = true,
            ScheduledEvent::Store { boot, op, request } => self.on_store_call(boot, op, &request),
            ScheduledEvent::Membership(router) => self.on_membership(router),
            ScheduledEvent::Watch(router) => self.on_watch(router),
            ScheduledEvent::Operator { read_version } => self.on_operator(read_version),
            ScheduledEvent::RouterUp(router) => self.on_router_up(router),
            ScheduledEvent::LoadReports => self.on_load_reports(),
            ScheduledEvent::Fault => self.on_fault(),
            ScheduledEvent::Check => self.on_check(),
        }
    }

    /// Schedules an event after `us` microseconds.
    pub(crate) fn schedule_after_us(&mut self, us: u64, scheduled: ScheduledEvent) {
        self.last_sequence += 1;
        self.queue
            .insert((self.now.plus_micros(us), self.last_sequence), scheduled);
    }

    /// Schedules an event for a router's process after `us` microseconds.
    pub(crate) fn send_event_after_us(&mut self, us: u64, boot: Boot, event: Event) {
        self.schedule_after_us(us, ScheduledEvent::RouterEvent(boot, event));
    }

    /// Returns a random number from 0 to `bound - 1`.
    pub(crate) fn random_below(&mut self, bound: u64) -> u64 {
        self.rng.random_range(0..bound)
    }

    /// Returns `true` with a probability of 1 in `n`.
    pub(crate) fn one_in(&mut self, n: u64) -> bool {
        self.random_below(n) == 0
    }

    /// Returns the index of a random router.
    pub(crate) fn random_router(&mut self) -> usize {
        self.random_below(self.settings.routers as u64) as usize
    }

    /// Appends a line to the trace, with the virtual time since the start in milliseconds.
    pub(crate) fn add_trace_line(&mut self, line: String) {
        let ms = self.now.micros_since(START) / 1_000;
        let us = self.now.micros_since(START) % 1_000;
        self.trace.add(format!("{ms}.{us:03} {line}"));
    }

    /// Increments the count `what` of the summary.
    pub(crate) fn count(&mut self, what: &'static str) {
        *self.counts.entry(what).or_default() += 1;
    }

    /// Returns the results of the run.
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
