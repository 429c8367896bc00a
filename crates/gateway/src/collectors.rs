//! Creates collectors of Prometheus metrics and registers them.

use prometheus::core::Collector;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::HistogramVec;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Opts;
use prometheus::Registry;

/// Registers a collector. Its name and labels are constants of this crate, so that
/// an error is a bug.
pub fn register<C>(registry: &Registry, collector: prometheus::Result<C>) -> C
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

/// Creates and registers a gauge.
pub fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    let name = format!("turmerichollow_{name}");
    register(registry, IntGauge::new(name, help))
}

/// Creates and registers gauges with labels.
pub fn gauges(registry: &Registry, name: &str, help: &str, labels: &[&str]) -> IntGaugeVec {
    let opts = Opts::new(format!("turmerichollow_{name}"), help);
    register(registry, IntGaugeVec::new(opts, labels))
}

/// Creates and registers a histogram with these upper bounds of its buckets.
pub fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> Histogram {
    let opts = histogram_opts(name, help, buckets);
    register(registry, Histogram::with_opts(opts))
}

/// Creates and registers histograms with labels.
pub fn histograms(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
    labels: &[&str],
) -> HistogramVec {
    let opts = histogram_opts(name, help, buckets);
    register(registry, HistogramVec::new(opts, labels))
}

fn histogram_opts(name: &str, help: &str, buckets: &[f64]) -> HistogramOpts {
    HistogramOpts::new(format!("turmerichollow_{name}"), help).buckets(buckets.to_vec())
}
