//! Retry budget: limits retries to a proportion of the requests.

use std::collections::VecDeque;

use policy::Time;

/// Length of the sliding window, in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Length of one slice of the window, in milliseconds.
const SLICE_MS: u64 = 1_000;

/// Counts of one slice of the window.
#[derive(Clone, Copy, Debug)]
struct Slice {
    ends_at: Time,
    requests: u32,
    retries: u32,
}

/// Counts the requests to a service in a sliding window and allows retries in proportion.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    slices: VecDeque<Slice>,
    /// Retries allowed for each 100 requests.
    retries_per_100: u32,
    /// Retries allowed in a window in addition, whatever the number of requests.
    reserve: u32,
}

impl RetryBudget {
    /// Creates a budget of `retries_per_100` retries for each 100 requests, and `reserve` more.
    pub fn new(retries_per_100: u32, reserve: u32) -> RetryBudget {
        RetryBudget {
            slices: VecDeque::new(),
            retries_per_100,
            reserve,
        }
    }

    /// Sets the number of retries allowed whatever the number of requests.
    pub fn set_reserve(&mut self, reserve: u32) {
        self.reserve = reserve;
    }

    /// Counts a request, which adds to the budget.
    pub fn record_request(&mut self, now: Time) {
        self.current_slice(now).requests += 1;
    }

    /// Takes a retry from the budget. Returns whether one was left.
    pub fn spend(&mut self, now: Time) -> bool {
        if self.remaining(now) == 0 {
            return false;
        }
        self.current_slice(now).retries += 1;
        true
    }

    /// Returns how many retries are left at present.
    pub fn remaining(&mut self, now: Time) -> u32 {
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
