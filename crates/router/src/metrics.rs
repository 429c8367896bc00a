//! Prometheus metrics of one router.

use peer::Observer;
use policy::Failure;
use prometheus::exponential_buckets;
use prometheus::Encoder;
use prometheus::Histogram;
use prometheus::HistogramOpts;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::IntGauge;
use prometheus::Opts;
use prometheus::Registry;
use prometheus::TextEncoder;

/// Upper bound of the smallest bucket of the time to the first token, in seconds.
const FIRST_TOKEN_BUCKET: f64 = 0.001;

/// Upper bound of the smallest bucket of the decision time, in seconds.
const DECISION_BUCKET: f64 = 0.000_001;

/// Number of buckets of a histogram; each upper bound is twice the one before.
const BUCKETS: usize = 18;

/// Prometheus metrics of one router, in a registry of their own.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    calls: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    late_answers: IntCounter,
    relay_faults: IntCounterVec,
    time_to_first_token: Histogram,
    decision_time: Histogram,
    prompt_tokens: IntCounter,
    cached_prompt_tokens: IntCounter,
    platform_calls: IntCounterVec,
    connections: ConnectionMetrics,
    config_version: IntGauge,
    peers: PeerMetrics,
}

/// Metrics of callers' connections.
#[derive(Debug)]
struct ConnectionMetrics {
    open: IntGauge,
    refused: IntCounter,
    closed: IntCounterVec,
    buffered_bytes: IntGauge,
}

impl ConnectionMetrics {
    fn new(r: &Registry) -> prometheus::Result<ConnectionMetrics> {
        Ok(ConnectionMetrics {
            open: gauge(r, "connections", "Open connections of callers.")?,
            refused: counter(
                r,
                "connections_refused_total",
                "Connections of callers over the limit.",
            )?,
            closed: counters(
                r,
                "connections_closed_total",
                "Connections of callers that were evicted for others.",
                &["reason"],
            )?,
            buffered_bytes: gauge(r, "buffered_bytes", "Bytes held of requests and responses.")?,
        })
    }
}

/// Metrics of the messages from and to other routers.
#[derive(Debug)]
struct PeerMetrics {
    bytes: IntCounterVec,
    connections_refused: IntCounter,
    messages_dropped: IntCounter,
    messages_bad: IntCounter,
}

