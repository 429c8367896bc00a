//! The record of running weights loads in the key-value service.
//!
//! The record changes only by compare-and-swap. It holds one loading slot per
//! load, and no more slots than the configuration allows loads at a time, so
//! the limit holds regardless of which routers acquire them. A slot is a lease:
//! until it expires its holder may send the order, under a fencing token that
//! no other holder has had or will have. An expired slot stays in the record
//! and counts towards the limit until another router takes it over, the load is
//! known to have ended, or the lease expired long ago.

use serde::Deserialize;
use serde::Serialize;

use crate::Incarnation;
use crate::Time;

/// Key of the record of running weights loads.
pub const WEIGHTS_LOADS_KEY: &str = "orders/loads";

/// Duration of a slot's lease unless it is renewed, in milliseconds.
pub(crate) const SLOT_LEASE_MS: u64 = 3_000;

/// Maximum time that an order is in flight, in milliseconds.
pub(crate) const ORDER_FLIGHT_MS: u64 = 2_000;

/// Allowance for clock skew between VMs, in milliseconds.
const CLOCK_SKEW_MS: u64 = 500;

/// Time after the expiry of its lease from which a slot that no router took over is dropped, for
/// example that of a server that has restarted, in milliseconds.
const ABANDON_AFTER_MS: u64 = 30_000;

/// A lease on the loading of weights by one engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadingSlot {
    /// Name of the backend server that loads.
    pub server: String,
    /// Incarnation of the engine.
    pub incarnation: Incarnation,
    /// Model that it loads.
    pub model: String,
    /// Version of the weights that it loads.
    pub weights_version: u64,
    /// VM and incarnation of the router that may send the order.
    pub holder: String,
    /// Fencing token of the order.
    pub fencing: u64,
    /// Time at which the lease expires unless it is renewed.
    pub until: Time,
    /// Whether the server refuses orders with an old fencing token.
    pub checks_fencing: bool,
}

/// All running weights loads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightsLoadRecord {
    /// Highest fencing token issued.
    pub fencing: u64,
    /// Slots in the order in which their loads began.
    pub slots: Vec<LoadingSlot>,
}

/// A weights load that a router wants an engine to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct WantedLoad {
    pub(crate) server: String,
    pub(crate) incarnation: Incarnation,
    pub(crate) model: String,
    pub(crate) weights_version: u64,
    pub(crate) checks_fencing: bool,
}

impl WeightsLoadRecord {
    /// Adds a slot if the limit allows and the server has none; returns whether
    /// it did. The holder has the lease once the changed record is written.
    pub(crate) fn acquire(
        &mut self,
        now: Time,
        holder: &str,
        wanted: &WantedLoad,
        limit: u32,
    ) -> bool {
        let taken = self.slots.iter().any(|slot| slot.server == wanted.server);
        if taken || self.slots.len() >= limit as usize {
            return false;
        }
        self.fencing += 1;
        self.slots.push(wanted.slot(now, holder, self.fencing));
        true
    }

    /// Replaces a server's slot by one for the wanted load, if the slot is the
    /// holder's own and expired or for another load, or if its holder can no
    /// longer send orders. Returns whether it did.
    pub(crate) fn reassign(&mut self, now: Time, holder: &str, wanted: &WantedLoad) -> bool {
        let Some(slot) = self.slots.iter_mut().find(|s| s.server == wanted.server) else {
            return false;
        };
        let own = slot.holder == holder;
        let up_to_date = own && slot.may_order(now) && slot.serves(wanted);
        if up_to_date || (!own && now < slot.takeover_at()) {
            return false;
        }
        self.fencing += 1;
        *slot = wanted.slot(now, holder, self.fencing);
        true
    }

    /// Renews the holder's slots whose lease is half over but has not expired; returns whether
    /// there were any.
    pub(crate) fn renew(&mut self, now: Time, holder: &str) -> bool {
        let mut renewed = false;
        for slot in self.slots.iter_mut().filter(|slot| slot.holder == holder) {
            if now < slot.until && now.plus_millis(SLOT_LEASE_MS / 2) >= slot.until {
                slot.until = now.plus_millis(SLOT_LEASE_MS);
                renewed = true;
            }
        }
        renewed
    }

    /// Drops the holder's slot for a server; returns whether there was one.
    pub(crate) fn release(&mut self, holder: &str, server: &str) -> bool {
        let before = self.slots.len();
        self.slots
            .retain(|slot| slot.holder != holder || slot.server != server);
        self.slots.len() < before
    }

    /// Drops slots whose lease expired long ago; returns whether there were any.
    pub(crate) fn drop_abandoned(&mut self, now: Time) -> bool {
        let before = self.slots.len();
        self.slots
            .retain(|slot| now < slot.until.plus_millis(ABANDON_AFTER_MS));
        self.slots.len() < before
    }

    /// Returns the slots of a holder.
    pub(crate) fn held_by<'a>(&'a self, holder: &'a str) -> impl Iterator<Item = &'a LoadingSlot> {
        self.slots.iter().filter(move |slot| slot.holder == holder)
    }
}

impl WantedLoad {
    fn slot(&self, now: Time, holder: &str, fencing: u64) -> LoadingSlot {
        LoadingSlot {
            server: self.server.clone(),
            incarnation: self.incarnation,
            model: self.model.clone(),
            weights_version: self.weights_version,
            holder: holder.to_owned(),
            fencing,
            until: now.plus_millis(SLOT_LEASE_MS),
            checks_fencing: self.checks_fencing,
        }
    }
}

impl LoadingSlot {
    fn serves(&self, wanted: &WantedLoad) -> bool {
        self.incarnation == wanted.incarnation
            && self.model == wanted.model
            && self.weights_version == wanted.weights_version
    }

    /// Returns whether the holder may send the order now.
    pub(crate) fn may_order(&self, now: Time) -> bool {
        now < self.until
    }

    /// Returns the time from which another router may take over the slot.
    ///
    /// A server that checks fencing tokens refuses a late order of the old
    /// holder. For other servers, the time is after the end of any order in
    /// flight.
    fn takeover_at(&self) -> Time {
        let flight_ms = if self.checks_fencing {
            0
        } else {
            ORDER_FLIGHT_MS
        };
        self.until.plus_millis(CLOCK_SKEW_MS + flight_ms)
    }
}
