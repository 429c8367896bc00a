//! Timers of a node.

use std::collections::BTreeSet;

use crate::CallId;
use crate::OpId;
use crate::Time;

/// What to do when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// Check the deadline of a call.
    Call(CallId),
    /// Place a call locally if the query with this ticket has no response.
    QueryTimeout(u64),
    /// Announce the loads of owned cells.
    CellLoads,
    /// Check whether the attempt of a call has stalled.
    Stall(CallId),
    /// Retry a request to the key-value service.
    StoreRetry(OpId),
    /// Check the loading of weights.
    WeightsLoads,
    /// Check the quarantine.
    Quarantine,
    /// Run a round of gossip.
    Gossip,
    /// Request a snapshot again.
    Snapshot,
    /// End all calls in flight.
    Shutdown,
}

/// Pending timers, ordered by time.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Time, Timer)>,
}

impl Timers {
    /// Adds a timer.
    pub(crate) fn add(&mut self, at: Time, timer: Timer) {
        self.set.insert((at, timer));
    }

    /// Returns the time of the earliest timer.
    pub(crate) fn next(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// Removes and returns a timer that is due, if there is one.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let (at, timer) = *self.set.first()?;
        if at > now {
            return None;
        }
        self.set.remove(&(at, timer));
        Some(timer)
    }
}
