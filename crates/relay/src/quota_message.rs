//! Messages between a router and the allocator of quotas.

use serde::Deserialize;
use serde::Serialize;

/// A router's vote for an allocator, and what the workspaces need that are active at the router.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaAsk {
    /// Hash of the name of the router that asks.
    pub router: u64,
    /// Number of the message among those of its sender; grows with each.
    pub seq: u64,
    /// Time of the allocator's latest reply that the sender had received, by the allocator's
    /// clock, in microseconds; none if it had received none.
    pub echo_us: Option<u64>,
    /// Version of the configuration that the sender knows.
    pub configuration: u64,
    /// Highest number of registered routers that the sender has known lately.
    pub routers: u32,
    /// Whether the sender takes its vote back.
    pub release: bool,
    /// Needs, at most one for each workspace.
    pub needs: Vec<QuotaNeed>,
}

/// What a workspace needs at one router, in units of its quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaNeed {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Units of the requests that wait for a grant.
    pub need: u64,
    /// Units that requests of the near future are expected to need.
    pub ahead: u64,
    /// Units granted earlier that have not been spent and won't be.
    pub returned: u64,
    /// Highest priority of the requests that wait; 0 is the highest there is.
    pub priority: u32,
}

/// The allocator's answer to a [`QuotaAsk`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaReply {
    /// Hash of the allocator's name.
    pub allocator: u64,
    /// Number of the message that it answers.
    pub seq: u64,
    /// Time of the reply by the allocator's clock, in microseconds.
    pub at_us: u64,
    /// Whether the vote was accepted.
    pub accepts: bool,
    /// Whether the allocator no longer counts the router's vote, which is free again at once.
    pub released: bool,
    /// What is granted, for each need.
    pub grants: Vec<QuotaGrant>,
}

/// Units granted to one router for a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaGrant {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Units that may be spent until the grant expires.
    pub units: u64,
    /// Time until which the router gets no more, in milliseconds; 0 if it may ask at once.
    pub retry_after_ms: u32,
}
