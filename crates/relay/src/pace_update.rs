//! What a router has learned of a backend server's speed, as it is sent to other routers.

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::concurrency_limit::FILL_LEVELS;

/// Steps of a mean in a message: one is a factor of about 1.04.
const MEAN_STEPS: f64 = 24.0;

/// Steps of a weight in a message.
const WEIGHT_STEPS: f64 = 4.0;

/// Unit of the age of a change, in milliseconds.
const CHANGE_AGE_MS: u64 = 100;

/// A mean of logarithms and its weight, two bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MeanUpdate {
    mean: i8,
    weight: u8,
}

impl MeanUpdate {
    pub(crate) fn new(mean: f64, weight: f64) -> MeanUpdate {
        MeanUpdate {
            mean: (mean * MEAN_STEPS).round() as i8,
            weight: (weight * WEIGHT_STEPS).round() as u8,
        }
    }

    pub(crate) fn mean(self) -> f64 {
        f64::from(self.mean) / MEAN_STEPS
    }

    pub(crate) fn weight(self) -> f64 {
        f64::from(self.weight) / WEIGHT_STEPS
    }
}

/// What a router, or the routers of a region, have learned of one backend server, 15 bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PaceUpdate {
    /// Times between events, or whole times at plain services, of the last moments.
    pub recent: MeanUpdate,
    /// The same over some seconds.
    pub steady: MeanUpdate,
    /// Times to the first event against their estimates, over some seconds.
    pub first: MeanUpdate,
    /// Time per completion by the number of requests in flight.
    pub by_fill: [MeanUpdate; FILL_LEVELS],
    /// Time since the server's speed changed, in tenths of a second; 255 if that is long ago.
    pub changed: u8,
}

impl PaceUpdate {
    /// Returns the age of a change for a message.
    pub(crate) fn age(now: Time, changed_at: Time) -> u8 {
        let age = now.millis_since(changed_at) / CHANGE_AGE_MS;
        u8::try_from(age).unwrap_or(u8::MAX)
    }

    /// Returns when the server's speed changed; 0 if that is long ago.
    pub(crate) fn changed_at(&self, now: Time) -> Time {
        if self.changed == u8::MAX {
            return Time(0);
        }
        let age_us = u64::from(self.changed) * CHANGE_AGE_MS * 1_000;
        Time(now.0.saturating_sub(age_us))
    }
}
