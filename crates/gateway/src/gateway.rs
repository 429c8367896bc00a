//! Starts and stops a gateway.

use std::cell::Cell;
use std::cell::RefCell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::signal::unix::signal;
use tokio::signal::unix::SignalKind;
use tokio::sync::watch;
use tokio::sync::Notify;
use tokio::time::sleep;

use crate::build_records;
use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::codec::Codec;
use crate::configuration_feed;
use crate::connection_pool::ConnectionPool;
use crate::connector::Connector;
use crate::context::Context;
use crate::context::Phase;
use crate::crash_records;
use crate::engines::Engines;
use crate::feed;
use crate::fleet_feed;
use crate::frontend;
use crate::frontend::accept;
use crate::frontend::accept_until_closed;
use crate::frontend::progress_limits;
use crate::gossip_task;
use crate::listener::listen;
use crate::log_event::LogEvent;
use crate::log_sink::LogSink;
use crate::measured_store::MeasuredStore;
use crate::metrics::Metrics;
use crate::order_lease_task;
use crate::orders;
use crate::page_frontend;
use crate::page_frontend::serve_pages;
use crate::path_watch::PathWatches;
use crate::pause_watch::PauseWatch;
use crate::peers::Peers;
use crate::pending_replies::PendingReplies;
use crate::port_connections::PortConnections;
use crate::port_limits::caller_connections;
use crate::port_limits::page_connections;
use crate::port_limits::router_connections;
use crate::process_event::ProcessEvent;
use crate::process_event::StopPhase;
use crate::quota_task;
use crate::quotas::Quotas;
use crate::reach_task;
use crate::records;
use crate::router_feed;
use crate::settings::Settings;
use crate::settings_file::SettingsFile;
use crate::snapshot;
use crate::status_pages;
use crate::status_pages::Page;
use crate::store::Store;
use crate::store::Topic;
use crate::stream_record_task;
use crate::stream_records::StreamRecords;

/// Interval at which expired idle connections are closed.
const SWEEP_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after the stop signal during which the load balancer may still send callers
/// here, in milliseconds.
const DRAIN_MS: u64 = 2_900;

/// Time by which the process exits before the platform would kill it, in milliseconds.
const STOP_MARGIN_MS: u64 = 400;

/// Time before its end at which a stopping process closes its port, in milliseconds, so that what
/// the port had accepted can be answered.
const CLOSING_MS: u64 = 600;

/// Interval at which a stopping process checks its deadline and open connections.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a gateway can't run.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A port can't be opened.
    #[snafu(display("listen for {what} at {address}: {source}"))]
    Listen {
        /// What the port is for.
        what: &'static str,
        /// Address of the port.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
    /// Signals can't be received.
    #[snafu(display("receive signals: {source}"))]
    Signals {
        /// Error of the operating system.
        source: io::Error,
    },
}

/// External services that a gateway uses, and its log.
pub struct ExternalServices {
    /// Reads and writes the heads of requests and responses.
    pub codec: Rc<dyn Codec>,
    /// Client of the platform's store.
    pub store: Rc<dyn Store>,
    /// Client for management calls to model engines.
    pub engines: Rc<dyn Engines>,
    /// Opens connections to backend servers.
    pub connector: Rc<dyn Connector>,
    /// Log of this process.
    pub log: LogSink,
}

/// A running gateway.
pub struct Gateway {
    cx: Rc<Context>,
    /// Becomes true when requests are no longer accepted.
    leave_tx: watch::Sender<bool>,
    /// Becomes true when connections are no longer accepted.
    close_tx: watch::Sender<bool>,
}

