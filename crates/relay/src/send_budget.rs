//! Budget of sends beyond the first of each request.

use std::collections::VecDeque;

use policy::Time;

/// Length of the window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Length of one slice of the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

#[derive(Clone, Copy, Debug)]
struct Slice {
    ends_at: Time,
    requests: u32,
    retries: u32,
}

/// Counts the requests for a service over a sliding window, and allows repeats
/// in proportion to them.
#[derive(Clone, Debug)]
pub struct SendBudget {
    slices: VecDeque<Slice>,
    /// Repeats for each request, in hundredths.
    retries_per_100: u32,
    /// Repeats beyond that in a window.
    reserve: u32,
}

impl SendBudget {
    /// Allows `retries_per_100` repeats for each 100 requests, and `reserve` more.
    pub fn new(retries_per_100: u32, reserve: u32) -> SendBudget {
        SendBudget {
            slices: VecDeque::new(),
            retries_per_100,
            reserve,
        }
    }

    /// Sets this router's part of the repeats that need no request.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Counts a request.
    pub fn earn(&mut self, now: Time) {
        self.current_slice(now).requests += 1;
    }

    /// Uses a repeat, if one is left.
    pub fn spend(&mut self, now: Time) -> bool {
        if self.left(now) == 0 {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// Returns how many repeats are left.
    pub fn left(&mut self, now: Time) -> u32 {
        self.current_slice(now);
        let requests: u32 = self.slices.iter().map(|slice| slice.requests).sum();
        let retries: u32 = self.slices.iter().map(|slice| slice.retries).sum();
        let allowed = requests * self.retries_per_100 / 100 + self.reserve;
        allowed.saturating_sub(retries)
    }

    fn current_slice(&mut self, now: Time) -> &mut Slice {
        while let Some(first) = self.slices.front() {
            if first.ends_at.plus_millis(WINDOW_MS) > now {
                break;
            }
            self.slices.pop_front();
        }
        if self.slices.back().is_none_or(|last| last.ends_at <= now) {
            self.slices.push_back(Slice {
                ends_at: now.plus_millis(SLICE_MS),
                requests: 0,
                retries: 0,
            });
        }
        self.slices.back_mut().expect("a slice was just added")
    }
}
