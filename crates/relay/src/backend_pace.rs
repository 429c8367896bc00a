//! What a backend server's learned pace means for the requests that it may get.

use policy::Time;

use crate::BackendServer;

/// Cost of each request beyond the number with which a backend server has its highest throughput,
/// in milliseconds.
const OVER_LIMIT_COST_MS: f64 = 100.0;

/// Sum of the requests in flight over time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RequestSum {
    sum_ms: f64,
    /// Until when it was taken; none before the first time.
    until: Option<Time>,
}

impl BackendServer {
    /// Returns the factor by which waits and prefill times at this server differ from those at
    /// the median server of its service; 1 if nothing is learned or the difference is small.
    pub fn pace(&self, now: Time) -> f64 {
        self.pace.pace(now)
    }

    /// Returns the number of requests in flight with the highest throughput; none if the server
    /// isn't known to slow down before its slots are full.
    pub fn concurrency_limit(&self) -> Option<f64> {
        self.pace.concurrency_limit
    }

    /// Returns the cost of one more request beyond wait and prefill, in milliseconds: the time by
    /// which one to a plain service takes longer than at the median server, and the requests beyond
    /// the number with the highest throughput.
    pub(crate) fn pace_cost_ms(&self, now: Time) -> f64 {
        let is_plain = self.registration.weights.is_empty();
        let extra_ms = if is_plain {
            (self.pace(now) - 1.0) * self.pace.median_ms
        } else {
            0.0
        };
        let over = self.concurrency_limit().map_or(0.0, |limit| {
            let requests = f64::from(self.load(now).requests);
            (requests + 1.0 - limit).max(0.0)
        });
        extra_ms + over * OVER_LIMIT_COST_MS
    }

    /// Returns the sum of the requests in flight over time, in milliseconds. The difference between
    /// two times over the time between them is the mean number of requests.
    pub fn request_ms(&self, now: Time) -> f64 {
        let RequestSum { sum_ms, until } = self.request_sum;
        let since_ms = until.map_or(0.0, |until| now.micros_since(until) as f64 / 1_000.0);
        sum_ms + f64::from(self.load(now).requests) * since_ms
    }

    /// Adds the requests in flight since the last time to their sum.
    pub(crate) fn sum_requests(&mut self, now: Time) {
        self.request_sum = RequestSum {
            sum_ms: self.request_ms(now),
            until: Some(now),
        };
    }
}
