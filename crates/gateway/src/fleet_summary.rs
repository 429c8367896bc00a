//! Counts of a service's backend servers by state, for log and metrics.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use policy::Time;

use crate::cluster_view::ClusterView;

/// Counts of a service's backend servers by state, and the age of that information.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSummary {
    /// Registered servers.
    pub servers: usize,
    /// Servers that accept requests.
    pub ready: usize,
    /// Servers that are avoided after a failure.
    pub avoided: usize,
    /// Servers that have asked for no requests for a while.
    pub retry_later: usize,
    /// Servers that limit their requests, and for which no permit is due.
    pub limited: usize,
    /// Servers that switch to new weights.
    pub switching: usize,
    /// Time since the store last responded, in milliseconds.
    pub store_age_ms: u64,
}

impl FleetSummary {
    /// Counts the servers of a service.
    pub fn new(view: &ClusterView, service: &str, now: Time) -> FleetSummary {
        let servers: Vec<_> = view.fleet.of_service(service).collect();
        let ready = servers.iter().filter(|(_, s)| s.takes_requests(now));
        let avoided = servers.iter().filter(|(_, s)| s.is_avoided(now));
        let retry_later = servers.iter().filter(|(_, s)| s.retry_at > now);
        let limited = servers.iter().filter(|(_, s)| s.permit_at > now);
        let switching = servers.iter().filter(|(_, s)| s.switching_until > now);
        FleetSummary {
            servers: servers.len(),
            ready: ready.count(),
            avoided: avoided.count(),
            retry_later: retry_later.count(),
            limited: limited.count(),
            switching: switching.count(),
            store_age_ms: now.millis_since(view.store_responded_at),
        }
    }
}

impl Display for FleetSummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "servers={} ready={} avoided={} retry_later={} limited={} switching={} store_age_ms={}",
            self.servers,
            self.ready,
            self.avoided,
            self.retry_later,
            self.limited,
            self.switching,
            self.store_age_ms
        )
    }
}