impl PeerMetrics {
    fn new(r: &Registry) -> prometheus::Result<PeerMetrics> {
        Ok(PeerMetrics {
            bytes: counters(
                r,
                "peer_bytes_total",
                "Control bytes to and from other routers.",
                &["direction"],
            )?,
            connections_refused: counter(
                r,
                "peer_connections_refused_total",
                "Strangers' connections to the port for other routers.",
            )?,
            messages_dropped: counter(
                r,
                "peer_messages_dropped_total",
                "Messages to routers that can't be reached or are slow.",
            )?,
            messages_bad: counter(
                r,
                "peer_messages_bad_total",
                "Messages of other routers that are not well formed.",
            )?,
        })
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct ConnectionCount(IntGauge);

impl Drop for ConnectionCount {
    fn drop(&mut self) {
        self.0.dec();
    }
}

impl Metrics {
    /// Creates the metrics of a router, all at 0.
    pub fn new() -> prometheus::Result<Metrics> {
        let registry = Registry::new_custom(Some("turmerichollow".to_owned()), None)?;
        let r = &registry;
        Ok(Metrics {
            calls: counters(r, "calls_total", "Requests by kind.", &["kind"])?,
            refusals: counters(
                r,
                "refusals_total",
                "Refused requests by reason and outcome.",
                &["reason", "outcome"],
            )?,
            retries: counters(
                r,
                "retries_total",
                "Retries by what failed before.",
                &["reason"],
            )?,
            late_answers: counter(
                r,
                "late_answers_total",
                "Answers of earlier attempts, dropped.",
            )?,
            relay_faults: counters(
                r,
                "relay_faults_total",
                "Tokens out of order from engines, never sent on.",
                &["kind"],
            )?,
            time_to_first_token: histogram(
                r,
                "time_to_first_token_seconds",
                "Time from a request's arrival to its first token.",
                FIRST_TOKEN_BUCKET,
            )?,
            decision_time: histogram(
                r,
                "decision_seconds",
                "Time that the node took for a request's arrival.",
                DECISION_BUCKET,
            )?,
            prompt_tokens: counter(r, "prompt_tokens_total", "Prompt tokens of attempts.")?,
            cached_prompt_tokens: counter(
                r,
                "cached_prompt_tokens_total",
                "Prompt tokens that engines found in their caches.",
            )?,
            platform_calls: counters(
                r,
                "platform_calls_total",
                "Calls of the platform by kind and result.",
                &["call", "result"],
            )?,
            connections: ConnectionMetrics::new(r)?,
            config_version: gauge(r, "config_version", "Configuration in force, 0 for none.")?,
            peers: PeerMetrics::new(r)?,
            registry,
        })
    }

    /// Counts a request of a kind: `generate`, `resume` or `service`.
    pub fn on_call(&self, kind: &str) {
        self.calls.with_label_values(&[kind]).inc();
    }

    /// Counts a refused request.
    pub fn on_refusal(&self, reason: &str, outcome: &str) {
        self.refusals.with_label_values(&[reason, outcome]).inc();
    }

    /// Counts a retry after `failure`.
    pub fn on_retry(&self, failure: Failure) {
        self.retries.with_label_values(&[failure.name()]).inc();
    }

    /// Counts a report of an earlier attempt, which the node ignored.
    pub fn on_late_report(&self) {
        self.late_answers.inc();
    }

    /// Counts a token out of order: a `duplicate` or one after a `gap`.
    pub fn on_relay_fault(&self, kind: &str) {
        self.relay_faults.with_label_values(&[kind]).inc();
    }

    /// Records the time from a request's arrival to its first token, in seconds.
    pub fn on_first_token(&self, seconds: f64) {
        self.time_to_first_token.observe(seconds);
    }

    /// Records the time that the node took to handle a request's arrival, in seconds.
    pub fn on_decision(&self, seconds: f64) {
        self.decision_time.observe(seconds);
    }

    /// Counts the prompt tokens of an attempt that an engine has started.
    pub fn on_started(&self, prompt_tokens: u64, cached_tokens: u64) {
        self.prompt_tokens.inc_by(prompt_tokens);
        self.cached_prompt_tokens.inc_by(cached_tokens);
    }

    /// Counts a call to the platform.
    pub fn on_platform_call(&self, call: &str, result: &str) {
        self.platform_calls.with_label_values(&[call, result]).inc();
    }

    /// Counts a connection as open until the returned guard is dropped.
    pub fn count_connection(&self) -> ConnectionCount {
        self.connections.open.inc();
        ConnectionCount(self.connections.open.clone())
    }

    /// Counts a connection that was closed because it exceeded the limit.
    pub fn on_connection_refused(&self) {
        self.connections.refused.inc();
    }

    /// Counts a connection that was evicted for others.
    pub fn on_connection_closed(&self, reason: &str) {
        self.connections.closed.with_label_values(&[reason]).inc();
    }

    /// Sets the bytes that are held of requests and responses.
    pub fn set_buffered_bytes(&self, bytes: u64) {
        self.connections
            .buffered_bytes
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the version of the configuration in force.
    pub fn set_config_version(&self, version: u64) {
        self.config_version
            .set(i64::try_from(version).unwrap_or(i64::MAX));
    }

    /// Returns all metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        let mut buf = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buf)
            .expect("registered metrics can be encoded");
        buf
    }
}

impl Observer for Metrics {
    fn on_sent(&self, bytes: u64) {
        self.peers.bytes.with_label_values(&["sent"]).inc_by(bytes);
    }

    fn on_received(&self, bytes: u64) {
        self.peers
            .bytes
            .with_label_values(&["received"])
            .inc_by(bytes);
    }

    fn on_refused(&self) {
        self.peers.connections_refused.inc();
    }

    fn on_dropped(&self, messages: u64) {
        self.peers.messages_dropped.inc_by(messages);
    }

    fn on_bad_message(&self) {
        self.peers.messages_bad.inc();
    }
}

fn counter(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntCounter> {
    let counter = IntCounter::new(name, help)?;
    registry.register(Box::new(counter.clone()))?;
    Ok(counter)
}

fn counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> prometheus::Result<IntCounterVec> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> prometheus::Result<IntGauge> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

fn histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    smallest: f64,
) -> prometheus::Result<Histogram> {
    let buckets = exponential_buckets(smallest, 2.0, BUCKETS)?;
    let histogram = Histogram::with_opts(HistogramOpts::new(name, help).buckets(buckets))?;
    registry.register(Box::new(histogram.clone()))?;
    Ok(histogram)
}