impl Gateway {
    /// Opens all ports and starts all tasks. Must be called within a `LocalSet`.
    pub async fn start(settings: Settings, services: ExternalServices) -> Result<Gateway, Error> {
        let view = ClusterView::new(&settings);
        let peers = Peers::new(records::own_entry(&settings));
        let quotas = Quotas::new(peers.own_hash);
        let metrics = Metrics::new();
        let store = MeasuredStore::new(services.store, metrics.store_calls.clone());
        let peer_socket = open_peer_socket(&settings).await?;
        let cx = Rc::new(Context {
            peer_socket,
            pending_permits: PendingReplies::default(),
            pending_streams: PendingReplies::default(),
            stream_records: StreamRecords::default(),
            seeds: RefCell::new(settings.seeds.clone()),
            callers: caller_connections(&settings, &metrics),
            router_connections: router_connections(&settings, &metrics),
            readiness_connections: page_connections(&settings, &metrics, "readiness"),
            metrics_connections: page_connections(&settings, &metrics, "metrics"),
            bootstrap_connections: page_connections(&settings, &metrics, "bootstrap"),
            settings,
            codec: services.codec,
            store: Rc::new(store),
            engines: services.engines,
            connector: services.connector,
            pool: ConnectionPool::default(),
            peers,
            quotas,
            metrics,
            log: services.log,
            view: RefCell::new(view),
            era_began: Notify::new(),
            own_entry_removed: Notify::new(),
            watches_suspect: Notify::new(),
            room_freed: Notify::new(),
            phase: Cell::new(Phase::Serving),
            path_watches: PathWatches::default(),
            pause_watch: PauseWatch::new(now()),
        });
        let gateway = Gateway {
            cx,
            leave_tx: watch::channel(false).0,
            close_tx: watch::channel(false).0,
        };
        gateway.open_ports().await?;
        gateway.spawn_tasks();
        let settings = &gateway.cx.settings;
        ProcessEvent::Start {
            name: &settings.name,
            domain: &settings.domain,
            callers: settings.listen.callers,
            store: settings.store,
        }
        .write();
        for field in &settings.unknown_fields {
            ProcessEvent::SettingUnknown { field }.write();
        }
        Ok(gateway)
    }

    /// Runs until SIGTERM or SIGINT, then drains and returns. Reloads the settings
    /// from `path` on SIGHUP and when that file changes.
    pub async fn run(self, path: PathBuf) -> Result<(), Error> {
        let mut terminate = signal(SignalKind::terminate()).context(SignalsSnafu)?;
        let mut interrupt = signal(SignalKind::interrupt()).context(SignalsSnafu)?;
        let stop = async move {
            tokio::select! {
                _ = terminate.recv() => {}
                _ = interrupt.recv() => {}
            }
        };
        self.run_until(path, stop).await
    }

    /// Runs until `stop` completes, then drains and returns; otherwise like [`Gateway::run`].
    pub async fn run_until<F>(self, path: PathBuf, stop: F) -> Result<(), Error>
    where
        F: Future<Output = ()>,
    {
        let mut hangup = signal(SignalKind::hangup()).context(SignalsSnafu)?;
        let mut file = SettingsFile::new(path);
        let mut stop = pin!(stop);
        loop {
            tokio::select! {
                () = &mut stop => break,
                _ = hangup.recv() => file.reload(&self.cx, "signal"),
                () = file.changed() => file.reload(&self.cx, "file"),
            }
        }
        self.stop().await;
        Ok(())
    }

    async fn stop(self) {
        let signalled_at = now();
        let cx = &self.cx;
        cx.phase.set(Phase::Draining);
        cx.quotas.begin_stop();
        self.log_stop(StopPhase::Draining, signalled_at);
        // The signal may have come while the process was paused.
        let stop_ms = cx.settings.stop_ms.saturating_sub(STOP_MARGIN_MS);
        let alive_at = cx.pause_watch.alive_at();
        let exit_by = alive_at.plus_millis(stop_ms);
        let close_by = alive_at.plus_millis(stop_ms.saturating_sub(CLOSING_MS));
        let drain_until = signalled_at.plus_millis(DRAIN_MS).min(exit_by);
        while now() < drain_until {
            sleep(STOP_POLL_INTERVAL).await;
        }
        cx.phase.set(Phase::Leaving);
        self.log_stop(StopPhase::Leaving, signalled_at);
        self.leave_tx.send_replace(true);
        while self.connections() > 0 && now() < close_by {
            sleep(STOP_POLL_INTERVAL).await;
        }
        // Connections that the port had accepted are served before the process ends.
        self.close_tx.send_replace(true);
        sleep(STOP_POLL_INTERVAL).await;
        while self.connections() > 0 && now() < exit_by {
            sleep(STOP_POLL_INTERVAL).await;
        }
        self.log_stop(StopPhase::Done, signalled_at);
    }

    fn log_stop(&self, phase: StopPhase, signalled_at: Time) {
        ProcessEvent::Stop {
            phase,
            open: self.connections(),
            took_ms: now().millis_since(signalled_at),
        }
        .write();
    }

    /// Returns how many connections of callers are open.
    fn connections(&self) -> usize {
        self.cx.callers.connections()
    }

