//! The record of weight loads that are under way.
//!
//! The record lies in the platform's key-value service and changes only by
//! compare-and-swap. It holds one slot for each load, no more than the
//! configuration allows at once, so the limit holds whoever fills the slots. A
//! slot is a lease: its holder may give the order until the slot lapses, under
//! a fencing number that no other holder had or will have. A lapsed slot stays
//! in the record, and counts, until another router takes it over or the load
//! is known to be over.

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::Time;

/// Key of the record of weight loads that are under way.
pub const WEIGHTS_LOADS_KEY: &str = "orders/loads";

/// Time for which a slot is held unless renewed, in milliseconds.
pub(crate) const SLOT_MS: u64 = 3_000;

/// Longest time that an order may be on its way, in milliseconds.
pub(crate) const ORDER_FLIGHT_MS: u64 = 2_000;

/// Allowance for clocks that differ between VMs, in milliseconds.
const CLOCK_SKEW_MS: u64 = 500;

/// Time after which a lapsed slot of a server that has restarted is dropped, in milliseconds.
const ABANDONED_MS: u64 = 30_000;

/// A load that is under way.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadingSlot {
    /// Runner that loads.
    pub server: String,
    /// Incarnation of its engine.
    pub incarnation: Incarnation,
    /// Model that it loads.
    pub model: String,
    /// Version of the weights.
    pub weights_version: u64,
    /// VM and incarnation of the router that may give the order.
    pub holder: String,
    /// Fencing number of the order.
    pub fencing: u64,
    /// When the slot lapses unless renewed.
    pub until: Time,
    /// Whether the server refuses an old fencing number.
    pub checks_fencing: bool,
}

/// All loads that are under way.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsLoadRecord {
    /// Highest fencing number given out.
    pub fencing: u64,
    /// Loads in the order in which they began.
    pub slots: Vec<LoadingSlot>,
}

/// A load that a router wants.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Wanted {
    pub(crate) server: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) model: String,
    pub(crate) weights_version: u64,
    pub(crate) checks_fencing: bool,
}

impl WeightsLoadRecord {
    /// Adds a slot if there is room; the caller has the right to the load once
    /// the changed record is written.
    pub(crate) fn fill(&mut self, now: Time, holder: &str, wanted: &Wanted, limit: u32) -> bool {
        let taken = self.slots.iter().any(|slot| slot.server == wanted.server);
        if taken || self.slots.len() >= limit as usize {
            return false;
        }
        self.fencing += 1;
        self.slots.push(wanted.slot(now, holder, self.fencing));
        true
    }

    /// Turns the slot of a server to what is wanted of it now, if the slot is the
    /// holder's own or its holder can't give orders any more.
    pub(crate) fn turn(&mut self, now: Time, holder: &str, wanted: &Wanted) -> bool {
        let Some(slot) = self.slots.iter_mut().find(|s| s.server == wanted.server) else {
            return false;
        };
        let own = slot.holder == holder;
        let good = own && slot.may_order(now) && slot.serves(wanted);
        if good || (!own && now < slot.free_at()) {
            return false;
        }
        self.fencing += 1;
        *slot = wanted.slot(now, holder, self.fencing);
        true
    }

    /// Renews the slots of a holder whose time is half over.
    pub(crate) fn renew(&mut self, now: Time, holder: &str) -> bool {
        let mut renewed = false;
        for slot in self.slots.iter_mut().filter(|slot| slot.holder == holder) {
            if now < slot.until && now.plus_millis(SLOT_MS / 2) >= slot.until {
                slot.until = now.plus_millis(SLOT_MS);
                renewed = true;
            }
        }
        renewed
    }

    /// Drops a holder's slot; tells whether it was there.
    pub(crate) fn drop_own(&mut self, holder: &str, server: &str) -> bool {
        let before = self.slots.len();
        self.slots
            .retain(|slot| slot.holder != holder || slot.server != server);
        self.slots.len() < before
    }

    /// Drops slots that nobody has taken over for long.
    pub(crate) fn drop_abandoned(&mut self, now: Time) -> bool {
        let before = self.slots.len();
        self.slots
            .retain(|slot| now < slot.until.plus_millis(ABANDONED_MS));
        self.slots.len() < before
    }

    /// Returns the slots of a holder.
    pub(crate) fn own<'a>(&'a self, holder: &'a str) -> impl Iterator<Item = &'a LoadingSlot> {
        self.slots.iter().filter(move |slot| slot.holder == holder)
    }
}

impl Wanted {
    fn slot(&self, now: Time, holder: &str, fencing: u64) -> LoadingSlot {
        LoadingSlot {
            server: self.server.clone(),
            incarnation: self.incarnation,
            model: self.model.clone(),
            weights_version: self.weights_version,
            holder: holder.to_owned(),
            fencing,
            until: now.plus_millis(SLOT_MS),
            checks_fencing: self.checks_fencing,
        }
    }
}

impl LoadingSlot {
    fn serves(&self, wanted: &Wanted) -> bool {
        self.incarnation == wanted.incarnation
            && self.model == wanted.model
            && self.weights_version == wanted.weights_version
    }

    /// Tells whether the holder may give the order now.
    pub(crate) fn may_order(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the time at which another router may take the slot over.
    ///
    /// A server that checks fencing numbers refuses a late order of the old
    /// holder. With any other, the wait outlasts the order on its way.
    fn free_at(&self) -> Time {
        let flight_ms = if self.checks_fencing {
            0
        } else {
            ORDER_FLIGHT_MS
        };
        self.until.plus_millis(CLOCK_SKEW_MS + flight_ms)
    }
}
