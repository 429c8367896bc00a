//! Simulated network: latencies and blocked directions.

use std::collections::BTreeMap;

use policy::Time;

/// Sender or receiver of messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// The router on the VM with this index.
    Router(usize),
    /// The model engine with this index.
    Engine(usize),
    /// The replica of the plain service with this index.
    Replica(usize),
    /// The key-value service and the membership list.
    Platform,
}

/// Network between all endpoints.
#[derive(Debug, Default)]
pub(crate) struct Network {
    /// Time until which messages from the first to the second endpoint are dropped.
    blocked: BTreeMap<(Endpoint, Endpoint), Time>,
}

impl Network {
    /// Drops messages from one endpoint to another until a time; the other direction stays open.
    pub(crate) fn block(&mut self, from: Endpoint, to: Endpoint, until: Time) {
        let end = self.blocked.entry((from, to)).or_default();
        *end = (*end).max(until);
    }

    /// Returns whether a message sent now arrives.
    pub(crate) fn delivers(&self, now: Time, from: Endpoint, to: Endpoint) -> bool {
        self.blocked
            .get(&(from, to))
            .is_none_or(|until| *until <= now)
    }

    /// Returns whether messages arrive in both directions.
    pub(crate) fn connects(&self, now: Time, a: Endpoint, b: Endpoint) -> bool {
        self.delivers(now, a, b) && self.delivers(now, b, a)
    }

    /// Returns the latency from one endpoint to another, in microseconds. It is constant,
    /// so that the messages of one connection stay in order.
    pub(crate) fn latency_us(&self, from: Endpoint, to: Endpoint) -> u64 {
        300 + 700 * ((endpoint_number(from) * 7 + endpoint_number(to) * 7) % 5)
    }
}

fn endpoint_number(endpoint: Endpoint) -> u64 {
    match endpoint {
        Endpoint::Router(i) => i as u64,
        Endpoint::Engine(i) => 3 * i as u64 + 1,
        Endpoint::Replica(i) => 5 * i as u64 + 2,
        Endpoint::Platform => 0,
    }
}
