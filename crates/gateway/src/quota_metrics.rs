//! Prometheus metrics of the quotas of workspaces.

use prometheus::Counter;
use prometheus::IntCounter;
use prometheus::IntCounterVec;
use prometheus::Registry;

use crate::collectors::counter;
use crate::collectors::counters;
use crate::collectors::register;

/// Metrics of the quotas of workspaces. Units are counted as floating-point numbers, as the sum of
/// those of a few thousand requests may not fit into 64 bits.
pub struct QuotaMetrics {
    /// Attempts of workspaces with quotas, by whether they may be sent.
    pub decisions: IntCounterVec,
    /// Units spent on attempts.
    pub units_spent: Counter,
    /// Units given back, as an attempt was rejected or not sent.
    pub units_refunded: Counter,
    /// Units granted to this router.
    pub units_granted: Counter,
    /// Datagrams between routers and the allocator of quotas, by kind.
    pub messages: IntCounterVec,
    /// Times that another allocator accepted this router's vote.
    pub allocator_changes: IntCounter,
    /// Fields of quotas that can't be used.
    pub invalid: IntCounter,
}

impl QuotaMetrics {
    /// Creates and registers the metrics.
    pub fn new(registry: &Registry) -> QuotaMetrics {
        QuotaMetrics {
            decisions: counters(
                registry,
                "quota_decisions",
                "Attempts of workspaces with quotas, by whether they may be sent",
                &["outcome"],
            ),
            units_spent: units(registry, "quota_units_spent", "Units spent on attempts"),
            units_refunded: units(
                registry,
                "quota_units_refunded",
                "Units given back, as an attempt was rejected or not sent",
            ),
            units_granted: units(
                registry,
                "quota_units_granted",
                "Units granted to this router",
            ),
            messages: counters(
                registry,
                "quota_messages",
                "Datagrams sent between routers and the allocator of quotas",
                &["kind"],
            ),
            allocator_changes: counter(
                registry,
                "quota_allocator_changes",
                "Times that another allocator than before accepted this router's vote",
            ),
            invalid: counter(
                registry,
                "quotas_invalid",
                "Fields of quotas that can't be used",
            ),
        }
    }
}

fn units(registry: &Registry, name: &str, help: &str) -> Counter {
    register(
        registry,
        Counter::new(format!("turmerichollow_{name}_total"), help),
    )
}
