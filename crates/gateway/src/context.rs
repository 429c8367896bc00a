//! State shared by the tasks of a gateway, which all run on one thread.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use policy::Arrival;
use policy::Time;
use relay::AnnouncementUpdate;
use relay::CompletenessUpdate;
use relay::Configuration;
use relay::PeerReading;
use relay::Permit;
use relay::RetryBudget;
use relay::ServerKey;
use relay::StreamKnowledge;
use tokio::net::UdpSocket;
use tokio::sync::Notify;

use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::codec::Codec;
use crate::connection_pool::ConnectionPool;
use crate::connector::Connector;
use crate::engines::Engines;
use crate::log_event::LogEvent;
use crate::log_sink::LogSink;
use crate::metrics::Metrics;
use crate::path_watch::PathWatches;
use crate::pause_watch::PauseWatch;
use crate::peers::Peers;
use crate::pending_replies::PendingReplies;
use crate::port_connections::PortConnections;
use crate::quotas::Quotas;
use crate::server_event::ServerEvent;
use crate::settings::Settings;
use crate::store::Store;
use crate::stream_records::StreamRecords;
use crate::view_event::ViewEvent;

/// Fraction of the configured retry ratio that the budget grants. The time windows
/// of the configured limit and of the budget don't start together, so granting all
/// of it could exceed the limit.
const RETRY_RATIO_FACTOR: f64 = 0.8;

/// Fraction of the configured retry reserve that the budget grants, for the same reason.
const RETRY_RESERVE_FACTOR: f64 = 0.7;

/// Stage of the process between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Serves callers.
    Serving,
    /// Has received the stop signal and still accepts new requests.
    Draining,
    /// Finishes the requests in flight and refuses new ones.
    Leaving,
}

/// State shared by the tasks of a gateway.
pub struct Context {
    /// Settings read at the start.
    pub settings: Settings,
    /// Addresses of routers from which a new router fetches its first snapshot; replaced when the
    /// settings are reloaded.
    pub seeds: RefCell<Vec<SocketAddr>>,
    /// Reads and writes the heads of requests and responses.
    pub codec: Rc<dyn Codec>,
    /// Client of the platform's store.
    pub store: Rc<dyn Store>,
    /// Client for management calls to model engines.
    pub engines: Rc<dyn Engines>,
    /// Opens connections to backend servers.
    pub connector: Rc<dyn Connector>,
    /// Pool of connections to backend servers.
    pub pool: ConnectionPool,
    /// Other routers, and what is to be announced to them.
    pub peers: Peers,
    /// Socket for datagrams from and to other routers.
    pub peer_socket: UdpSocket,
    /// Permits that were asked of other routers.
    pub pending_permits: PendingReplies<Permit>,
    /// What other routers are asked about streams.
    pub pending_streams: PendingReplies<StreamKnowledge>,
    /// Connections of callers, and what is held for them.
    pub callers: PortConnections,
    /// Connections of other routers.
    pub router_connections: PortConnections,
    /// Connections to the readiness page.
    pub readiness_connections: PortConnections,
    /// Connections to the pages for operators.
    pub metrics_connections: PortConnections,
    /// Connections to the pages for new routers.
    pub bootstrap_connections: PortConnections,
    /// Quotas of workspaces, and what this router may spend of them.
    pub quotas: Quotas,
    /// Streams that are written to the store, or were read from it.
    pub stream_records: StreamRecords,
    /// Counters and histograms.
    pub metrics: Metrics,
    /// Log of this process.
    pub log: LogSink,
    /// What this router knows of the configuration, servers, weights and peers.
    pub view: RefCell<ClusterView>,
    /// Wakes the tasks that depend on the era of the store when one begins.
    pub era_began: Notify,
    /// Wakes the task that keeps this router registered when its entry is missing in the store.
    pub own_entry_removed: Notify,
    /// Makes the tasks that watch the store repeat their calls: one of them should have responded.
    pub watches_suspect: Notify,
    /// Wakes the requests that wait for room when a server may have some.
    pub room_freed: Notify,
    /// Stage of this process between start and exit.
    pub phase: Cell<Phase>,
    /// Paths to backend servers whose responses aren't read at present.
    pub path_watches: PathWatches,
    /// Notices that this process was paused.
    pub pause_watch: PauseWatch,
}

impl Context {
    /// Puts a configuration in force unless the present one is as new or newer.
    pub fn apply_configuration(&self, mut configuration: Configuration, source: &str) {
        let mut view = self.view.borrow_mut();
        let known = view.configuration.as_ref().map_or(0, |c| c.version);
        let present = view.configuration.as_deref();
        // A copy that came through a router of an older build lacks the quotas.
        let lacks_quotas = present.is_some_and(|present| !present.has_quotas());
        let is_complete = source == "store" && lacks_quotas && configuration.has_quotas();
        if configuration.version == known && !is_complete {
            drop(view);
            return self.adopt_quotas(&configuration);
        }
        if configuration.version < known {
            return;
        }
        if let Some(former) = &view.configuration {
            configuration.keep_quotas_of(former);
        }
        self.quotas.report_invalid(&configuration, &self.metrics);
        self.quotas.set(&configuration);
        ViewEvent::Configuration {
            version: configuration.version,
            before: known,
            routes: configuration.routes.len(),
            workspaces: configuration.workspaces.len(),
            source,
            behind_ms: behind_ms(&view),
        }
        .write();
        view.configuration_since = now();
        view.configuration = Some(Rc::new(configuration));
        self.peers.wake.notify_one();
        if source == "peer" {
            self.watches_suspect.notify_waiters();
        }
    }

