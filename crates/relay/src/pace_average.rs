//! Averages of logarithms of times, and what they say of a backend server.

use policy::Time;

use crate::decaying_mean::DecayingMean;
use crate::MeanUpdate;

/// Power of the speed whose mean is taken where the fastest ends are to count most.
const FASTEST_POWER: f64 = 3.0;

/// Smallest logarithm of a single end where the fastest ends count most: a wait that was estimated
/// far too long must not outweigh all others.
const MIN_FASTEST_LOG: f64 = -0.7;

/// Standard deviations of the logarithm of a single end, between events and where the fastest ends
/// count most.
const END_DEVIATION: f64 = 0.35;
const FASTEST_END_DEVIATION: f64 = 0.5;

/// Number of ends with which the shared deviation counts twice: few ends are from a short time.
const FEW_ENDS: f64 = 10.0;

/// How slow a server is by one kind of evidence, before it is compared with its service's median.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Slowness {
    /// Logarithm of the time taken over the time expected.
    pub log: f64,
    /// Variance of its error.
    pub variance: f64,
}

/// How the mean of some logarithms is taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Average {
    /// All count the same.
    Mean,
    /// The smallest count most.
    Fastest,
}

impl Average {
    /// Returns the value that is averaged.
    pub(crate) fn value(self, log: f64) -> f64 {
        match self {
            Average::Mean => log,
            Average::Fastest => (-FASTEST_POWER * log.max(MIN_FASTEST_LOG)).exp(),
        }
    }

    /// Returns the logarithm that an average of values stands for.
    pub(crate) fn log(self, value: f64) -> f64 {
        match self {
            Average::Mean => value,
            Average::Fastest => -value.max(f64::MIN_POSITIVE).ln() / FASTEST_POWER,
        }
    }

    fn end_deviation(self) -> f64 {
        match self {
            Average::Mean => END_DEVIATION,
            Average::Fastest => FASTEST_END_DEVIATION,
        }
    }

    /// Returns the slowness that a mean stands for, if it has enough weight. `shared` is the standard
    /// deviation that no number of ends reduces.
    pub(crate) fn slowness(
        self,
        mean: DecayingMean,
        min_weight: f64,
        shared: f64,
    ) -> Option<Slowness> {
        let log = self.log(mean.mean(min_weight)?);
        // The variance of a mean whose weights decay exponentially.
        let variance = self.end_deviation().powi(2) / (2.0 * mean.weight);
        Some(Slowness {
            log,
            variance: variance + shared.powi(2) * (1.0 + FEW_ENDS / mean.weight),
        })
    }

    /// Returns a mean for a message.
    pub(crate) fn update(self, mean: DecayingMean) -> MeanUpdate {
        let log = mean.mean(0.0).map_or(0.0, |value| self.log(value));
        MeanUpdate::new(log, mean.weight)
    }

    /// Returns the mean that was received in a message.
    pub(crate) fn received(self, now: Time, update: MeanUpdate) -> DecayingMean {
        DecayingMean::new(now, self.value(update.mean()), update.weight())
    }
}
