//! Why no backend server can take a request, and when its caller may return.

/// Minimum and maximum of the time after which callers may retry, in milliseconds.
pub(crate) const RETRY_AFTER_RANGE_MS: (u64, u64) = (150, 800);

/// Reason why no backend server can take a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unplaceable {
    /// No registered backend server runs the service and the model, at the build of the request's
    /// stream, apart from those that the request was dispatched to before.
    NoServer,
    /// All are draining, avoided after a rejection or a failure, loading weights, or still
    /// have weights on which no request may begin any more.
    NoneReady {
        /// Time until one is expected to be ready, in milliseconds.
        retry_after_ms: u64,
    },
    /// All have as many requests in flight as they can take.
    Full {
        /// Time until one is expected to have capacity, in milliseconds.
        retry_after_ms: u64,
    },
    /// It would have to wait at the router for longer than it may, or has waited that long.
    NoRoom {
        /// Time until there is expected to be room, in milliseconds.
        retry_after_ms: u64,
        /// Estimated time until it would begin, or the time that it has waited, in milliseconds.
        wait_ms: u64,
    },
    /// It waited at a router that stops.
    Stopping {
        /// Time after which the caller should retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// The wait would be too long on every backend server.
    TooLate {
        /// Time until the wait is expected to be short enough, in milliseconds.
        retry_after_ms: u64,
        /// Estimated wait on the best candidate, in milliseconds.
        wait_ms: u64,
        /// Estimated prefill time on the best candidate, in milliseconds; log lines show this name.
        reading_ms: u64,
    },
}

impl Unplaceable {
    /// Returns the time after which the caller should retry, in milliseconds.
    pub fn retry_after_ms(self) -> u64 {
        match self {
            Unplaceable::NoServer => RETRY_AFTER_RANGE_MS.1,
            Unplaceable::NoneReady { retry_after_ms }
            | Unplaceable::Full { retry_after_ms }
            | Unplaceable::Stopping { retry_after_ms }
            | Unplaceable::NoRoom { retry_after_ms, .. }
            | Unplaceable::TooLate { retry_after_ms, .. } => retry_after_ms,
        }
    }

    /// Returns the reason for log lines and metric labels.
    pub fn reason(self) -> &'static str {
        match self {
            Unplaceable::NoServer => "no_server",
            Unplaceable::NoneReady { .. } => "none_ready",
            Unplaceable::Full { .. } => "full",
            Unplaceable::NoRoom { .. } => "no_room",
            Unplaceable::Stopping { .. } => "stopping",
            Unplaceable::TooLate { .. } => "too_late",
        }
    }
}