    async fn open_ports(&self) -> Result<(), Error> {
        let cx = &self.cx;
        let addresses = &cx.settings.listen;
        let callers = open("callers", addresses.callers)?;
        let leave = self.leave_tx.subscribe();
        let shared = Rc::clone(cx);
        let serve = move |stream, connection| {
            frontend::serve(Rc::clone(&shared), stream, connection, leave.clone())
        };
        let close = self.close_tx.subscribe();
        let connections = cx.callers.clone();
        tokio::task::spawn_local(accept_until_closed(callers, connections, close, serve));
        let readiness = open("readiness", addresses.readiness)?;
        let connections = &cx.readiness_connections;
        self.serve(readiness, connections, |cx, _| status_pages::readiness(cx));
        let metrics = SocketAddr::new(addresses.callers.ip(), addresses.metrics_port);
        let metrics = open("metrics", metrics)?;
        self.serve(metrics, &cx.metrics_connections, status_pages::operators);
        let routers = open("other routers", peer_address(&cx.settings))?;
        let shared = Rc::clone(cx);
        let connections = cx.router_connections.clone();
        tokio::task::spawn_local(accept(routers, connections, move |stream, connection| {
            page_frontend::serve_router(Rc::clone(&shared), stream, connection)
        }));
        if let Some(address) = addresses.bootstrap {
            let bootstrap = open("new routers", address)?;
            let connections = &cx.bootstrap_connections;
            self.serve(bootstrap, connections, status_pages::bootstrap);
        }
        Ok(())
    }

    fn serve<F>(&self, listener: TcpListener, connections: &PortConnections, page: F)
    where
        F: Fn(&Context, &str) -> Page + Copy + 'static,
    {
        let cx = Rc::clone(&self.cx);
        let connections = connections.clone();
        tokio::task::spawn_local(accept(listener, connections, move |stream, connection| {
            let cx = Rc::clone(&cx);
            async move { serve_pages(stream, connection, |path| page(&cx, path)).await }
        }));
    }

    fn spawn_tasks(&self) {
        let cx = &self.cx;
        tokio::task::spawn_local(gossip_task::run(Rc::clone(cx)));
        tokio::task::spawn_local(fleet_feed::run(Rc::clone(cx)));
        tokio::task::spawn_local(router_feed::run(Rc::clone(cx)));
        for topic in [Topic::Operators, Topic::Routers] {
            tokio::task::spawn_local(feed::run(Rc::clone(cx), topic));
        }
        tokio::task::spawn_local(records::keep_registered(Rc::clone(cx)));
        tokio::task::spawn_local(order_lease_task::contend_for_order_lease(Rc::clone(cx)));
        tokio::task::spawn_local(crash_records::run(Rc::clone(cx)));
        tokio::task::spawn_local(stream_record_task::run(Rc::clone(cx)));
        tokio::task::spawn_local(build_records::run(Rc::clone(cx)));
        tokio::task::spawn_local(orders::run(Rc::clone(cx)));
        tokio::task::spawn_local(snapshot::run(Rc::clone(cx)));
        tokio::task::spawn_local(configuration_feed::run(Rc::clone(cx)));
        tokio::task::spawn_local(reach_task::run(Rc::clone(cx)));
        tokio::task::spawn_local(quota_task::run(Rc::clone(cx)));
        tokio::task::spawn_local(sweep(Rc::clone(cx)));
        let cx = Rc::clone(cx);
        tokio::task::spawn_local(async move { cx.pause_watch.run().await });
    }
}

fn peer_address(settings: &Settings) -> SocketAddr {
    let listen = &settings.listen;
    SocketAddr::new(listen.callers.ip(), listen.peer_port)
}

async fn open_peer_socket(settings: &Settings) -> Result<UdpSocket, Error> {
    let address = peer_address(settings);
    UdpSocket::bind(address).await.context(ListenSnafu {
        what: "messages of other routers",
        address,
    })
}

fn open(what: &'static str, address: SocketAddr) -> Result<TcpListener, Error> {
    listen(address).context(ListenSnafu { what, address })
}

async fn sweep(cx: Rc<Context>) {
    loop {
        sleep(SWEEP_INTERVAL).await;
        cx.pool.sweep(&cx.view.borrow().fleet);
        let limits = progress_limits(&cx);
        cx.callers.sweep(limits);
        cx.router_connections.sweep(limits);
        cx.readiness_connections.sweep(limits);
        cx.metrics_connections.sweep(limits);
        cx.bootstrap_connections.sweep(limits);
    }
}
