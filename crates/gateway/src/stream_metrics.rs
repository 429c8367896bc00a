//! Prometheus metrics of streams that callers take up, and of the records that are kept for them.

use prometheus::IntCounterVec;
use prometheus::Registry;

use crate::collectors::counters;

/// Metrics of streams that callers take up.
pub struct StreamMetrics {
    /// Streams that callers take up, by how their build is known.
    pub taken_up: IntCounterVec,
    /// Writes of streams to the store, by outcome.
    pub batches: IntCounterVec,
    /// Records of builds that this router has written or deleted.
    pub build_records: IntCounterVec,
}

impl StreamMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> StreamMetrics {
        StreamMetrics {
            taken_up: counters(
                registry,
                "streams_taken_up",
                "Streams that callers take up, by how the version of their server is known",
                &["source"],
            ),
            batches: counters(
                registry,
                "stream_batches",
                "Writes of streams to the store",
                &["outcome"],
            ),
            build_records: counters(
                registry,
                "build_records",
                "Records of server versions in the store that were written or deleted",
                &["change"],
            ),
        }
    }
}
