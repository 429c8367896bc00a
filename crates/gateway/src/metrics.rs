//! Prometheus metrics of a gateway.

use policy::Time;
use prometheus::Encoder;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::cluster_view::ClusterView;
use crate::collectors::counter;
use crate::collectors::counters;
use crate::collectors::gauge;
use crate::collectors::histograms;
use crate::connection_metrics::ConnectionMetrics;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::quota_metrics::QuotaMetrics;
use crate::server_metrics::ServerMetrics;
use crate::stream_metrics::StreamMetrics;
use crate::time_metrics::TimeMetrics;
use crate::time_metrics::SECONDS;
use crate::view_gauges::ViewGauges;

/// Metrics of a gateway, with the registry that exports them.
pub struct Metrics {
    registry: Registry,
    /// Requests, by final outcome.
    pub requests: IntCounterVec,
    /// Failed attempts, by kind of end.
    pub attempts: IntCounterVec,
    /// Durations of calls to the store by call and outcome, in seconds.
    pub store_calls: HistogramVec,
    /// Orders to engines, by reply.
    pub orders: IntCounterVec,
    /// Times that the store came back from an older copy.
    pub store_eras: IntCounter,
    /// Times that this router wrote its entry again after that.
    pub entries_rewritten: IntCounter,
    /// Times that requests take.
    pub times: TimeMetrics,
    /// Quotas of workspaces.
    pub quotas: QuotaMetrics,
    /// What concerns backend servers beyond single requests.
    pub servers: ServerMetrics,
    /// Streams that callers take up.
    pub streams: StreamMetrics,
    view_gauges: ViewGauges,
    /// Accepted connections, and what is held for them.
    pub connections: ConnectionMetrics,
    lines_dropped: IntGauge,
    /// Requests for which room was sought where the room of servers is limited, by outcome.
    pub queue: IntCounterVec,
}

impl Metrics {
    /// Creates and registers all metrics.
    pub fn new() -> Metrics {
        let registry = Registry::new();
        Metrics {
            requests: counters(&registry, "requests", "Requests by outcome", &["outcome"]),
            attempts: counters(
                &registry,
                "attempts",
                "Attempts without a whole answer",
                &["end"],
            ),
            store_calls: histograms(
                &registry,
                "store_call_seconds",
                "Time of calls to the store",
                &SECONDS,
                &["call", "outcome"],
            ),
            orders: counters(&registry, "orders", "Orders to engines", &["answer"]),
            store_eras: counter(
                &registry,
                "store_eras",
                "Times that the store came back from an older copy",
            ),
            entries_rewritten: counter(
                &registry,
                "entries_rewritten",
                "Own entries written again after that",
            ),
            times: TimeMetrics::new(&registry),
            quotas: QuotaMetrics::new(&registry),
            servers: ServerMetrics::new(&registry),
            streams: StreamMetrics::new(&registry),
            view_gauges: ViewGauges::new(&registry),
            connections: ConnectionMetrics::new(&registry),
            lines_dropped: gauge(&registry, "log_lines_dropped", "Log lines dropped"),
            queue: counters(
                &registry,
                "queue",
                "Requests for which room was sought, by outcome",
                &["outcome"],
            ),
            registry,
        }
    }

    /// Returns all metrics in the Prometheus text format. `lines_dropped` is the number
    /// of log lines dropped since the start.
    pub fn text(&self, now: Time, view: &mut ClusterView, lines_dropped: u64) -> Vec<u8> {
        self.view_gauges.set(now, view);
        self.lines_dropped
            .set(i64::try_from(lines_dropped).unwrap_or(i64::MAX));
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            log_failure(Step::Metrics, &e);
        }
        buf
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}
