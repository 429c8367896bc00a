//! The platform's store, as far as the gateway needs it.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use futures::future::LocalBoxFuture;
use relay::Configuration;
use relay::Registration;
use snafu::Snafu;

/// Position in the store's history; grows with each change.
pub type Revision = u64;

/// Why a call to the store has no result.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum StoreError {
    /// The store turned the call away; nothing was done.
    #[snafu(display("{step} at {peer}: refused with status {status}"))]
    Refused {
        /// What was being done.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// Its status.
        status: u16,
    },
    /// There was no usable answer; a change may have been made, or be made later.
    #[snafu(display("{step} at {peer}: {reason}"))]
    Unanswered {
        /// What was being done.
        step: &'static str,
        /// Address of the store.
        peer: SocketAddr,
        /// What went wrong.
        reason: String,
    },
}

/// Part of the store that is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Topic {
    /// What operators say: the configuration, and versions of weights.
    Operators,
    /// Registrations of backend servers.
    Servers,
    /// Records of the routers: who is alive, who gives orders.
    Routers,
}

impl Topic {
    /// Returns a word for logs and counters.
    pub fn name(self) -> &'static str {
        match self {
            Topic::Operators => "operators",
            Topic::Servers => "servers",
            Topic::Routers => "routers",
        }
    }
}

/// One thing that the store says.
#[derive(Clone, Debug)]
pub enum StoreUpdate {
    /// The configuration.
    Configuration(Box<Configuration>),
    /// The newest version of a model's weights.
    Weights {
        /// Model.
        model: Arc<str>,
        /// Version.
        version: u64,
    },
    /// A backend server's registration.
    Server(Registration),
    /// A backend server's registration is gone, or can't be read.
    ServerGone(Arc<str>),
    /// A router's record.
    Record(Record),
    /// A router's record is gone.
    RecordGone(String),
    /// An entry that can't be read, with the reason.
    Unreadable {
        /// Key of the entry.
        key: String,
        /// What is wrong with it.
        reason: String,
    },
}

/// A record of the routers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its name.
    pub name: String,
    /// What it holds.
    pub value: Bytes,
    /// When it was last written.
    pub revision: Revision,
}

/// Everything in a topic.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Its entries.
    pub updates: Vec<StoreUpdate>,
    /// Position from which changes go on.
    pub as_of: Revision,
}

/// What a watch saw.
#[derive(Clone, Debug)]
pub enum WatchResult {
    /// Changes, maybe none, and the position after them.
    Changes(Listing),
    /// The history since the position is gone; the topic must be listed again.
    HistoryGone,
}

/// A lease that the store granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseId(pub u64);

/// Writes a record if it is as expected.
#[derive(Clone, Debug)]
pub struct RecordWrite {
    /// Name of the record.
    pub name: String,
    /// Its revision as expected, 0 if it must not exist; none for any.
    pub expected: Option<Revision>,
    /// New value; none deletes it.
    pub value: Option<Bytes>,
    /// Lease with which it goes.
    pub lease: Option<LeaseId>,
}

/// Outcome of writes that are made all or none.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// All were made, at this revision.
    Committed(Revision),
    /// A record was not as expected.
    Conflict,
    /// A lease is over.
    LeaseExpired,
}

/// The platform's store.
pub trait Store {
    /// Reads everything in a topic.
    fn list(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Listing, StoreError>>;

    /// Waits up to `wait_ms` for changes after a position.
    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<WatchResult, StoreError>>;

    /// Makes writes of the routers' records, all or none.
    fn commit(
        &self,
        writes: Vec<RecordWrite>,
    ) -> LocalBoxFuture<'_, Result<CommitOutcome, StoreError>>;

    /// Grants a lease that lapses unless renewed within `ttl_ms`.
    fn grant(&self, ttl_ms: u64) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>>;

    /// Renews a lease; `false` once it is over.
    fn renew(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<bool, StoreError>>;

    /// Ends a lease.
    fn end(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<(), StoreError>>;
}
