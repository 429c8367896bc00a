//! Prometheus metrics of the times that requests take.

use prometheus::Histogram;
use prometheus::Registry;

use crate::collectors::histogram;

/// Bucket bounds of histograms of durations, in seconds.
pub const SECONDS: [f64; 10] = [0.005, 0.02, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4];

/// Bucket bounds for placement decisions, which take microseconds, in seconds.
const DECISION_SECONDS: [f64; 7] = [0.00001, 0.00003, 0.0001, 0.0003, 0.001, 0.003, 0.01];

/// Metrics of the times that requests take, in seconds.
pub struct TimeMetrics {
    /// Time to choose a backend server.
    pub decision: Histogram,
    /// Time that requests waited at this router for room.
    pub queue_wait: Histogram,
    /// Estimated queue time at the chosen backend server.
    pub expected_wait: Histogram,
    /// Time from a request's head to the response head of a stream.
    pub to_head: Histogram,
    /// Time from a request's head to the end of its response.
    pub to_end: Histogram,
}

impl TimeMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> TimeMetrics {
        TimeMetrics {
            decision: histogram(
                registry,
                "decision_seconds",
                "Time to choose a backend server",
                &DECISION_SECONDS,
            ),
            queue_wait: histogram(
                registry,
                "queue_wait_seconds",
                "Time that requests waited at this router for room",
                &SECONDS,
            ),
            expected_wait: histogram(
                registry,
                "expected_wait_seconds",
                "Time that requests are believed to wait at the chosen server",
                &SECONDS,
            ),
            to_head: histogram(
                registry,
                "first_answer_seconds",
                "Time to an answer's head",
                &SECONDS,
            ),
            to_end: histogram(
                registry,
                "whole_answer_seconds",
                "Time to an answer's end",
                &SECONDS,
            ),
        }
    }
}
