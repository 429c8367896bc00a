//! What a router knows of a backend server, for operators: whether it gets requests, and why not.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::BackendServer;
use crate::ServerState;

/// What keeps a backend server from requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Obstacle {
    /// Its incarnation is over, as another server has its address.
    Ended,
    /// It is registered as draining, or has said in a response that it leaves.
    Leaving,
    /// It has asked for no requests for a while.
    RetryAfter,
    /// It limits its requests, and no permit is due.
    NoPermit,
    /// It is expected to load new weights.
    SwitchesWeights,
    /// It rejected a request or failed shortly before.
    Avoided,
}

/// What a router knows of a backend server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ServerReport {
    /// Its id.
    pub server: Arc<str>,
    /// Name of its service.
    pub service: Arc<str>,
    /// Version of its software.
    pub build: Arc<str>,
    /// Version of the weights of each of its models.
    pub weights: BTreeMap<Arc<str>, u64>,
    /// What keeps it from requests; none if it gets some.
    pub obstacle: Option<Obstacle>,
    /// Time until it gets requests again, in milliseconds; 0 if it gets some, or is over or leaves.
    pub ready_in_ms: u64,
    /// Limit that it names on the requests of all routers, in requests a second.
    pub limit_per_s: Option<f64>,
    /// Rejections a second that it stands, if it names a number.
    pub rejections_per_s: Option<u32>,
    /// Requests of all routers in flight, as far as the router knows.
    pub requests: u32,
    /// Number of requests that it executes at a time.
    pub slots: u32,
    /// Time for which it has not responded, in milliseconds.
    pub unresponsive_ms: u64,
    /// Time since its registration was last received, in milliseconds.
    pub entry_age_ms: u64,
}

impl ServerReport {
    /// Returns what is known of a backend server at `now`.
    pub fn new(now: Time, server: &BackendServer) -> ServerReport {
        let registration = &server.registration;
        ServerReport {
            server: Arc::clone(&registration.id),
            service: Arc::clone(&registration.service),
            build: Arc::clone(&registration.build),
            weights: registration.weights.clone(),
            obstacle: obstacle(now, server),
            ready_in_ms: server.ready_at().millis_since(now),
            limit_per_s: server.limit().map(|limit| limit.to_per_second()),
            rejections_per_s: server.brittleness().map(|b| b.rejections_per_s),
            requests: server.load(now).requests,
            slots: registration.slots,
            unresponsive_ms: server.unresponsive_ms(now),
            entry_age_ms: now.millis_since(server.seen_at),
        }
    }
}

fn obstacle(now: Time, server: &BackendServer) -> Option<Obstacle> {
    let is_leaving = server.says_leaving || server.registration.state == ServerState::Draining;
    let obstacles = [
        (server.is_over(), Obstacle::Ended),
        (is_leaving, Obstacle::Leaving),
        (server.retry_at > now, Obstacle::RetryAfter),
        (server.permit_at > now, Obstacle::NoPermit),
        (server.switching_until > now, Obstacle::SwitchesWeights),
        (server.is_avoided(now), Obstacle::Avoided),
    ];
    let first = obstacles.into_iter().find(|(applies, _)| *applies);
    first.map(|(_, obstacle)| obstacle)
}
