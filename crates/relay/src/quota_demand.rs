//! The units that requests of one workspace asked for lately.

use policy::Time;

/// Length of a time slice, in milliseconds.
const SLICE_MS: u64 = 200;

/// Number of time slices; all together make up a second.
const SLICES: u64 = 5;

/// Units by time slice of the last second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct QuotaDemand {
    units: [u64; SLICES as usize],
    /// Units of the smallest request in each slice; 0 if there was none.
    least: [u64; SLICES as usize],
    /// Number of the latest time slice.
    slice: u64,
}

impl QuotaDemand {
    /// Counts a request.
    pub(crate) fn add(&mut self, now: Time, units: u64) {
        self.advance(now);
        let latest = (self.slice % SLICES) as usize;
        self.units[latest] = self.units[latest].saturating_add(units);
        self.least[latest] = match self.least[latest] {
            0 => units,
            least => least.min(units),
        };
    }

    /// Returns the units of the smallest request of the last second; none if there was none.
    pub(crate) fn least(&mut self, now: Time) -> Option<u64> {
        self.advance(now);
        let least = self.least.iter().copied();
        least.filter(|units| *units > 0).min()
    }

    /// Returns the units of the last second.
    pub(crate) fn per_second(&mut self, now: Time) -> u64 {
        self.advance(now);
        let units = self.units.iter();
        units.fold(0, |sum, units| sum.saturating_add(*units))
    }

    fn advance(&mut self, now: Time) {
        let slice = now.as_millis() / SLICE_MS;
        let first = (self.slice + 1).max((slice + 1).saturating_sub(SLICES));
        for passed in first..=slice {
            self.units[(passed % SLICES) as usize] = 0;
            self.least[(passed % SLICES) as usize] = 0;
        }
        self.slice = self.slice.max(slice);
    }
}
