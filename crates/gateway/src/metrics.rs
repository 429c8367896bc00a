//! Counters and histograms.

use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

use crate::process_event::failed;
use crate::process_event::Step;

/// Bounds of histograms of times, in seconds.
const SECONDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Counters and histograms of a gateway.
pub struct Metrics {
    registry: Registry,
    /// Requests, by outcome.
    pub requests: IntCounterVec,
    /// Attempts that ended without a whole answer, by how.
    pub attempts: IntCounterVec,
    /// Calls to the store, by call and outcome.
    pub store_calls: IntCounterVec,
    /// Orders to engines, by answer.
    pub orders: IntCounterVec,
    /// Version of the configuration in force.
    pub configuration_version: IntGauge,
    lines_dropped: IntGauge,
    /// Time from a request's head to its answer's head, in seconds.
    pub first_answer: Histogram,
    /// Time from a request's head to the end of its answer, in seconds.
    pub whole_answer: Histogram,
}

impl Metrics {
    /// Creates all metrics.
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
            store_calls: counters(
                &registry,
                "store_calls",
                "Calls to the store",
                &["call", "outcome"],
            ),
            orders: counters(&registry, "orders", "Orders to engines", &["answer"]),
            configuration_version: gauge(
                &registry,
                "configuration_version",
                "Configuration in force",
            ),
            lines_dropped: gauge(&registry, "log_lines_dropped", "Log lines dropped"),
            first_answer: histogram(
                &registry,
                "first_answer_seconds",
                "Time to an answer's head",
            ),
            whole_answer: histogram(&registry, "whole_answer_seconds", "Time to an answer's end"),
            registry,
        }
    }

    /// Returns all metrics as text; `lines_dropped` is what the log has dropped so far.
    pub fn text(&self, lines_dropped: u64) -> Vec<u8> {
        self.lines_dropped
            .set(i64::try_from(lines_dropped).unwrap_or(i64::MAX));
        let mut buf = Vec::new();
        if let Err(e) = TextEncoder::new().encode(&self.registry.gather(), &mut buf) {
            failed(Step::Metrics, &e);
        }
        buf
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

fn counters(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntCounterVec {
    let opts = Opts::new(format!("turmerichollow_{name}_total"), help);
    let counters = IntCounterVec::new(opts, labels).expect("names are valid");
    registry
        .register(Box::new(counters.clone()))
        .expect("names differ");
    counters
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let gauge = IntGauge::new(format!("turmerichollow_{name}"), help).expect("names are valid");
    registry
        .register(Box::new(gauge.clone()))
        .expect("names differ");
    gauge
}

fn histogram(registry: &Registry, name: &str, help: &str) -> Histogram {
    let opts = HistogramOpts::new(format!("turmerichollow_{name}"), help).buckets(SECONDS.to_vec());
    let histogram = Histogram::with_opts(opts).expect("names are valid");
    registry
        .register(Box::new(histogram.clone()))
        .expect("names differ");
    histogram
}
