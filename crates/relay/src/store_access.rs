//! How a router gets at what the store holds, and how soon it repeats a failed call.

use std::ops::RangeInclusive;

/// How a router gets at what the store holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreAccess {
    /// It reads the store itself.
    Direct,
    /// A hub reads the store for it.
    ThroughHub,
    /// A hub should read the store for it, but none has done so lately.
    HubLost,
}

impl StoreAccess {
    /// Returns the shortest and longest time from a failed call to the next, in milliseconds. The platform
    /// charges for failed calls too.
    pub fn retry_pause_ms(self) -> RangeInclusive<u64> {
        match self {
            StoreAccess::Direct => 250..=375,
            // The hub's messages show sooner that the store is back.
            StoreAccess::ThroughHub => 1_500..=3_000,
            StoreAccess::HubLost => 1_000..=2_000,
        }
    }
}
