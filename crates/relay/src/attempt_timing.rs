//! Times that an attempt took, from which the pace of its backend server is learned.

/// How long an attempt took.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AttemptTiming {
    /// Time to the first event of a response, and what was expected of a server of usual speed.
    FirstEvent {
        /// Measured time, in milliseconds.
        took_ms: f64,
        /// Wait and prefill as estimated when the request was sent, without the pace.
        expected_ms: f64,
        /// The prefill alone.
        prefill_ms: f64,
    },
    /// Whole time of a request to a plain service.
    Whole {
        /// Measured time, in milliseconds.
        took_ms: f64,
        /// Requests in flight at the server meanwhile, on average, with this one.
        requests: f64,
    },
    /// Time between two events of a stream.
    Event {
        /// Mean of the stream, in milliseconds.
        event_ms: f64,
        /// Requests in flight at the server meanwhile, on average, with this one.
        requests: f64,
    },
}
