//! The life of a process and what fails around it, as lines of the log. Times are
//! in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;
use std::net::SocketAddr;

use log::Level;

use crate::log_event::LogEvent;
use crate::log_event::Reason;
use crate::store::Revision;

/// A step of this process, or something that fails around it.
#[derive(Clone, Debug)]
pub enum ProcessEvent<'a> {
    /// The store no longer knows what changed since a revision.
    HistoryGone {
        /// What was watched.
        topic: &'a str,
        /// Revision after which changes were wanted.
        after: Revision,
    },
    /// The store doesn't answer any more.
    StoreLost {
        /// What was read.
        topic: &'a str,
        /// Why, with the peer.
        reason: &'a dyn Reason,
    },
    /// The store answers again.
    StoreRegained {
        /// What was read.
        topic: &'a str,
        /// Time without an answer.
        away_ms: u64,
    },
    /// An entry of the store, or a router's record, can't be read.
    EntryUnreadable {
        /// Its key.
        key: &'a str,
        /// Why.
        reason: &'a dyn Reason,
    },
    /// This process begins.
    Start {
        /// Its name.
        name: &'a str,
        /// Failure domain in which it stands.
        domain: &'a str,
        /// Address for callers.
        callers: SocketAddr,
        /// Address of the store.
        store: SocketAddr,
    },
    /// A setting is not known, and ignored.
    SettingUnknown {
        /// Its name.
        field: &'a str,
    },
    /// The settings were read again and taken over.
    Reloaded {
        /// What led to it.
        cause: &'a str,
        /// Whether there are other seeds.
        seeds_changed: bool,
        /// Whether something has changed that only a new process takes over.
        needs_restart: bool,
    },
    /// The settings were read again and are wrong.
    ReloadRejected {
        /// What led to it.
        cause: &'a str,
        /// What is wrong.
        reason: &'a dyn Reason,
    },
    /// This process ends.
    Stop {
        /// How far it is.
        phase: StopPhase,
        /// Connections of callers.
        open: usize,
        /// Time since it was told to stop.
        took_ms: u64,
    },
    /// A step failed.
    Failed {
        /// The step.
        step: Step,
        /// The other side, if there is one.
        peer: Option<&'a dyn Reason>,
        /// Why.
        reason: &'a dyn Reason,
    },
}

/// How far a process is on its way to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StopPhase {
    /// It still serves the callers that come.
    Draining,
    /// It finishes the requests that it has.
    Leaving,
    /// It ends.
    Done,
}

/// A step that can fail; the event is named after it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Taking in a caller's connection.
    Accept,
    /// Setting the options of a connection.
    Socket,
    /// Serving a connection of a caller or of another router.
    Connection,
    /// Keeping a connection to a peer.
    KeptConnection,
    /// Registering this router at the store.
    Register,
    /// Renewing a lease.
    Renewal,
    /// Taking over the giving of orders.
    TakeOver,
    /// Ending a lease.
    Release,
    /// Asking an engine for a report.
    Report,
    /// Giving an engine an order.
    Order,
    /// Writing a message for other routers.
    Gossip,
    /// Sending a message to another router.
    GossipSend,
    /// Receiving a message.
    GossipReceive,
    /// Reading a message.
    GossipRead,
    /// Writing a page for other routers.
    Snapshot,
    /// Asking another router for its configuration.
    SnapshotFetch,
    /// Asking another router for the registrations.
    ServersFetch,
    /// Writing the metrics.
    Metrics,
    /// Writing a header.
    Header,
}

impl Step {
    fn event(self) -> &'static str {
        match self {
            Step::Accept => "accept_failed",
            Step::Socket => "socket_failed",
            Step::Connection => "connection_failed",
            Step::KeptConnection => "connection_ended",
            Step::Register => "register_failed",
            Step::Renewal => "renewal_failed",
            Step::TakeOver => "take_over_failed",
            Step::Release => "release_failed",
            Step::Report => "report_failed",
            Step::Order => "order_failed",
            Step::Gossip => "gossip_failed",
            Step::GossipSend => "gossip_unsent",
            Step::GossipReceive => "gossip_receive_failed",
            Step::GossipRead => "gossip_unreadable",
            Step::Snapshot => "snapshot_failed",
            Step::SnapshotFetch => "snapshot_unanswered",
            Step::ServersFetch => "servers_unanswered",
            Step::Metrics => "metrics_failed",
            Step::Header => "header_unwritable",
        }
    }

    fn level(self) -> Level {
        match self {
            Step::Socket
            | Step::Connection
            | Step::KeptConnection
            | Step::GossipSend
            | Step::GossipReceive => Level::Debug,
            Step::Report | Step::Order => Level::Info,
            Step::Gossip | Step::Snapshot | Step::Metrics | Step::Header => Level::Error,
            _ => Level::Warn,
        }
    }
}

/// Writes the line of a step that failed.
pub fn failed(step: Step, reason: &dyn Reason) {
    let peer = None;
    ProcessEvent::Failed { step, peer, reason }.write();
}

/// Writes the line of a step that failed between this process and `peer`.
pub fn log_peer_failure(step: Step, peer: &dyn Reason, reason: &dyn Reason) {
    let peer = Some(peer);
    ProcessEvent::Failed { step, peer, reason }.write();
}

impl LogEvent for ProcessEvent<'_> {
    fn level(&self) -> Level {
        match self {
            ProcessEvent::StoreLost { .. }
            | ProcessEvent::EntryUnreadable { .. }
            | ProcessEvent::SettingUnknown { .. }
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
            } => write!(
                f,
                "event=start version={} name={name} domain={domain} callers={callers} store={store}",
                env!("CARGO_PKG_VERSION")
            ),
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
            ProcessEvent::Failed { step, peer, reason } => {
                write!(f, "event={}", step.event())?;
                if let Some(peer) = peer {
                    write!(f, " peer={peer}")?;
                }
                write!(f, " reason={:?}", reason.to_string())
            }
        }
    }
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
