//! A request that was read in full, before it is served.

use std::sync::Arc;

use bytes::Bytes;
use http::request;
use policy::Time;
use relay::Route;
use relay::SuspectKey;
use relay::Workspace;

use crate::buffer_hold::BufferHold;
use crate::codec::RequestHead;

/// A request that was read in full and passed all checks.
pub struct Accepted {
    /// Head that the caller sent.
    pub head: request::Parts,
    /// Fields read from the head.
    pub parsed: RequestHead,
    /// Body that the caller sent.
    pub body: Bytes,
    /// Counts the request as buffered.
    pub hold: BufferHold,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Service chosen among those of the route.
    pub service: Arc<str>,
    /// Random number by which the request chooses among equal servers.
    pub seed: u64,
    /// Workspace of the caller's key.
    pub workspace: Option<Arc<Workspace>>,
    /// When its head was read.
    pub arrived_at: Time,
    /// Version of the configuration under which it was accepted.
    pub configuration: u64,
    /// Fingerprint that recognizes the same request under another id.
    pub fingerprint: SuspectKey,
    /// What crashes of its backend servers are blamed on.
    pub suspects: Vec<SuspectKey>,
}