    /// Takes former quotas from another router's copy of the configuration in force: a router that
    /// started under one with invalid quotas doesn't know what they were before.
    fn adopt_quotas(&self, copy: &Configuration) {
        let mut view = self.view.borrow_mut();
        let Some(configuration) = &mut view.configuration else {
            return;
        };
        if !configuration.lacks_former_quotas() {
            return;
        }
        let configuration = Rc::make_mut(configuration);
        if configuration.keep_quotas_of(copy) {
            self.quotas.set(configuration);
        }
    }

    /// Returns whether the room of servers is limited for each router, and requests wait here for it.
    pub fn limits_room(&self) -> bool {
        self.settings.limit_server_room && self.has_quotas()
    }

    /// Returns whether some workspace has a quota by the configuration in force.
    pub fn has_quotas(&self) -> bool {
        let view = self.view.borrow();
        view.configuration.as_ref().is_some_and(|c| c.has_quotas())
    }

    /// Returns for how long this router has known that another one has a newer configuration, in
    /// milliseconds; 0 if none has.
    pub fn behind_ms(&self) -> u64 {
        behind_ms(&self.view.borrow())
    }

    /// Records a version of a model's weights that was read from the store, and logs it if it is new.
    pub fn apply_announced_weights(&self, news: Arrival, model: &str, version: u64) {
        let is_new = {
            let mut view = self.view.borrow_mut();
            view.weights.announce(news, model, version, 0)
        };
        if is_new {
            self.on_announced_weights(model, version, "store");
        }
    }

    /// Records the versions of weights that another router names, and up to when it knows them to be
    /// complete. Logs those that are new.
    pub fn apply_announcements(
        &self,
        message: Arrival,
        named: &[AnnouncementUpdate],
        completeness: &[CompletenessUpdate],
    ) {
        let mut new = Vec::new();
        {
            let weights = &mut self.view.borrow_mut().weights;
            for update in named {
                if weights.announce(message, &update.model, update.version, update.age_ms) {
                    new.push(update);
                }
            }
            weights.apply_completeness(message, named, completeness);
        }
        for update in new {
            self.on_announced_weights(&update.model, update.version, "peer");
        }
    }

    fn on_announced_weights(&self, model: &str, version: u64, source: &str) {
        let view = self.view.borrow();
        let former = version.saturating_sub(1);
        let age_ms = |at: Time| now().millis_since(at);
        ViewEvent::WeightsAnnounced {
            model,
            version,
            age_ms: view.weights.replaced_by(model, former).map_or(0, age_ms),
            oldest_age_ms: view.weights.current_at(model, former).map(age_ms),
            source,
        }
        .write();
        self.peers.wake.notify_one();
    }

    /// Records the weights that an engine reported. If they are new, ends the engine's
    /// expected switch and announces the weights to other routers. Returns whether they are new.
    pub fn record_weights(&self, key: ServerKey, model: &str, version: u64) -> bool {
        let mut view = self.view.borrow_mut();
        let Some(server) = view.fleet.get_mut(key) else {
            return false;
        };
        let is_new = server.record_weights(model, version);
        if is_new {
            server.switching_until = now();
            ServerEvent::WeightsLoaded {
                server: &server.registration.id,
                model,
                version,
            }
            .write();
            self.peers.announce_weights(key, model, version);
        }
        is_new
    }

    /// Returns whether requests can be served.
    pub fn is_ready(&self) -> bool {
        let view = self.view.borrow();
        self.phase.get() == Phase::Serving
            && view.configuration.is_some()
            && view.fleet.reading().is_some()
    }

    /// Returns whether this router may take the order lease while it is free.
    pub fn may_give_orders(&self) -> bool {
        self.peers.topology.borrow_mut().may_give_orders(now())
    }

    /// Returns the announcement of the router whose registrations this one uses; none if there is
    /// no fresh one, or if this router is to read the store itself and reaches it.
    pub fn peer_reading(&self) -> Option<PeerReading> {
        let now = now();
        let reader = self.peers.topology.borrow_mut().registration_reader(now);
        let view = self.view.borrow();
        if reader == self.peers.own_hash && !view.store_failing {
            return None;
        }
        let reads = view.reads_registrations && !view.store_failing;
        let own = reads.then_some(self.peers.own_hash);
        view.peer_readings.best(now, reader, own)
    }

    /// Returns the announcement of a hub that reads the store for this router; none if it is too
    /// old, if this router is a hub, or in a full mesh, where each router follows the operators
    /// and the other routers itself.
    pub fn fresh_hub_reading(&self) -> Option<PeerReading> {
        self.peer_reading().filter(|_| self.relies_on_hub())
    }

    /// Returns whether a hub is to read the store for this router.
    pub fn relies_on_hub(&self) -> bool {
        let mut topology = self.peers.topology.borrow_mut();
        !topology.is_full_mesh() && !topology.is_hub(now())
    }

    /// Runs `f` with the retry budget of a service, after dividing the reserve by the
    /// present number of routers.
    pub fn with_retry_budget<F, R>(&self, service: &Arc<str>, f: F) -> R
    where
        F: FnOnce(&mut RetryBudget) -> R,
    {
        let routers = self.peers.count();
        let retry_limits = self.settings.retry_limits;
        let reserve = (retry_limits.reserve * RETRY_RESERVE_FACTOR) as usize / routers;
        let mut view = self.view.borrow_mut();
        let budget = view.budgets.entry(Arc::clone(service)).or_insert_with(|| {
            RetryBudget::new((retry_limits.ratio * RETRY_RATIO_FACTOR * 100.0) as u32, 0)
        });
        budget.set_reserve(u32::try_from(reserve).unwrap_or(u32::MAX));
        f(budget)
    }
}

fn behind_ms(view: &ClusterView) -> u64 {
    let since = view.catch_up.behind_since();
    since.map_or(0, |since| now().millis_since(since))
}
