//! Datagrams that routers send each other.

use std::sync::Arc;

use relay::BrittlenessUpdate;
use relay::Gossip;
use relay::LimitUpdate;
use relay::Permit;
use relay::PlaceEnd;
use relay::PlaceId;
use relay::QuotaAsk;
use relay::QuotaReply;
use relay::StreamId;
use relay::StreamKnowledge;
use relay::StreamOrigin;
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
    /// Names the builds at which streams began.
    StreamOrigins(Vec<StreamOrigin>),
    /// Asks for the build of a stream.
    StreamQuery(StreamQuery),
    /// Answers such a message.
    StreamReply(StreamReply),
    /// Asks for a place in a backend server that stands few rejections; answered as one for a permit.
    PlaceAsked(PlaceAsked),
    /// Gives such a place back.
    PlaceReleased(PlaceReleased),
    /// Votes for the allocator of quotas, and asks it for grants.
    QuotaAsk(QuotaAsk),
    /// Answers such a message.
    QuotaReply(QuotaReply),
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

/// Asks the issuer for a place in a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceAsked {
    /// The place; its number is that of the answer.
    pub id: PlaceId,
    /// Instance hash of the backend server.
    pub server: u64,
    /// Hash of the name of the server's region.
    pub region: u64,
    /// Requests that the server runs at a time.
    pub slots: u32,
    /// What the sender knows of the rejections that the server stands.
    pub brittleness: BrittlenessUpdate,
    /// Time by which the request has ended, in milliseconds from now.
    pub left_ms: u32,
}

/// Gives a place in a backend server back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PlaceReleased {
    /// Instance hash of the backend server.
    pub server: u64,
    /// The place.
    pub id: PlaceId,
    /// How its request ended.
    pub end: PlaceEnd,
}

/// Asks for the build at which a stream began.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamQuery {
    /// Number of the question among those of its sender.
    pub id: u64,
    /// The stream.
    pub stream: StreamId,
    /// Names of the services to which its route leads.
    pub services: Vec<Arc<str>>,
}

/// What a router knows of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamReply {
    /// Number of the question that it answers.
    pub id: u64,
    /// What the router knows.
    pub knowledge: StreamKnowledge,
}
