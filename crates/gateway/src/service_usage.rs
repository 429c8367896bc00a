//! What is buffered for the requests of each service.

use std::collections::BTreeMap;

use crate::connection_usage::ConnectionUsage;
use crate::held_for::HeldFor;
use crate::service_key::ServiceKey;

/// Bytes that are buffered for requests of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ServiceBytes {
    /// Bytes of the requests.
    pub requests: u64,
    /// Bytes of requests and responses.
    pub sum: u64,
}

/// What one connection adds to the bytes of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Contribution {
    service: ServiceKey,
    bytes: ServiceBytes,
}

impl Contribution {
    /// Returns what a connection adds; none if the service of its request isn't known.
    pub fn of(usage: &ConnectionUsage) -> Option<Contribution> {
        Some(Contribution {
            service: usage.service()?,
            bytes: ServiceBytes {
                requests: usage.bytes_for(HeldFor::Request),
                sum: usage.buffered_bytes(),
            },
        })
    }
}

/// Sums over the open connections of a port, by the service of their requests.
#[derive(Clone, Debug, Default)]
pub struct ServiceUsage(BTreeMap<ServiceKey, ServiceBytes>);

impl ServiceUsage {
    /// Returns what is buffered for requests of a service.
    pub fn of(&self, service: ServiceKey) -> ServiceBytes {
        self.0.get(&service).copied().unwrap_or_default()
    }

    /// Replaces what a connection added before a change by what it adds after it.
    pub fn replace(&mut self, before: Option<Contribution>, after: Option<Contribution>) {
        if before == after {
            return;
        }
        if let Some(before) = before {
            self.remove(before);
        }
        if let Some(after) = after {
            let sums = self.0.entry(after.service).or_default();
            sums.requests += after.bytes.requests;
            sums.sum += after.bytes.sum;
        }
    }

    fn remove(&mut self, contribution: Contribution) {
        let Some(sums) = self.0.get_mut(&contribution.service) else {
            return;
        };
        sums.requests = sums.requests.saturating_sub(contribution.bytes.requests);
        sums.sum = sums.sum.saturating_sub(contribution.bytes.sum);
        if *sums == ServiceBytes::default() {
            self.0.remove(&contribution.service);
        }
    }
}
