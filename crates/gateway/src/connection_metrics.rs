//! Metrics of accepted connections.

use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

use crate::collectors::counters;
use crate::collectors::register;

/// Metrics of the accepted connections of all ports.
pub struct ConnectionMetrics {
    /// Open connections, by port.
    open: IntGaugeVec,
    /// Connections that this router has closed, by port and reason.
    closed: IntCounterVec,
    /// Bytes of requests and responses that are held for callers and backend servers.
    pub buffered_bytes: IntGauge,
    /// Memory of callers' open connections, without what is buffered for them.
    pub connection_bytes: IntGauge,
}

/// Metrics of the connections of one port.
#[derive(Clone)]
pub struct PortMetrics {
    /// Open connections.
    pub connections: IntGauge,
    /// Connections closed by this router, by reason.
    pub closed: IntCounterVec,
}

impl ConnectionMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> ConnectionMetrics {
        let opts = Opts::new("turmerichollow_connections", "Open connections, by port");
        let help = "Bytes buffered for callers and backend servers";
        let buffered_bytes = IntGauge::new("turmerichollow_buffered_bytes", help);
        let help =
            "Memory of callers' open connections, without what is buffered for them, in bytes";
        let connection_bytes = IntGauge::new("turmerichollow_connection_bytes", help);
        ConnectionMetrics {
            open: register(registry, IntGaugeVec::new(opts, &["port"])),
            closed: counters(
                registry,
                "connections_closed",
                "Connections closed by this router, by port and reason",
                &["port", "reason"],
            ),
            buffered_bytes: register(registry, buffered_bytes),
            connection_bytes: register(registry, connection_bytes),
        }
    }

    /// Returns the metrics of one port.
    pub fn of_port(&self, port: &str) -> PortMetrics {
        PortMetrics {
            connections: self.open.with_label_values(&[port]),
            closed: self.closed.clone(),
        }
    }
}
