//! State that the tasks of a gateway share. All run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use relay::Configuration;
use relay::FleetChange;
use relay::Naming;
use relay::SendBudget;
use relay::ServerEntry;
use relay::ServerKey;
use relay::Strike;

use crate::clock::now;
use crate::cluster_view::Belief;
use crate::codec::Codec;
use crate::engines::Engines;
use crate::log_event::LogEvent;
use crate::log_sink::LogSink;
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::pool::Pool;
use crate::settings::Settings;
use crate::store::Store;
use crate::view_event::BeliefEvent;

/// Part of the allowed repeats for each request that is used: windows of the
/// rule and of the budget don't begin together.
const RATIO_PART: f64 = 0.8;

/// Part of the reserve that is used, for the same reason.
const RESERVE_PART: f64 = 0.7;

/// Where a process is between its start and its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It serves callers.
    Serving,
    /// It was told to stop, and still serves the callers that come.
    Draining,
    /// It finishes the requests that it has, and refuses others.
    Leaving,
}

/// State that the tasks of a gateway share.
pub struct Context {
    /// Settings as they were at the start.
    pub settings: Settings,
    /// Routers that may help a new one to begin, as the settings last named them.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Heads of requests and answers.
    pub codec: Rc<dyn Codec>,
    /// The platform's store.
    pub store: Rc<dyn Store>,
    /// Model engines.
    pub engines: Rc<dyn Engines>,
    /// Connections to backend servers.
    pub pool: Pool,
    /// Other routers.
    pub peers: Peers,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Log of this process.
    pub log: LogSink,
    /// What this router believes.
    pub belief: RefCell<Belief>,
    /// Where this process is between its start and its end.
    pub phase: Cell<Phase>,
}

impl Context {
    /// Takes in a configuration; older ones than the one in force are ignored.
    pub fn adopt_configuration(&self, configuration: Configuration, source: &str) {
        let mut belief = self.belief.borrow_mut();
        let known = belief.configuration.as_ref().map_or(0, |c| c.version);
        if configuration.version <= known {
            return;
        }
        BeliefEvent::Configuration {
            version: configuration.version,
            before: known,
            routes: configuration.routes.len(),
            workspaces: configuration.workspaces.len(),
            source,
        }
        .write();
        belief.configuration_since = now();
        belief.configuration = Some(Rc::new(configuration));
    }

    /// Takes in the newest version of a model's weights.
    pub fn adopt_weights(&self, model: &str, version: u64, naming: Naming, source: &str) {
        let mut belief = self.belief.borrow_mut();
        if belief.weights.name(now(), model, version, naming) {
            BeliefEvent::WeightsNamed {
                model,
                version,
                naming,
                source,
            }
            .write();
        }
    }

    /// Takes in the weights that an engine was seen to have, and tells other
    /// routers if they are news.
    pub fn saw_weights(&self, key: ServerKey, model: &str, version: u64) {
        let mut belief = self.belief.borrow_mut();
        let Some(server) = belief.fleet.get_mut(key) else {
            return;
        };
        if server.saw_weights(model, version) {
            server.switching_until = now();
            BeliefEvent::WeightsTaken {
                server: &server.entry.id,
                model,
                version,
            }
            .write();
            self.peers.tell_weights(key, model, version);
        }
    }

    /// Takes in that a request was running on a backend server which broke off,
    /// and tells other routers if it is news.
    pub fn strike(&self, strike: Strike) {
        if self.belief.borrow_mut().strikes.add(now(), strike) {
            BeliefEvent::Strike(strike).write();
            self.peers.tell_strike(strike);
        }
    }

    /// Takes in a backend server's registration.
    pub fn adopt_server(&self, entry: ServerEntry, source: &str) {
        let change = self.belief.borrow_mut().fleet.apply(now(), entry);
        self.note_change(change, source);
    }

    /// Takes in the end of a backend server's registration.
    pub fn drop_server(&self, id: &str, source: &str) {
        let change = {
            let mut belief = self.belief.borrow_mut();
            let away_until = belief.store_away_until;
            belief.fleet.remove_or_hold(now(), id, away_until)
        };
        self.note_change(change, source);
    }

    /// Takes in all registrations.
    pub fn replace_servers(&self, entries: Vec<ServerEntry>, source: &str) {
        let changes = {
            let mut belief = self.belief.borrow_mut();
            let away_until = belief.store_away_until;
            belief.fleet_known = true;
            belief.fleet.replace(now(), entries, away_until)
        };
        for change in changes {
            self.note_change(Some(change), source);
        }
    }

    /// Tells whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let belief = self.belief.borrow();
        self.phase.get() == Phase::Serving && belief.configuration.is_some() && belief.fleet_known
    }

    /// Tells whether this router takes over the giving of orders when nobody
    /// does: any of few routers, the hubs of many.
    pub fn may_give_orders(&self) -> bool {
        let mut topology = self.peers.topology.borrow_mut();
        topology.is_direct() || topology.is_hub(now())
    }

    /// Runs `f` with the budget of a service.
    pub fn with_budget<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut SendBudget) -> R,
    {
        let routers = self.peers.count();
        let repeats = self.settings.repeats;
        let reserve = (repeats.reserve * RESERVE_PART) as usize / routers;
        let mut belief = self.belief.borrow_mut();
        let budget = belief
            .budgets
            .entry(Arc::clone(service))
            .or_insert_with(|| SendBudget::new((repeats.ratio * RATIO_PART * 100.0) as u32, 0));
        budget.set_reserve(u32::try_from(reserve).unwrap_or(u32::MAX));
        f(budget)
    }

    fn note_change(&self, change: Option<FleetChange>, source: &str) {
        match change {
            None => {}
            Some(FleetChange::Added(key)) => {
                let belief = self.belief.borrow();
                if let Some(server) = belief.fleet.get(key) {
                    let entry = &server.entry;
                    BeliefEvent::ServerAdded { entry, source }.write();
                }
            }
            Some(FleetChange::Draining(key)) => {
                let belief = self.belief.borrow();
                if let Some(server) = belief.fleet.get(key) {
                    let server = &*server.entry.id;
                    BeliefEvent::ServerDraining { server, source }.write();
                }
            }
            Some(FleetChange::Removed(id)) => {
                let server = &*id;
                BeliefEvent::ServerRemoved { server, source }.write();
                self.pool.sweep(&self.belief.borrow().fleet);
            }
        }
    }
}
