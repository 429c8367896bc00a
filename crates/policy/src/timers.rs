//! Deadlines of a node.

use std::collections::BTreeSet;

use crate::CallId;
use crate::OpId;
use crate::Time;

/// What is to be looked at when a deadline comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timer {
    /// The deadline of a call, or of its present stage.
    Call(CallId),
    /// The owner of a cell should have answered this ticket.
    Place(u64),
    /// Other routers are to be told the loads of own cells.
    CellLoads,
    /// The answer of an attempt is late.
    Stall(CallId),
    /// A call to the key-value service is to be tried again.
    Store(OpId),
    /// The loads of weights are to be looked at.
    WeightsLoads,
    /// Trials are to be looked at.
    Quarantine,
    /// Other routers are to be told what is new.
    Gossip,
    /// Other routers are to be asked for a snapshot again.
    Snapshot,
    /// Calls in flight must have ended.
    Shutdown,
}

/// Deadlines in the order of their times.
#[derive(Debug, Default)]
pub(crate) struct Timers {
    set: BTreeSet<(Time, Timer)>,
}

impl Timers {
    /// Adds a deadline.
    pub(crate) fn add(&mut self, at: Time, timer: Timer) {
        self.set.insert((at, timer));
    }

    /// Returns the earliest deadline.
    pub(crate) fn next(&self) -> Option<Time> {
        self.set.first().map(|(at, _)| *at)
    }

    /// Takes out one deadline that has come.
    pub(crate) fn pop_due(&mut self, now: Time) -> Option<Timer> {
        let (at, timer) = *self.set.first()?;
        if at > now {
            return None;
        }
        self.set.remove(&(at, timer));
        Some(timer)
    }
}
