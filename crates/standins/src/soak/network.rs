//! The network between all parties.

use std::collections::BTreeMap;

use policy::Time;

/// Somebody who sends and receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Endpoint {
    /// A router.
    Router(usize),
    /// A model engine.
    Engine(usize),
    /// A replica of the plain service.
    Replica(usize),
    /// The key-value service and the membership list.
    Platform,
}

/// The network: cuts and latencies.
#[derive(Debug, Default)]
pub(crate) struct Network {
    cuts: BTreeMap<(Endpoint, Endpoint), Time>,
}

impl Network {
    /// Cuts the way from one party to another.
    pub(crate) fn cut(&mut self, from: Endpoint, to: Endpoint, until: Time) {
        let end = self.cuts.entry((from, to)).or_default();
        *end = (*end).max(until);
    }

    /// Tells whether a message sent now arrives.
    pub(crate) fn delivers(&self, now: Time, from: Endpoint, to: Endpoint) -> bool {
        self.cuts.get(&(from, to)).is_none_or(|until| *until <= now)
    }

    /// Tells whether messages pass both ways.
    pub(crate) fn connects(&self, now: Time, a: Endpoint, b: Endpoint) -> bool {
        self.delivers(now, a, b) && self.delivers(now, b, a)
    }

    /// Returns the latency of a way, which is always the same, so that the
    /// messages of one connection stay in order.
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
