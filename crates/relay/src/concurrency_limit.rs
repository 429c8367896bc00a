//! The number of requests in flight at which a backend server has its highest throughput.
//!
//! A server with `n` requests in flight, each of which takes `t` for a unit of work, completes
//! `n / t` units in that time. The means of `t / n` are compared over four ranges of `n`; the
//! server's limit is the upper end of the range with the lowest one, unless that is the last.

use policy::Time;

use crate::decaying_mean::DecayingMean;

/// Number of ranges of concurrency.
pub(crate) const FILL_LEVELS: usize = 4;

/// Upper ends of the ranges, as parts of the server's slots. The last one has none.
const LEVEL_ENDS: [f64; FILL_LEVELS - 1] = [0.55, 0.75, 1.0];

/// Number of ranges below full slots. A server is limited only if one of them is the best.
const LIMITED_LEVELS: usize = 2;

/// Least time for a unit of work, in milliseconds, so that its logarithm is a number.
const MIN_UNIT_MS: f64 = 0.1;

/// Time in which the weight of a completion falls to a third, in milliseconds. Once the ranges
/// above the limit are forgotten, they are tried again.
pub(crate) const FILL_DECAY_MS: f64 = 6_000.0;

/// Weight that a range needs to be compared, in completions.
const MIN_WEIGHT: f64 = 4.0;

/// Difference of the logarithms from which a higher range counts as slower: less is noise.
const SLOWER_LOG: f64 = 0.25;

/// Mean time per unit of work and request in flight, as logarithms, by range of concurrency.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct ByFill(pub [DecayingMean; FILL_LEVELS]);

impl ByFill {
    /// Adds a request that took `unit_ms` for each unit of its work, while `running` requests ran
    /// on average, and those in flight were a part `fill` of the server's slots.
    pub(crate) fn add(&mut self, now: Time, unit_ms: f64, running: f64, fill: f64) {
        let level = LEVEL_ENDS.iter().position(|end| fill <= *end);
        let level = level.unwrap_or(FILL_LEVELS - 1);
        let log = (unit_ms.max(MIN_UNIT_MS) / running.max(1.0)).ln();
        self.0[level].add(now, log, 1.0, FILL_DECAY_MS);
    }

    /// Returns the means as they are at `now`.
    pub(crate) fn at(self, now: Time) -> ByFill {
        ByFill(self.0.map(|level| level.at(now, FILL_DECAY_MS)))
    }

    /// Returns the means over the requests of both.
    pub(crate) fn plus(self, other: ByFill) -> ByFill {
        ByFill(std::array::from_fn(|i| self.0[i].plus(other.0[i])))
    }

    /// Returns the number of requests in flight with the highest throughput; none if the server
    /// isn't known to slow down below `slots`.
    pub(crate) fn limit(&self, slots: f64) -> Option<f64> {
        let known = |i: usize| self.0[i].mean(MIN_WEIGHT).map(|log| (i, log));
        let levels: Vec<(usize, f64)> = (0..FILL_LEVELS).filter_map(known).collect();
        let best = levels.iter().min_by(|a, b| a.1.total_cmp(&b.1))?;
        let is_slower_above = levels
            .iter()
            .any(|level| level.0 > best.0 && level.1 > best.1 + SLOWER_LOG);
        let end = LEVEL_ENDS[..LIMITED_LEVELS].get(best.0)?;
        is_slower_above.then(|| (slots * end).max(1.0))
    }
}
