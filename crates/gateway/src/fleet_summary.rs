//! What is known of a service's backend servers, for the log.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use policy::Time;

use crate::cluster_view::Belief;

/// How many of a service's backend servers take requests, and how old the news is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSummary {
    /// Registered servers.
    pub servers: usize,
    /// Those that take requests.
    pub ready: usize,
    /// Those that are avoided since they failed.
    pub avoided: usize,
    /// Those that take new weights.
    pub switching: usize,
    /// Time since the store last answered, in milliseconds.
    pub store_age_ms: u64,
}

impl FleetSummary {
    /// Counts the servers of a service.
    pub fn new(belief: &Belief, service: &str, now: Time) -> FleetSummary {
        let servers: Vec<_> = belief.fleet.of_service(service).collect();
        let ready = servers.iter().filter(|(_, s)| s.takes_requests(now));
        let avoided = servers.iter().filter(|(_, s)| s.avoid_until > now);
        let switching = servers.iter().filter(|(_, s)| s.switching_until > now);
        FleetSummary {
            servers: servers.len(),
            ready: ready.count(),
            avoided: avoided.count(),
            switching: switching.count(),
            store_age_ms: now.millis_since(belief.store_heard_at),
        }
    }
}

impl Display for FleetSummary {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "servers={} ready={} avoided={} switching={} store_age_ms={}",
            self.servers, self.ready, self.avoided, self.switching, self.store_age_ms
        )
    }
}
