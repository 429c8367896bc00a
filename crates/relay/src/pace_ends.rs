//! What the ends of attempts at one backend server say of its speed, as decaying means.

use policy::Time;

use crate::concurrency_limit::ByFill;
use crate::decaying_mean::DecayingMean;

/// Time in which the weight of an end falls to a third in the steady means, in milliseconds.
pub(crate) const STEADY_DECAY_MS: f64 = 6_000.0;

/// The same for the recent mean, of engines and of plain services, which have more ends.
pub(crate) const RECENT_DECAY_MS: f64 = 500.0;
pub(crate) const PLAIN_RECENT_DECAY_MS: f64 = 250.0;

/// Means of the ends that one router, or the routers of a region, saw.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Ends {
    /// Times between events, or whole times at plain services, of the last moments.
    pub recent: DecayingMean,
    /// The same over some seconds.
    pub steady: DecayingMean,
    /// Times to the first event against their estimates.
    pub first: DecayingMean,
    /// Times per completion by the number of requests in flight.
    pub by_fill: ByFill,
    /// When the server's speed last changed; what was learned before was dropped.
    pub changed_at: Time,
}

impl Ends {
    /// Returns the means as they are at `now`.
    pub(crate) fn at(self, now: Time, recent_decay_ms: f64) -> Ends {
        Ends {
            recent: self.recent.at(now, recent_decay_ms),
            steady: self.steady.at(now, STEADY_DECAY_MS),
            first: self.first.at(now, STEADY_DECAY_MS),
            by_fill: self.by_fill.at(now),
            changed_at: self.changed_at,
        }
    }

    /// Returns the means over the ends of both.
    pub(crate) fn plus(self, other: Ends) -> Ends {
        Ends {
            recent: self.recent.plus(other.recent),
            steady: self.steady.plus(other.steady),
            first: self.first.plus(other.first),
            by_fill: self.by_fill.plus(other.by_fill),
            changed_at: self.changed_at,
        }
    }
}
