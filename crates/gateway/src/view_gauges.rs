//! Gauges for the content and age of the cluster view.

use policy::Time;
use prometheus::IntGauge;
use prometheus::IntGaugeVec;
use prometheus::Registry;

use crate::cluster_view::ClusterView;
use crate::collectors::gauge;
use crate::collectors::gauges;
use crate::fleet_summary::FleetSummary;

/// Gauges for the content and age of the cluster view.
pub struct ViewGauges {
    configuration_version: IntGauge,
    configuration_age_ms: IntGauge,
    store_silence_ms: IntGauge,
    weights_version: IntGaugeVec,
    weights_age_ms: IntGaugeVec,
    retries_left: IntGaugeVec,
    servers_ready: IntGaugeVec,
    servers_by_pace: IntGaugeVec,
    suspects_blocked: IntGauge,
}

impl ViewGauges {
    /// Creates and registers the gauges.
    pub fn new(registry: &Registry) -> ViewGauges {
        ViewGauges {
            suspects_blocked: gauge(
                registry,
                "suspects_blocked",
                "Requests and parts of prompts that are refused as they crash servers",
            ),
            configuration_version: gauge(
                registry,
                "configuration_version",
                "Configuration in force",
            ),
            configuration_age_ms: gauge(
                registry,
                "configuration_age_ms",
                "Time since it was taken over",
            ),
            store_silence_ms: gauge(
                registry,
                "store_silence_ms",
                "Time since the store last answered",
            ),
            weights_version: gauges(
                registry,
                "weights_version",
                "Newest weights that were named",
                &["model"],
            ),
            weights_age_ms: gauges(
                registry,
                "weights_age_ms",
                "Time since they were named",
                &["model"],
            ),
            retries_left: gauges(
                registry,
                "repeats_left",
                "Repeats that the budget allows now",
                &["service"],
            ),
            servers_ready: gauges(
                registry,
                "servers_ready",
                "Backend servers that take requests",
                &["service"],
            ),
            servers_by_pace: gauges(
                registry,
                "servers_by_pace",
                "Backend servers by learned pace against their service's median",
                &["service", "pace"],
            ),
        }
    }

    /// Sets all gauges to the state of the view at `now`.
    pub fn set(&self, now: Time, view: &mut ClusterView) {
        let version = view.configuration.as_ref().map_or(0, |c| c.version);
        self.configuration_version.set(clamped(version));
        let age_ms = now.millis_since(view.configuration_since);
        self.configuration_age_ms.set(clamped(age_ms));
        let silence_ms = now.millis_since(view.store_responded_at);
        self.store_silence_ms.set(clamped(silence_ms));
        let blocked = view.crash_evidence.count_blocked(now);
        self.suspects_blocked.set(clamped(blocked as u64));
        for newest in view.weights.newest(now) {
            let labels = [&*newest.model];
            let of_model = self.weights_version.with_label_values(&labels);
            of_model.set(clamped(newest.version));
            let of_model = self.weights_age_ms.with_label_values(&labels);
            of_model.set(clamped(newest.age_ms));
        }
        for (service, budget) in &mut view.budgets {
            let of_service = self.retries_left.with_label_values(&[&**service]);
            of_service.set(i64::from(budget.remaining(now)));
        }
        for service in view.budgets.keys() {
            let ready = FleetSummary::new(view, service, now).ready;
            let of_service = self.servers_ready.with_label_values(&[&**service]);
            of_service.set(clamped(ready as u64));
            if view.fleet.learns_paces() {
                self.set_paces(now, view, service);
            }
        }
    }
}

impl ViewGauges {
    fn set_paces(&self, now: Time, view: &ClusterView, service: &str) {
        for band in PACE_BANDS {
            let servers = view.fleet.of_service(service);
            let within = servers.filter(|(_, server)| {
                let pace = server.pace(now);
                pace >= band.from && pace < band.to
            });
            let count = clamped(within.count() as u64);
            let of_band = self
                .servers_by_pace
                .with_label_values(&[service, band.name]);
            of_band.set(count);
        }
    }
}

/// Range of learned paces that is counted together, so that labels are few.
struct PaceBand {
    name: &'static str,
    from: f64,
    to: f64,
}

const PACE_BANDS: [PaceBand; 4] = [
    PaceBand {
        name: "faster",
        from: 0.0,
        to: 1.0,
    },
    PaceBand {
        name: "equal",
        from: 1.0,
        to: 1.001,
    },
    PaceBand {
        name: "slower",
        from: 1.001,
        to: 2.0,
    },
    PaceBand {
        name: "twice_slower",
        from: 2.0,
        to: f64::INFINITY,
    },
];

fn clamped(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}
