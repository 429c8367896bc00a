//! One router.

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
use crate::ConfigTask;
use crate::CountedKeyValue;
use crate::CountedMembership;
use crate::EngineWatches;
use crate::EventIds;
use crate::ExternalServices;
use crate::Front;
use crate::Handler;
use crate::Hands;
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

/// A router that could not be started.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A port can't be opened.
    #[snafu(display("bind {address}: {source}"))]
    Bind {
        /// Address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Metrics can't be registered.
    #[snafu(display("register metrics: {source}"))]
    Metrics {
        /// What the library said.
        source: prometheus::Error,
    },
    /// The actor can't be started.
    #[snafu(display("start the node's actor: {source}"))]
    Start {
        /// What the library said.
        source: SpawnErr,
    },
}

/// Time between the refusal of calls still in flight and the end of a shutdown, in microseconds.
const LAST_WORDS_US: u64 = 500_000;

/// One router, which runs until it is shut down or killed.
pub struct Router {
    address: SocketAddr,
    peer_address: SocketAddr,
    settings: Settings,
    actor: ActorRef<NodeMessage>,
    node: NodeHandle,
    state: Arc<watch::Sender<RouterState>>,
    tasks: Tasks,
    connections: Tasks,
    status: Tasks,
    drain: CancellationToken,
}

impl Router {
    /// Opens the ports and starts all tasks.
    pub async fn start(settings: Settings, outside: ExternalServices) -> Result<Router, Error> {
        let ports = Ports::open(&settings).await?;
        let metrics = Arc::new(Metrics::new().context(MetricsSnafu)?);
        let outside = counted(outside, &metrics);
        let own = SelfDescription::new(&settings, &ports);
        let (state, _) = watch::channel(RouterState::default());
        let state = Arc::new(state);
        let tasks = Tasks::default();
        let secret = Secret::new(&settings.peer_secret);
        let hands = Hands {
            tasks: tasks.clone(),
            store: Arc::new(Store::new(Arc::clone(&outside.key_value))),
            links: Arc::new(Links::new(
                own.introduction(),
                secret.clone(),
                metrics.clone(),
            )),
            engine: Arc::clone(&outside.engine),
            watches: EngineWatches::new(Arc::clone(&outside.engine)),
            state: Arc::clone(&state),
            metrics: Arc::clone(&metrics),
        };
        let args = NodeArguments {
            node: Node::new(own.identity(), rand::random()),
            hands,
        };
        let (actor, ended) = Actor::spawn(None, NodeActor, args)
            .await
            .context(StartSnafu)?;
        tasks.spawn(watch_actor(ended, Arc::clone(&state)));
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
        router.follow_platform(&outside, &own);
        router.serve_peers(ports.peers, secret, Arc::clone(&metrics));
        router.serve_callers(ports.callers, outside, metrics);
        log::info!(
            "event=started vm={} address={} peer_address={}",
            router.settings.vm,
            router.address,
            router.peer_address
        );
        Ok(router)
    }

    /// Returns the address of the callers' port.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address of the port for other routers.
    pub fn peer_address(&self) -> SocketAddr {
        self.peer_address
    }

    /// Returns the version of the configuration in force, 0 for none.
    pub fn config_version(&self) -> u64 {
        self.state.borrow().version
    }

    /// Waits until a configuration of this version or a later one is in force.
    pub async fn wait_for_config(&self, version: u64) {
        let mut state = self.state.subscribe();
        let reached = state.wait_for(|state| state.version >= version).await;
        reached.expect("the router holds the sender");
    }

    /// Waits until the router can't go on, which it can unless a decision has panicked.
    pub async fn failed(&self) {
        let mut state = self.state.subscribe();
        let failed = state.wait_for(|state| state.failed).await;
        failed.expect("the router holds the sender");
    }

    /// Ends the router without cutting calls in flight, by `deadline` at the latest.
    ///
    /// The balancer and the other routers are told first; new calls are
    /// refused after a while, and those in flight end by themselves.
    pub async fn shutdown(self, deadline: Time) {
        log::info!("event=shutdown_began vm={}", self.settings.vm);
        let cut_at = clock::instant(deadline);
        self.state.send_modify(|state| state.leaving = true);
        let notice = self.settings.limits.shutdown_notice();
        let _ = timeout_at(cut_at, sleep(notice)).await;
        self.node.event(Event::Shutdown {
            deadline: refuse_at(deadline),
        });
        let ended = async {
            let mut state = self.state.subscribe();
            let _ = state.wait_for(|state| state.stopped).await;
            self.drain.cancel();
            self.connections.join().await;
            self.status.join().await;
        };
        let in_time = timeout_at(cut_at, ended).await.is_ok();
        log::info!(
            "event=shutdown_ended vm={} in_time={in_time}",
            self.settings.vm
        );
        self.kill().await;
    }

    /// Ends the router at once and cuts all connections.
    pub async fn kill(self) {
        self.drain.cancel();
        self.connections.cut().await;
        self.status.cut().await;
        self.tasks.cut().await;
        self.actor.kill();
    }

    fn follow_platform(&self, outside: &ExternalServices, own: &SelfDescription) {
        let config = ConfigTask {
            key_value: Arc::clone(&outside.key_value),
            node: self.node.clone(),
            state: self.state.subscribe(),
        };
        let membership = MembershipTask {
            membership: Arc::clone(&outside.membership),
            node: self.node.clone(),
            state: self.state.subscribe(),
            member: own.member(),
        };
        let status = StatusTask {
            key_value: Arc::clone(&outside.key_value),
            state: self.state.subscribe(),
            status: own.status(),
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
            idle_ms: peer::IDLE_MS,
        };
        self.tasks.spawn(server.run(listener));
    }

    fn serve_callers(
        &self,
        listener: TcpListener,
        outside: ExternalServices,
        metrics: Arc<Metrics>,
    ) {
        let handler = Handler {
            node: self.node.clone(),
            outside,
            event_ids: Arc::new(EventIds::new(&self.settings.event_secret)),
            metrics,
            state: self.state.subscribe(),
            tasks: self.tasks.clone(),
            limits: self.settings.limits,
            last_call: AtomicU64::new(0),
        };
        let front = Front {
            listener,
            handler: Arc::new(handler),
            connections: self.connections.clone(),
            drain: self.drain.clone(),
        };
        self.tasks.spawn(front.run());
    }
}

/// Returns when calls still in flight are refused, so that their callers hear of it.
fn refuse_at(deadline: Time) -> Time {
    Time(deadline.0.saturating_sub(LAST_WORDS_US))
}

async fn watch_actor(ended: JoinHandle<()>, state: Arc<watch::Sender<RouterState>>) {
    // The actor is only ever killed together with this task.
    let _ = ended.await;
    log::error!("event=node_failed");
    state.send_modify(|state| {
        state.failed = true;
        state.leaving = true;
    });
}

fn counted(outside: ExternalServices, metrics: &Arc<Metrics>) -> ExternalServices {
    let metrics = || Arc::clone(metrics);
    ExternalServices {
        key_value: Arc::new(CountedKeyValue::new(outside.key_value, metrics())),
        membership: Arc::new(CountedMembership::new(outside.membership, metrics())),
        ..outside
    }
}
