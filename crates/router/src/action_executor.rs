//! Executes the actions that the node decides on.

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

/// Executes the node's actions except for commands to a call's task, which the actor sends:
/// logs and counts decisions, and calls the key-value service, engines and other routers.
pub struct ActionExecutor {
    /// Tasks of the router.
    pub tasks: Tasks,
    /// Client through which the node's store requests are run.
    pub store: Arc<Store>,
    /// Connections to other routers.
    pub links: Arc<Links>,
    /// Client of the engines, for orders.
    pub engine: Arc<dyn Engine>,
    /// Running polls of the engines' load and of their cache events.
    pub watches: EngineWatches,
    /// Shared state of the router.
    pub state: Arc<watch::Sender<RouterState>>,
    /// Metrics of the router.
    pub metrics: Arc<Metrics>,
}

impl ActionExecutor {
    /// Logs that an attempt is dispatched.
    pub fn on_dispatch(&self, dispatch: &Dispatch) {
        log::debug!(
            "event=dispatched call={} attempt={} server={} workspace={}",
            dispatch.at.call.0,
            dispatch.at.attempt.0,
            dispatch.server_name,
            dispatch.workspace
        );
    }

    /// Counts and logs the refusal of a call.
    pub fn on_refusal(&self, call: CallId, refusal: &Refusal) {
        let reason = refusal.reason().name();
        let outcome = refusal.outcome().name();
        self.metrics.on_refusal(reason, outcome);
        log::info!(
            "event=refused call={} reason={reason} outcome={outcome}",
            call.0
        );
    }

    /// Counts and logs that a call is retried after `failure`.
    pub fn on_retry(&self, call: CallId, failure: Failure) {
        self.metrics.on_retry(failure);
        log::info!("event=retried call={} reason={}", call.0, failure.name());
    }

    /// Counts and logs a report of an earlier attempt, which the node ignored.
    pub fn on_late_report(&self, call: CallId, attempt: AttemptId) {
        self.metrics.on_late_report();
        log::info!("event=late_answer call={} attempt={}", call.0, attempt.0);
    }

    /// Drops the connections to routers that are not on the membership list.
    pub fn on_members(&self, members: &[Member]) {
        self.links
            .retain(|vm| members.iter().any(|member| member.name == vm));
    }

    /// Runs `request` on the key-value service and sends the result to the node as operation `op`.
    pub fn store(&self, op: OpId, request: StoreRequest, node: &NodeHandle) {
        let store = Arc::clone(&self.store);
        let node = node.clone();
        self.tasks.spawn(async move {
            let result = store.execute(request).await;
            node.send_event(Event::Store { op, result });
        });
    }

    /// Sends a message to the router on VM `to`.
    pub fn send_peer(&self, to: &str, address: SocketAddr, message: PeerMessage) {
        self.links.send(to, address, message);
    }

    /// Publishes the configuration in force to the router's tasks and metrics, and logs it.
    pub fn on_config_in_force(&self, version: u64, config: Option<Arc<Config>>) {
        self.metrics.set_config_version(version);
        self.state.send_modify(|state| {
            state.version = version;
            state.config = config;
        });
        log::info!("event=config_in_force version={version}");
    }

    /// Polls the load and the cache events of `engines`, and stops polling all others.
    pub fn watch(&mut self, engines: Vec<WatchedEngine>, node: &NodeHandle) {
        self.watches.set(engines, node, &self.tasks);
    }

    /// Sends an order to an engine, and then the engine's response to the node.
    pub fn order(&self, order: Order, node: &NodeHandle) {
        let engine = Arc::clone(&self.engine);
        self.tasks
            .spawn(order_task::run(engine, order, node.clone()));
    }

    /// Publishes to the router's tasks that all calls have ended.
    pub fn on_stopped(&self) {
        self.state.send_modify(|state| state.stopped = true);
        log::info!("event=calls_ended");
    }
}
