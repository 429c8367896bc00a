//! Paces of all backend servers, each against the median of its service.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

use crate::AttemptTiming;
use crate::Fleet;
use crate::PaceUpdate;
use crate::ServerKey;

/// Interval at which paces are compared with the medians, in milliseconds.
const REFRESH_MS: u64 = 100;

/// Whether and when paces are learned.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PaceLearning {
    is_on: bool,
    refreshed_at: Time,
}

impl Fleet {
    /// Sets whether the paces of backend servers are learned; they aren't by default.
    pub fn learn_paces(&mut self, is_on: bool) {
        self.pace_learning.is_on = is_on;
    }

    /// Returns whether the paces of backend servers are learned.
    pub fn learns_paces(&self) -> bool {
        self.pace_learning.is_on
    }

    /// Records how long an attempt of this router took.
    pub fn record_timing(&mut self, now: Time, key: ServerKey, timing: AttemptTiming) {
        if !self.learns_paces() {
            return;
        }
        if let Some(server) = self.get_mut(key) {
            let slots = f64::from(server.registration.slots.max(1));
            server.pace.record(now, timing, slots);
        }
        self.refresh_paces(now);
    }

    /// Records what another router, or the hub of a region, has learned of a server.
    pub(crate) fn record_other_pace(
        &mut self,
        now: Time,
        source: u64,
        server: u64,
        update: &PaceUpdate,
    ) {
        if !self.learns_paces() {
            return;
        }
        let key = self.by_instance_hash(server);
        if let Some(server) = key.and_then(|key| self.get_mut(key)) {
            server.pace.record_other(now, source, update);
        }
    }

    /// Compares all servers with the medians of their services, if that is due.
    pub fn refresh_paces(&mut self, now: Time) {
        let learning = &mut self.pace_learning;
        if !learning.is_on || now.millis_since(learning.refreshed_at) < REFRESH_MS {
            return;
        }
        learning.refreshed_at = now;
        let keys: Vec<ServerKey> = self.iter().map(|(key, _)| key).collect();
        let mut logs: BTreeMap<Arc<str>, [Vec<f64>; 2]> = BTreeMap::new();
        let mut counts: BTreeMap<Arc<str>, usize> = BTreeMap::new();
        let mut evidences = Vec::new();
        for key in keys {
            let Some(server) = self.get_mut(key) else {
                continue;
            };
            server.sum_requests(now);
            let slots = f64::from(server.registration.slots.max(1));
            let evidence = server.pace.evidence(now, slots);
            evidences.push((key, evidence));
            let service = Arc::clone(&server.registration.service);
            *counts.entry(Arc::clone(&service)).or_default() += 1;
            let of_service = logs.entry(service).or_default();
            for (logs, slowness) in of_service.iter_mut().zip(evidence) {
                logs.extend(slowness.map(|slowness| slowness.log));
            }
        }
        let medians: BTreeMap<Arc<str>, [f64; 2]> = logs
            .into_iter()
            .filter(|(service, logs)| logs[0].len() * 2 > counts[service])
            .map(|(service, logs)| (service, logs.map(median)))
            .collect();
        for (key, evidence) in evidences {
            let Some(server) = self.get_mut(key) else {
                continue;
            };
            if let Some(medians) = medians.get(&server.registration.service) {
                server.pace.set(now, evidence, *medians);
            }
        }
    }
}

/// Returns the median, 0 if there are no values.
fn median(mut values: Vec<f64>) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    values.sort_by(f64::total_cmp);
    let middle = values.len() / 2;
    if values.len() % 2 == 1 {
        values[middle]
    } else {
        (values[middle - 1] + values[middle]) / 2.0
    }
}
