//! Log events for start, stop, settings and failures of a process. Times are in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use log::Level;
use relay::Revision;

use crate::connections_closed::ConnectionsClosed;
use crate::log_event::LogEvent;
use crate::log_event::LogValue;

/// An event of the process itself, or a failure of something that it uses.
#[derive(Clone, Debug)]
pub enum ProcessEvent<'a> {
    /// The store no longer has the changes since a revision.
    HistoryGone {
        /// Topic that was watched.
        topic: &'a str,
        /// Revision after which changes were requested.
        after: Revision,
    },
    /// The store has stopped responding.
    StoreLost {
        /// Topic that was read.
        topic: &'a str,
        /// Error with the address of the store.
        reason: &'a dyn LogValue,
    },
    /// The store responds again.
    StoreRegained {
        /// Topic that was read.
        topic: &'a str,
        /// Time since the last response before the outage.
        away_ms: u64,
    },
    /// The store is back from an older copy of its contents.
    StoreEra {
        /// Era before.
        before: u64,
        /// Era that has begun.
        era: u64,
        /// Where it was learned: `store` or `peer`.
        source: &'a str,
    },
    /// This process runs again after a pause, by a signal or with its VM. What it reads now may have
    /// waited for as long.
    Resumed {
        /// Time since it last ran for certain.
        paused_ms: u64,
    },
    /// This router has written its entry again, as the store may have lost it.
    EntryRewritten {
        /// Era in which it was written.
        era: u64,
    },
    /// An entry of the store, or a router's record, can't be decoded.
    EntryUnreadable {
        /// Key of the entry, or name of the router.
        key: &'a str,
        /// Error of the decoder.
        reason: &'a dyn LogValue,
    },
    /// This process has started.
    Start {
        /// Name of this router.
        name: &'a str,
        /// Failure domain of this router.
        domain: &'a str,
        /// Address that accepts callers.
        callers: SocketAddr,
        /// Address of the store.
        store: SocketAddr,
    },
    /// The settings file has an unknown field, which is ignored.
    SettingUnknown {
        /// Name of the field.
        field: &'a str,
    },
    /// The settings were reloaded.
    Reloaded {
        /// What caused the reload: `signal` or `file`.
        cause: &'a str,
        /// Whether the list of seeds differs from the previous one.
        seeds_changed: bool,
        /// Whether a setting has changed that takes effect only after a restart.
        needs_restart: bool,
    },
    /// A reload found invalid settings; the previous ones stay.
    ReloadRejected {
        /// What caused the reload: `signal` or `file`.
        cause: &'a str,
        /// Error in the settings.
        reason: &'a dyn LogValue,
    },
    /// This process is stopping.
    Stop {
        /// Phase that has begun.
        phase: StopPhase,
        /// Open connections of callers.
        open: usize,
        /// Time since the stop signal.
        took_ms: u64,
    },
    /// Connections were closed by this router since the last such line.
    ConnectionsClosed(ConnectionsClosed<'a>),
    /// A step failed.
    Failed {
        /// Step that failed.
        step: Step,
        /// Address or name of the other side, if there is one.
        peer: Option<&'a dyn LogValue>,
        /// Error of the step.
        reason: &'a dyn LogValue,
    },
}

/// Phase of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// New requests are still accepted.
    Draining,
    /// Requests in flight are finished, new ones refused.
    Leaving,
    /// The process is about to exit.
    Done,
}

/// An operation whose failure is logged, with an event name of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Accepting a connection.
    Accept,
    /// Setting the socket options of a connection.
    Socket,
    /// Serving an accepted connection.
    Connection,
    /// Driving an open connection to another process.
    ClientConnection,
    /// A connection to a backend server that is passed on to another router.
    Tunnel,
    /// Registering this router in the store.
    Register,
    /// Renewing a lease.
    Renewal,
    /// Taking the order lease.
    OrderLease,
    /// Releasing the order lease.
    Release,
    /// Writing or deleting the record of a request that crashes servers.
    CrashRecord,
    /// Writing or reading the records of streams.
    StreamRecords,
    /// Writing, deleting or reading the records of builds.
    BuildRecords,
    /// Requesting an engine's report.
    Report,
    /// Sending an order to an engine.
    Order,
    /// Encoding a gossip message.
    Gossip,
    /// Sending a gossip message.
    GossipSend,
    /// Receiving a gossip message.
    GossipReceive,
    /// Decoding a gossip message.
    GossipRead,
    /// Encoding a snapshot or the registrations for another router.
    Snapshot,
    /// Fetching another router's snapshot.
    SnapshotFetch,
    /// Fetching the registrations from another router.
    ServersFetch,
    /// Fetching the list of routers from another router.
    RoutersFetch,
    /// Encoding the metrics.
    Metrics,
    /// Encoding a header.
    Header,
}

