//! Starts, runs and shuts down one router.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::Arc;

use peer::Links;
use peer::Secret;
use policy::Event;
use policy::Node;
use policy::Time;
use ractor::Actor;
use ractor::ActorRef;
use ractor::SpawnErr;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio::time::timeout_at;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::ActionExecutor;
use crate::ConfigTask;
use crate::CountedKeyValue;
use crate::CountedMembership;
use crate::EngineWatches;
use crate::EventIdCodec;
use crate::ExternalServices;
use crate::Frontend;
use crate::Handler;
use crate::MembershipTask;
use crate::Metrics;
use crate::NodeActor;
use crate::NodeArguments;
use crate::NodeHandle;
use crate::NodeMessage;
use crate::PeerInbox;
use crate::Ports;
use crate::RouterState;
use crate::SelfDescription;
use crate::Settings;
use crate::StatusTask;
use crate::Store;
use crate::Tasks;

/// An error while starting a router.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A listening port can't be opened.
    #[snafu(display("bind {address}: {source}"))]
    Bind {
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// The metrics can't be registered.
    #[snafu(display("register metrics: {source}"))]
    Metrics {
        /// Error of the metrics library.
        source: prometheus::Error,
    },
    /// The node's actor can't be started.
    #[snafu(display("start the node's actor: {source}"))]
    Start {
        /// Error of the actor library.
        source: SpawnErr,
    },
}

/// Time left before the shutdown deadline to send the refusals of calls still in flight, in
/// microseconds.
const REFUSAL_FLUSH_US: u64 = 500_000;

/// One running router: its ports, its node actor and its tasks. It runs until
/// [`Router::shutdown`] or [`Router::kill`] is called.
pub struct Router {
    address: SocketAddr,
    peer_address: SocketAddr,
    settings: Settings,
    actor: ActorRef<NodeMessage>,
    node: NodeHandle,
    state: Arc<watch::Sender<RouterState>>,
    /// Tasks of calls, and all others that run until the router is killed.
    tasks: Tasks,
    /// Tasks of callers' connections.
    connections: Tasks,
    /// Task that publishes the status; a shutdown waits until it has deleted the status.
    status: Tasks,
    /// When cancelled, connections close after their request in flight.
    drain: CancellationToken,
}

impl Router {
    /// Opens the ports, spawns the node's actor and starts all tasks.
    pub async fn start(
        settings: Settings,
        external_services: ExternalServices,
    ) -> Result<Router, Error> {
        let ports = Ports::open(&settings).await?;
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let external_services = with_call_counters(external_services, &metrics);
        let description = SelfDescription::new(&settings, &ports);
        let (state, _) = watch::channel(RouterState::default());
        let state = Arc::new(state);
        let tasks = Tasks::default();
        let secret = Secret::new(&settings.peer_secret);
        let executor = ActionExecutor {
            tasks: tasks.clone(),
            store: Arc::new(Store::new(Arc::clone(&external_services.key_value))),
            links: Arc::new(Links::new(
                description.introduction(),
                secret.clone(),
                metrics.clone(),
            )),
            engine: Arc::clone(&external_services.engine),
            watches: EngineWatches::new(Arc::clone(&external_services.engine)),
            state: Arc::clone(&state),
            metrics: Arc::clone(&metrics),
        };
        let args = NodeArguments {
            node: Node::new(description.identity(), rand::random()),
            executor,
        };
        let (actor, ended) = Actor::spawn(None, NodeActor, args)
            .await
            .context(StartSnafu)?;
        tasks.spawn(monitor_actor(ended, Arc::clone(&state)));
        let router = Router {
            address: ports.address,
            peer_address: ports.peer_address,
            settings,
            node: NodeHandle::new(actor.clone()),
            actor,
            state,
            tasks,
            connections: Tasks::default(),
            status: Tasks::default(),
            drain: CancellationToken::new(),
        };
        router.spawn_platform_tasks(&external_services, &description);
        router.serve_peers(ports.peers, secret, Arc::clone(&metrics));
        router.serve_callers(ports.callers, external_services, metrics);
        log::info!(
            "event=started vm={} address={} peer_address={}",
            router.settings.vm,
            router.address,
            router.peer_address
        );
        Ok(router)
    }

    /// Returns the address on which callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address on which other routers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the version of the configuration in force, 0 if there is none yet.
    pub fn config_version(&self) -> u64 {
        self.state.borrow().version
    }

    /// Waits until the configuration of this version or of a later one is in force.
    pub async fn wait_for_config(&self, version: u64) {
        let mut state = self.state.subscribe();
        let reached = state.wait_for(|state| state.version >= version).await;
        reached.expect("the router holds the sender");
    }

