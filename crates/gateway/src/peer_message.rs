//! Datagrams that routers send each other.

use relay::Gossip;
use relay::LimitUpdate;
use relay::Permit;
use relay::Urgency;
use serde::Deserialize;
use serde::Serialize;

/// A datagram to another router.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    /// What the sender knows, sent several times a second.
    Gossip(Box<Gossip>),
    /// Asks for a permit to send a request to a limited backend server.
    PermitRequest(PermitRequest),
    /// Answers such a message.
    PermitResponse(PermitResponse),
}

/// Asks the issuer for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitRequest {
    /// Number of the request among those of its sender.
    pub id: u64,
    /// Instance hash of the backend server.
    pub server: u64,
    /// Hash of the name of the server's region.
    pub region: u64,
    /// What the sender knows of the server's limit.
    pub limit: LimitUpdate,
    /// How much the request matters.
    pub urgency: Urgency,
}

/// The issuer's decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PermitResponse {
    /// Number of the request that it answers.
    pub id: u64,
    /// The decision.
    pub permit: Permit,
}
