//! A mean whose values lose weight exponentially with their age.

use policy::Time;

/// A mean of values, each with a weight that decays with its age. The decay time is passed in, as
/// all means of one kind have the same.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct DecayingMean {
    /// Sum of the weights at `as_of`.
    pub weight: f64,
    /// Sum of the weighted values at `as_of`.
    pub sum: f64,
    /// Time at which the sums hold.
    pub as_of: Time,
}

impl DecayingMean {
    /// Returns a mean of values with a total weight.
    pub(crate) fn new(as_of: Time, mean: f64, weight: f64) -> DecayingMean {
        DecayingMean {
            weight,
            sum: mean * weight,
            as_of,
        }
    }

    /// Returns the mean as it is at `now`.
    pub(crate) fn at(self, now: Time, decay_ms: f64) -> DecayingMean {
        let age_ms = now.micros_since(self.as_of) as f64 / 1_000.0;
        let factor = if self.weight > 0.0 {
            (-age_ms / decay_ms).exp()
        } else {
            0.0
        };
        DecayingMean {
            weight: self.weight * factor,
            sum: self.sum * factor,
            as_of: now,
        }
    }

    /// Adds a value.
    pub(crate) fn add(&mut self, now: Time, value: f64, weight: f64, decay_ms: f64) {
        let decayed = self.at(now, decay_ms);
        *self = DecayingMean {
            weight: decayed.weight + weight,
            sum: decayed.sum + value * weight,
            as_of: now,
        };
    }

    /// Returns the mean over the values of both, which must hold at the same time.
    pub(crate) fn plus(self, other: DecayingMean) -> DecayingMean {
        DecayingMean {
            weight: self.weight + other.weight,
            sum: self.sum + other.sum,
            as_of: self.as_of,
        }
    }

    /// Returns the mean; none without enough weight.
    pub(crate) fn mean(&self, min_weight: f64) -> Option<f64> {
        (self.weight >= min_weight && self.weight > 0.0).then(|| self.sum / self.weight)
    }
}