impl Step {
    fn event(self) -> &'static str {
        match self {
            Step::Accept => "accept_failed",
            Step::Socket => "socket_failed",
            Step::Connection => "connection_failed",
            Step::ClientConnection => "connection_ended",
            Step::Tunnel => "tunnel_broken",
            Step::Register => "register_failed",
            Step::Renewal => "renewal_failed",
            Step::OrderLease => "take_over_failed",
            Step::Release => "release_failed",
            Step::CrashRecord => "crash_record_failed",
            Step::StreamRecords => "stream_records_failed",
            Step::BuildRecords => "build_records_failed",
            Step::Report => "report_failed",
            Step::Order => "order_failed",
            Step::Gossip => "gossip_failed",
            Step::GossipSend => "gossip_unsent",
            Step::GossipReceive => "gossip_receive_failed",
            Step::GossipRead => "gossip_unreadable",
            Step::Snapshot => "snapshot_failed",
            Step::SnapshotFetch => "snapshot_unanswered",
            Step::ServersFetch => "servers_unanswered",
            Step::RoutersFetch => "routers_unanswered",
            Step::Metrics => "metrics_failed",
            Step::Header => "header_unwritable",
        }
    }

    fn level(self) -> Level {
        match self {
            Step::Socket
            | Step::Connection
            | Step::ClientConnection
            | Step::GossipSend
            | Step::GossipReceive => Level::Debug,
            Step::Report | Step::Order => Level::Info,
            Step::Gossip | Step::Snapshot | Step::Metrics | Step::Header => Level::Error,
            _ => Level::Warn,
        }
    }
}

/// Logs the failure of a step.
pub fn log_failure(step: Step, reason: &dyn LogValue) {
    let peer = None;
    ProcessEvent::Failed { step, peer, reason }.write();
}

/// Logs the failure of a step between this process and `peer`.
pub fn log_peer_failure(step: Step, peer: &dyn LogValue, reason: &dyn LogValue) {
    let peer = Some(peer);
    ProcessEvent::Failed { step, peer, reason }.write();
}

impl LogEvent for ProcessEvent<'_> {
    fn level(&self) -> Level {
        match self {
            ProcessEvent::StoreLost { .. }
            | ProcessEvent::EntryUnreadable { .. }
            | ProcessEvent::SettingUnknown { .. }
            | ProcessEvent::ConnectionsClosed(_)
            | ProcessEvent::ReloadRejected { .. } => Level::Warn,
            ProcessEvent::Failed { step, .. } => step.level(),
            _ => Level::Info,
        }
    }
}

impl Display for ProcessEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            ProcessEvent::HistoryGone { topic, after } => {
                write!(f, "event=history_gone topic={topic} after={after}")
            }
            ProcessEvent::StoreLost { topic, reason } => {
                write!(f, "event=store_lost topic={topic} reason={:?}", reason.to_string())
            }
            ProcessEvent::StoreRegained { topic, away_ms } => {
                write!(f, "event=store_regained topic={topic} away_ms={away_ms}")
            }
            ProcessEvent::Resumed { paused_ms } => {
                write!(f, "event=resumed paused_ms={paused_ms}")
            }
            ProcessEvent::StoreEra {
                before,
                era,
                source,
            } => write!(
                f,
                "event=store_era before={before} era={era} source={source}"
            ),
            ProcessEvent::EntryRewritten { era } => write!(f, "event=entry_rewritten era={era}"),
            ProcessEvent::EntryUnreadable { key, reason } => write!(
                f,
                "event=entry_unreadable key={key:?} reason={:?}",
                reason.to_string()
            ),
            ProcessEvent::Start {
                name,
                domain,
                callers,
                store,
            } => write_start(f, name, domain, *callers, *store),
            ProcessEvent::SettingUnknown { field } => {
                write!(f, "event=setting_unknown field={field:?}")
            }
            ProcessEvent::Reloaded {
                cause,
                seeds_changed,
                needs_restart,
            } => write!(
                f,
                "event=reload cause={cause} outcome=adopted seeds_changed={seeds_changed} needs_restart={needs_restart}"
            ),
            ProcessEvent::ReloadRejected { cause, reason } => write!(
                f,
                "event=reload cause={cause} outcome=rejected reason={:?}",
                reason.to_string()
            ),
            ProcessEvent::Stop {
                phase,
                open,
                took_ms,
            } => write!(f, "event=stop phase={phase} open={open} took_ms={took_ms}"),
            ProcessEvent::ConnectionsClosed(closed) => closed.fmt(f),
            ProcessEvent::Failed { step, peer, reason } => write_failure(f, *step, *peer, *reason),
        }
    }
}

fn write_start(
    f: &mut Formatter<'_>,
    name: &str,
    domain: &str,
    callers: SocketAddr,
    store: SocketAddr,
) -> fmt::Result {
    write!(
        f,
        "event=start version={} name={name} domain={domain} callers={callers} store={store}",
        env!("CARGO_PKG_VERSION")
    )
}

fn write_failure(
    f: &mut Formatter<'_>,
    step: Step,
    peer: Option<&dyn LogValue>,
    reason: &dyn LogValue,
) -> fmt::Result {
    write!(f, "event={}", step.event())?;
    if let Some(peer) = peer {
        write!(f, " peer={peer}")?;
    }
    write!(f, " reason={:?}", reason.to_string())
}

impl Display for StopPhase {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StopPhase::Draining => "draining",
            StopPhase::Leaving => "leaving",
            StopPhase::Done => "done",
        })
    }
}
