//! Budget of sends beyond the first of each request.

use std::collections::VecDeque;

use policy::Time;

/// Length of the window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Length of one slice of the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Slice {
    until: Time,
    requests: u32,
    repeats: u32,
}

/// Counts the requests for a service over a sliding window, and allows repeats
/// in proportion to them.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    /// Repeats for each request, in hundredths.
    per_100: u32,
    /// Repeats beyond that in a window.
    reserve: u32,
}

impl RetryBudget {
    /// Allows `per_100` repeats for each 100 requests, and `reserve` more.
    pub fn new(per_100: u32, reserve: u32) -> RetryBudget {
        RetryBudget {
            slices: VecDeque::new(),
            per_100,
            reserve,
        }
    }

    /// Sets this router's part of the repeats that need no request.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Counts a request.
    pub fn record_request(&mut self, now: Time) {
        self.slice(now).requests += 1;
    }

    /// Uses a repeat, if one is left.
    pub fn spend(&mut self, now: Time) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.slice(now).repeats += 1;
        true
    }

    /// Returns how many repeats are left.
    pub fn remaining(&mut self, now: Time) -> u32 {
        self.slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let repeats: u32 = self.slices.iter().map(|slice| slice.repeats).sum();
        let allowed = requests * self.per_100 / 100 + self.reserve;
        allowed.saturating_sub(repeats)
    }

    fn slice(&mut self, now: Time) -> &mut Slice {
        while let Some(first) = self.slices.front() {
            if first.until.plus_millis(WINDOW_MS) > now {
                break;
            }
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.until <= now) {
            self.slices.push_back(Slice {
                until: now.plus_millis(SLICE_MS),
                requests: 0,
                repeats: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
