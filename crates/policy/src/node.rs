//! The state machine of one router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use config::Config;

use crate::active_config::ActiveConfig;
use crate::admission::Admission;
use crate::call_table::CallTable;
use crate::cell_affinity::CellAffinity;
use crate::cell_loads::CellLoads;
use crate::cells::Cells;
use crate::fleet::Fleet;
use crate::mutation::Mutation;
use crate::placement::Placement;
use crate::quarantine_state::Quarantine;
use crate::replicas::ReplicaLoads;
use crate::retry_budget::RetryBudget;
use crate::routers::Routers;
use crate::shares::Shares;
use crate::store_ops::StoreOps;
use crate::strike_record::StrikeRecord;
use crate::strikes::Strikes;
use crate::timers::Timer;
use crate::timers::Timers;
use crate::weights_loads::WeightsLoads;
use crate::Action;
use crate::CallId;
use crate::Event;
use crate::Member;
use crate::ServerKey;
use crate::Settings;
use crate::Time;

/// Identity of a router.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of the router's VM.
    pub vm: String,
    /// Region of the VM.
    pub region: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Incarnation of the router, which grows with each start.
    pub incarnation: u64,
}

/// The state machine of one router. See [`Node::handle`].
pub struct Node {
    pub(crate) identity: Identity,
    pub(crate) rng: ChaCha8Rng,
    pub(crate) active_config: ActiveConfig,
    pub(crate) fleet: Fleet,
    pub(crate) routers: Routers,
    /// Latest membership list.
    pub(crate) members: Vec<Member>,
    pub(crate) settings: Settings,
    pub(crate) cells: Cells,
    pub(crate) cell_loads: CellLoads,
    pub(crate) cell_affinity: CellAffinity,
    /// Ids of the cells that this router owns.
    pub(crate) own_cells: BTreeSet<u64>,
    /// Engines of the last [`Action::Watch`].
    pub(crate) watched: Option<Vec<ServerKey>>,
    /// Calls whose placement query has no response yet, by ticket.
    pub(crate) tickets: BTreeMap<u64, CallId>,
    pub(crate) placement: Placement,
    pub(crate) replica_loads: ReplicaLoads,
    pub(crate) strikes: Strikes,
    pub(crate) strike_record: StrikeRecord,
    pub(crate) quarantine: Quarantine,
    pub(crate) admission: Admission,
    pub(crate) shares: Shares,
    pub(crate) retry_budget: RetryBudget,
    pub(crate) calls: CallTable,
    pub(crate) store_ops: StoreOps,
    pub(crate) weights_loads: WeightsLoads,
    pub(crate) timers: Timers,
    /// Number of times that snapshots were requested.
    pub(crate) snapshot_tries: u32,
    /// Index into the list of routers at which the next round of gossip begins.
    pub(crate) gossip_cursor: usize,
    pub(crate) has_snapshot: bool,
    pub(crate) shutting_down: bool,
    pub(crate) stopped: bool,
    #[cfg(feature = "mutations")]
    pub(crate) mutation: Option<Mutation>,
}

impl Node {
    /// Creates a router with default settings that knows only its own identity.
    pub fn new(identity: Identity, seed: u64) -> Node {
        Node::with_settings(identity, seed, Settings::default())
    }

    /// Creates a router with these settings.
    pub fn with_settings(identity: Identity, seed: u64, settings: Settings) -> Node {
        let mut timers = Timers::default();
        timers.add(Time::default(), Timer::CellLoads);
        timers.add(Time::default(), Timer::Gossip);
        Node {
            identity,
            rng: ChaCha8Rng::seed_from_u64(seed),
            active_config: ActiveConfig::default(),
            fleet: Fleet::default(),
            routers: Routers::default(),
            members: Vec::new(),
            settings,
            cells: Cells::default(),
            cell_loads: CellLoads::default(),
            cell_affinity: CellAffinity::default(),
            own_cells: BTreeSet::new(),
            watched: None,
            tickets: BTreeMap::new(),
            placement: Placement::default(),
            replica_loads: ReplicaLoads::default(),
            strikes: Strikes::default(),
            strike_record: StrikeRecord::default(),
            quarantine: Quarantine::new(),
            admission: Admission::default(),
            shares: Shares::default(),
            retry_budget: RetryBudget::default(),
            calls: CallTable::default(),
            store_ops: StoreOps::default(),
            weights_loads: WeightsLoads::new(),
            timers,
            snapshot_tries: 0,
            gossip_cursor: seed as usize,
            has_snapshot: false,
            shutting_down: false,
            stopped: false,
            #[cfg(feature = "mutations")]
            mutation: None,
        }
    }

    /// Returns the identity of the router.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Returns the version of the configuration in force, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.active_config.version()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<&Arc<Config>> {
        self.active_config.config()
    }

    /// Returns the name and address of a server.
    pub fn server_address(&self, key: ServerKey) -> (&str, std::net::SocketAddr) {
        let server = self.fleet.server(key);
        (&server.name, server.address)
    }

    /// Returns the time at which [`Event::Tick`] must be handled unless another
    /// event is handled first.
    pub fn next_deadline(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Handles one event and all timers that are due, and appends the resulting actions to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Call(req) => self.on_call(now, *req, out),
            Event::CallerGone(call) => self.on_caller_gone(call, out),
            Event::Backend {
                call,
                attempt,
                report,
            } => self.on_report(now, call, attempt, report, out),
            Event::Load(report) => self.on_load(now, &report, out),
            Event::Cache(report) => self.on_cache(&report),
            Event::Members(members) => self.on_members(now, &members, out),
            Event::Config { version, config } => self.on_config(version, &config, out),
            Event::Peer { from, message } => self.on_peer(now, &from, message, out),
            Event::Store { op, result } => self.on_store(now, op, result, out),
            Event::OrderAnswered {
                server,
                fencing,
                response,
            } => self.on_order_response(now, &server, fencing, response),
            Event::Shutdown { deadline } => self.on_shutdown(now, deadline),
            Event::Tick => {}
        }
        self.run_timers(now, out);
        self.stop_if_idle(out);
    }

    fn run_timers(&mut self, now: Time, out: &mut Vec<Action>) {
        while let Some(timer) = self.timers.pop_due(now) {
            match timer {
                Timer::Call(call) => self.on_call_deadline(now, call, out),
                Timer::Stall(call) => self.on_stall_check(now, call, out),
                Timer::StoreRetry(op) => self.on_store_retry(op, out),
                Timer::WeightsLoads => self.on_weights_poll(now, out),
                Timer::QueryTimeout(ticket) => self.on_query_timeout(now, ticket, out),
                Timer::CellLoads => self.announce_cell_loads(now, out),
                Timer::Quarantine => self.on_quarantine_poll(now, out),
                Timer::Gossip => self.on_gossip(now, out),
                Timer::Snapshot => self.request_snapshot(now, out),
                Timer::Shutdown => self.on_shutdown_deadline(out),
            }
        }
    }

    fn on_shutdown(&mut self, now: Time, deadline: Time) {
        self.shutting_down = true;
        let deadline = if self.has_mutation(Mutation::StopAtOnce) {
            now
        } else {
            deadline
        };
        self.timers.add(deadline, Timer::Shutdown);
    }

    fn stop_if_idle(&mut self, out: &mut Vec<Action>) {
        let idle = self.calls.is_empty() && self.store_ops.is_empty();
        if self.shutting_down && idle && !self.stopped {
            self.stopped = true;
            out.push(Action::Stopped);
        }
    }
}
