//! Carries the node's actions out.

use std::net::SocketAddr;
use std::sync::Arc;

use backend::Engine;
use config::Config;
use peer::Links;
use policy::AttemptId;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Member;
use policy::OpId;
use policy::Order;
use policy::PeerMessage;
use policy::Refusal;
use policy::StoreRequest;
use tokio::sync::watch;

use crate::order_task;
use crate::EngineWatches;
use crate::Metrics;
use crate::NodeHandle;
use crate::RouterState;
use crate::Store;
use crate::Tasks;
use crate::WatchedEngine;

/// Carries the node's actions out.
pub struct ActionExecutor {
    /// Tasks of the router.
    pub tasks: Tasks,
    /// The node's calls to the key-value service.
    pub store: Arc<Store>,
    /// Ways to other routers.
    pub links: Arc<Links>,
    /// Engines, for orders.
    pub engine: Arc<dyn Engine>,
    /// Engines whose load and caches are watched.
    pub watches: EngineWatches,
    /// State of the router.
    pub state: Arc<watch::Sender<RouterState>>,
    /// Counters.
    pub metrics: Arc<Metrics>,
}

impl ActionExecutor {
    /// Takes in that an attempt is sent.
    pub fn on_dispatch(&self, dispatch: &Dispatch) {
        log::debug!(
            "event=dispatched call={} attempt={} server={} workspace={}",
            dispatch.at.call.0,
            dispatch.at.attempt.0,
            dispatch.server_name,
            dispatch.workspace
        );
    }

    /// Takes in that a call is refused.
    pub fn on_refusal(&self, call: CallId, refusal: &Refusal) {
        let reason = refusal.reason().name();
        let outcome = refusal.outcome().name();
        self.metrics.on_refusal(reason, outcome);
        log::info!(
            "event=refused call={} reason={reason} outcome={outcome}",
            call.0
        );
    }

    /// Takes in that a call is tried again.
    pub fn on_retry(&self, call: CallId, failure: Failure) {
        self.metrics.on_retry(failure);
        log::info!("event=retried call={} reason={}", call.0, failure.name());
    }

    /// Takes in that an answer of an earlier attempt came.
    pub fn on_late_answer(&self, call: CallId, attempt: AttemptId) {
        self.metrics.on_late_answer();
        log::info!("event=late_answer call={} attempt={}", call.0, attempt.0);
    }

    /// Forgets routers that are not on the membership list.
    pub fn on_members(&self, members: &[Member]) {
        self.links
            .retain(|vm| members.iter().any(|member| member.name == vm));
    }

    /// Calls the key-value service.
    pub fn store(&self, op: OpId, request: StoreRequest, node: &NodeHandle) {
        let store = Arc::clone(&self.store);
        let node = node.clone();
        self.tasks.spawn(async move {
            let result = store.execute(request).await;
            node.send_event(Event::Store { op, result });
        });
    }

    /// Sends a message to another router.
    pub fn send_peer(&self, to: &str, address: SocketAddr, message: PeerMessage) {
        self.links.send(to, address, message);
    }

    /// Takes in that a configuration is in force.
    pub fn on_config_in_force(&self, version: u64, config: Option<Arc<Config>>) {
        self.metrics.on_config_in_force(version);
        self.state.send_modify(|state| {
            state.version = version;
            state.config = config;
        });
        log::info!("event=config_in_force version={version}");
    }

    /// Watches these engines and no others.
    pub fn watch(&mut self, engines: Vec<WatchedEngine>, node: &NodeHandle) {
        self.watches.set(engines, node, &self.tasks);
    }

    /// Gives an order to an engine.
    pub fn order(&self, order: Order, node: &NodeHandle) {
        let engine = Arc::clone(&self.engine);
        self.tasks
            .spawn(order_task::run(engine, order, node.clone()));
    }

    /// Takes in that all calls have ended.
    pub fn on_stopped(&self) {
        self.state.send_modify(|state| state.stopped = true);
        log::info!("event=calls_ended");
    }
}
