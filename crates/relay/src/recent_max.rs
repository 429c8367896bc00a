//! The highest of the numbers that were known lately.

use std::collections::VecDeque;

use policy::Time;

/// Time for which a number counts after another one has replaced it, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// A number that was replaced.
#[derive(Clone, Copy, Debug)]
struct Former {
    value: u32,
    until: Time,
}

/// The number known now and those that it replaced lately.
#[derive(Clone, Debug, Default)]
pub(crate) struct RecentMax {
    current: Option<u32>,
    former: VecDeque<Former>,
}

impl RecentMax {
    /// Replaces the number.
    pub(crate) fn set(&mut self, now: Time, value: u32) {
        let before = self.current.replace(value);
        let until = now.plus_millis(KEPT_MS);
        let replaced = before.filter(|before| *before > value);
        self.former
            .extend(replaced.map(|value| Former { value, until }));
        self.former.retain(|former| former.until > now);
    }

    /// Returns the highest number known lately; none if there was none.
    pub(crate) fn get(&self, now: Time) -> Option<u32> {
        let former = self.former.iter().filter(|former| former.until > now);
        let values = former.map(|former| former.value);
        values.chain(self.current).max()
    }
}
