//! The network between all parties.

use std::collections::BTreeMap;

use policy::Time;

/// Somebody who sends and receives messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Party {
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
    cuts: BTreeMap<(Party, Party), Time>,
}

impl Network {
    /// Cuts the way from one party to another.
    pub(crate) fn cut(&mut self, from: Party, to: Party, until: Time) {
        let end = self.cuts.entry((from, to)).or_default();
        *end = (*end).max(until);
    }

    /// Tells whether a message sent now arrives.
    pub(crate) fn passes(&self, now: Time, from: Party, to: Party) -> bool {
        self.cuts.get(&(from, to)).is_none_or(|until| *until <= now)
    }

    /// Tells whether messages pass both ways.
    pub(crate) fn connects(&self, now: Time, a: Party, b: Party) -> bool {
        self.passes(now, a, b) && self.passes(now, b, a)
    }

    /// Returns the latency of a way, which is always the same, so that the
    /// messages of one connection stay in order.
    pub(crate) fn latency_us(&self, from: Party, to: Party) -> u64 {
        300 + 700 * ((place(from) * 7 + place(to) * 7) % 5)
    }
}

fn place(party: Party) -> u64 {
    match party {
        Party::Router(i) => i as u64,
        Party::Engine(i) => 3 * i as u64 + 1,
        Party::Replica(i) => 5 * i as u64 + 2,
        Party::Platform => 0,
    }
}