    /// Waits until the node's actor has panicked, after which no call can be decided.
    pub async fn wait_for_failure(&self) {
        let mut state = self.state.subscribe();
        let failed = state.wait_for(|state| state.failed).await;
        failed.expect("the router holds the sender");
    }

    /// Shuts the router down gracefully, by `deadline` at the latest.
    ///
    /// It first announces that it is leaving, to the load balancer and to the other routers.
    /// After the notice period new calls are refused, while calls in flight run to their end.
    /// Calls that are still in flight shortly before `deadline` are refused.
    pub async fn shutdown(self, deadline: Time) {
        log::info!("event=shutdown_began vm={}", self.settings.vm);
        let abort_at = clock::instant(deadline);
        self.state.send_modify(|state| state.leaving = true);
        let notice = self.settings.limits.shutdown_notice();
        let _ = timeout_at(abort_at, sleep(notice)).await;
        self.node.send_event(Event::Shutdown {
            deadline: refuse_at(deadline),
        });
        let ended = async {
            let mut state = self.state.subscribe();
            let _ = state.wait_for(|state| state.stopped).await;
            self.drain.cancel();
            self.connections.join().await;
            self.status.join().await;
        };
        let in_time = timeout_at(abort_at, ended).await.is_ok();
        log::info!(
            "event=shutdown_ended vm={} in_time={in_time}",
            self.settings.vm
        );
        self.kill().await;
    }

    /// Stops the router immediately, aborting all connections and tasks.
    pub async fn kill(self) {
        self.drain.cancel();
        self.connections.abort().await;
        self.status.abort().await;
        self.tasks.abort().await;
        self.actor.kill();
    }

    fn spawn_platform_tasks(
        &self,
        external_services: &ExternalServices,
        description: &SelfDescription,
    ) {
        let config = ConfigTask {
            key_value: Arc::clone(&external_services.key_value),
            node: self.node.clone(),
            state: self.state.subscribe(),
        };
        let membership = MembershipTask {
            membership: Arc::clone(&external_services.membership),
            node: self.node.clone(),
            state: self.state.subscribe(),
            member: description.member(),
        };
        let status = StatusTask {
            key_value: Arc::clone(&external_services.key_value),
            state: self.state.subscribe(),
            status: description.status(),
        };
        self.tasks.spawn(config.run());
        self.tasks.spawn(membership.run());
        self.status.spawn(status.run());
    }

    fn serve_peers(&self, listener: TcpListener, secret: Secret, metrics: Arc<Metrics>) {
        let server = peer::Server {
            secret,
            inbox: Arc::new(PeerInbox(self.node.clone())),
            observer: metrics,
            idle_timeout_ms: peer::IDLE_TIMEOUT_MS,
        };
        self.tasks.spawn(server.run(listener));
    }

    fn serve_callers(
        &self,
        listener: TcpListener,
        external_services: ExternalServices,
        metrics: Arc<Metrics>,
    ) {
        let handler = Handler {
            node: self.node.clone(),
            external_services,
            event_ids: Arc::new(EventIdCodec::new(&self.settings.event_secret)),
            metrics,
            state: self.state.subscribe(),
            tasks: self.tasks.clone(),
            limits: self.settings.limits,
            last_call_id: AtomicU64::new(0),
        };
        let frontend = Frontend {
            listener,
            handler: Arc::new(handler),
            connections: self.connections.clone(),
            drain: self.drain.clone(),
        };
        self.tasks.spawn(frontend.run());
    }
}

/// Returns when calls still in flight are refused: early enough before `deadline` for their
/// callers to receive the refusal.
fn refuse_at(deadline: Time) -> Time {
    Time(deadline.0.saturating_sub(REFUSAL_FLUSH_US))
}

async fn monitor_actor(ended: JoinHandle<()>, state: Arc<watch::Sender<RouterState>>) {
    // `Router::kill` aborts this task before it kills the actor, so an end seen here is a panic.
    let _ = ended.await;
    log::error!("event=node_failed");
    state.send_modify(|state| {
        state.failed = true;
        state.leaving = true;
    });
}

fn with_call_counters(
    external_services: ExternalServices,
    metrics: &Arc<Metrics>,
) -> ExternalServices {
    let metrics = || Arc::clone(metrics);
    ExternalServices {
        key_value: Arc::new(CountedKeyValue::new(external_services.key_value, metrics())),
        membership: Arc::new(CountedMembership::new(
            external_services.membership,
            metrics(),
        )),
        ..external_services
    }
}
