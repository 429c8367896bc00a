//! Connections of each port, with limits that are shares of the memory and the descriptors of the process.

use crate::metrics::Metrics;
use crate::page_frontend;
use crate::port_connections::PortConnections;
use crate::settings::Settings;
use crate::usage_limits::UsageLimits;

/// Shares of the descriptors, in percent: connections of callers with those to backend servers for
/// their requests, connections of other routers with those to servers for them, and connections to
/// the pages of each port. The rest is for the store, files and idle connections to servers.
const CALLERS_PERCENT: u64 = 65;
const ROUTERS_PERCENT: u64 = 14;
const PAGES_PERCENT: u64 = 2;

/// Time for which a connection of a caller is idle before it may be evicted for a new one, in
/// milliseconds.
const CALLERS_MIN_IDLE_MS: u64 = 200;

/// The same for the other ports, whose requests are small and come at once.
const OTHER_PORTS_MIN_IDLE_MS: u64 = 10;

/// Returns the connections of the callers' port.
pub fn caller_connections(settings: &Settings, metrics: &Metrics) -> PortConnections {
    let limits = UsageLimits {
        buffer_bytes: settings.buffer_bytes,
        connection_bytes: settings.connection_bytes,
        connections: u64::MAX,
        descriptors: descriptors(settings, CALLERS_PERCENT),
        min_idle_ms: CALLERS_MIN_IDLE_MS,
    };
    PortConnections::new("callers", limits, metrics.connections.of_port("callers"))
}

/// Returns the connections of the port for other routers.
pub fn router_connections(settings: &Settings, metrics: &Metrics) -> PortConnections {
    let descriptors = descriptors(settings, ROUTERS_PERCENT);
    let limits = port_limits(settings.router_bytes, descriptors);
    PortConnections::new("routers", limits, metrics.connections.of_port("routers"))
}

/// Returns the connections of a port for pages.
pub fn page_connections(
    settings: &Settings,
    metrics: &Metrics,
    port: &'static str,
) -> PortConnections {
    let limits = port_limits(settings.page_bytes, descriptors(settings, PAGES_PERCENT));
    PortConnections::new(port, limits, metrics.connections.of_port(port))
}

/// Returns the limits of a port that isn't for callers. Its connections take one half of its memory, and
/// what is held for them the other.
fn port_limits(bytes: u64, descriptors: u64) -> UsageLimits {
    UsageLimits {
        buffer_bytes: bytes / 2,
        connection_bytes: u64::MAX,
        connections: bytes / 2 / page_frontend::CONNECTION_BYTES,
        descriptors,
        min_idle_ms: OTHER_PORTS_MIN_IDLE_MS,
    }
}

fn descriptors(settings: &Settings, percent: u64) -> u64 {
    settings.max_descriptors.saturating_mul(percent) / 100
}
