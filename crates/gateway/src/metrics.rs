//! Prometheus metrics of a gateway.

use policy::Time;
use prometheus::core::Collector;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::cluster_view::ClusterView;
use crate::connection_metrics::ConnectionMetrics;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::quota_metrics::QuotaMetrics;
use crate::server_metrics::ServerMetrics;
use crate::view_gauges::ViewGauges;

/// Bucket bounds of histograms of durations, in seconds.
const SECONDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Bucket bounds for placement decisions, which take microseconds, in seconds.
const DECISION_SECONDS: [f64; 7] = [0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01];

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
    /// Quotas of workspaces.
    pub quotas: QuotaMetrics,
    /// What concerns backend servers beyond single requests.
    pub servers: ServerMetrics,
    view_gauges: ViewGauges,
    /// Accepted connections, and what is held for them.
    pub connections: ConnectionMetrics,
    lines_dropped: IntGauge,
    /// Time to choose a backend server, in seconds.
    pub decision: Histogram,
    /// Requests for which room was sought where the room of servers is limited, by outcome.
    pub queue: IntCounterVec,
    /// Time that requests waited at this router for room, in seconds.
    pub queue_wait: Histogram,
    /// Estimated queue time at the chosen backend server, in seconds.
    pub expected_wait: Histogram,
    /// Time from a request's head to the response head of a stream, in seconds.
    pub time_to_head: Histogram,
    /// Time from a request's head to the end of its response, in seconds.
    pub time_to_end: Histogram,
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
            store_calls: store_calls(&registry),
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
            quotas: QuotaMetrics::new(&registry),
            servers: ServerMetrics::new(&registry),
            view_gauges: ViewGauges::new(&registry),
            connections: ConnectionMetrics::new(&registry),
            lines_dropped: lines_dropped(&registry),
            decision: histogram(
                &registry,
                "decision_seconds",
                "Time to choose a backend server",
                &DECISION_SECONDS,
            ),
            queue: counters(
                &registry,
                "queue",
                "Requests for which room was sought, by outcome",
                &["outcome"],
            ),
            queue_wait: histogram(
                &registry,
                "queue_wait_seconds",
                "Time that requests waited at this router for room",
                &SECONDS,
            ),
            expected_wait: histogram(
                &registry,
                "expected_wait_seconds",
                "Time that requests are believed to wait at the chosen server",
                &SECONDS,
            ),
            time_to_head: histogram(
                &registry,
                "first_answer_seconds",
                "Time to an answer's head",
                &SECONDS,
            ),
            time_to_end: histogram(
                &registry,
                "whole_answer_seconds",
                "Time to an answer's end",
                &SECONDS,
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

/// Registers a collector. Its name and labels are constants of this crate, so that
/// an error is a bug.
pub(crate) fn register<C>(registry: &Registry, collector: prometheus::Result<C>) -> C
where
    C: Collector + Clone + 'static,
{
    let collector = collector.expect("metric names are valid");
    registry
        .register(Box::new(collector.clone()))
        .expect("metric names are unique");
    collector
}

/// Creates and registers a counter.
pub fn counter(registry: &Registry, name: &str, help: &str) -> IntCounter {
    let name = format!("turmerichollow_{name}_total");
    register(registry, IntCounter::new(name, help))
}

/// Creates and registers counters with labels.
pub fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("turmerichollow_{name}_total"), help);
    register(registry, IntCounterVec::new(opts, labels))
}

fn lines_dropped(registry: &Registry) -> IntGauge {
    let name = "turmerichollow_log_lines_dropped";
    register(registry, IntGauge::new(name, "Log lines dropped"))
}

fn store_calls(registry: &Registry) -> HistogramVec {
    let name = "turmerichollow_store_call_seconds";
    let opts = HistogramOpts::new(name, "Time of calls to the store").buckets(SECONDS.to_vec());
    register(registry, HistogramVec::new(opts, &["call", "outcome"]))
}

fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = HistogramOpts::new(format!("turmerichollow_{name}"), help).buckets(buckets.to_vec());
    register(registry, Histogram::with_opts(opts))
}
