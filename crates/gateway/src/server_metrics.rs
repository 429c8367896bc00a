//! Prometheus metrics of what backend servers say of themselves.

use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Registry;

use crate::collectors::counter;
use crate::collectors::counters;
use crate::collectors::gauge;

/// Metrics of what backend servers say of themselves, and of what follows from it.
pub struct ServerMetrics {
    /// Backend servers that said in a response that they leave, before their registration did.
    pub leaving_by_response: IntCounter,
    /// Requests refused while backend servers had asked for none.
    pub held_back: IntCounter,
    /// Retry-after times of backend servers that are no time or too long.
    pub retry_after_invalid: IntCounter,
    /// Permits asked for requests to limited backend servers, by outcome.
    pub permits: IntCounterVec,
    /// Places asked for in backend servers that stand few rejections, by outcome.
    pub places: IntCounterVec,
    /// Connections to backend servers that this router holds for others.
    pub tunnels_open: IntGauge,
    /// Rejections by backend servers, by whether they follow another one and why.
    pub rejections: IntCounterVec,
    /// Limits of backend servers that are no rate, out of range or contradictory.
    pub server_limit_invalid: IntCounter,
}

impl ServerMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> ServerMetrics {
        ServerMetrics {
            leaving_by_response: counter(
                registry,
                "servers_leaving_by_response",
                "Servers that said in a response that they leave, before they were registered so",
            ),
            held_back: counter(
                registry,
                "held_back",
                "Requests refused while servers had asked for none",
            ),
            retry_after_invalid: counter(
                registry,
                "retry_after_invalid",
                "Retry-after times of servers that are no time or too long",
            ),
            permits: counters(
                registry,
                "permits",
                "Permits asked for requests to limited servers",
                &["outcome"],
            ),
            places: counters(
                registry,
                "places",
                "Places asked for in servers that stand few rejections",
                &["outcome"],
            ),
            tunnels_open: gauge(
                registry,
                "tunnels_open",
                "Connections to servers that are held for other routers",
            ),
            rejections: counters(
                registry,
                "server_rejections",
                "Rejections by servers where the room of servers is limited, by what is known of the cause",
                &["kind"],
            ),
            server_limit_invalid: counter(
                registry,
                "server_limit_invalid",
                "Limits of servers that are no rate, out of range or contradictory",
            ),
        }
    }
}
