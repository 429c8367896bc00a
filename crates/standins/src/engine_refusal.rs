//! Refusals of the engine stand-in.

use http::StatusCode;

/// Why the engine stand-in ran nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineRefusal {
    /// It is leaving.
    Leaving,
    /// Too much is queued.
    Overloaded,
    /// It has another incarnation.
    StaleIncarnation,
    /// It holds other weights, or is loading.
    StaleWeights,
    /// It holds no such stream.
    StreamGone,
    /// The delivered tokens aren't those of the prompt.
    BadDelivered,
}

impl EngineRefusal {
    /// Returns the word for it.
    pub(crate) fn reason(self) -> &'static str {
        match self {
            EngineRefusal::Leaving => "leaving",
            EngineRefusal::Overloaded => "overloaded",
            EngineRefusal::StaleIncarnation => "stale_incarnation",
            EngineRefusal::StaleWeights => "stale_weights",
            EngineRefusal::StreamGone => "stream_gone",
            EngineRefusal::BadDelivered => "bad_delivered",
        }
    }

    /// Returns its HTTP status.
    pub(crate) fn status(self) -> StatusCode {
        match self {
            EngineRefusal::Leaving => StatusCode::SERVICE_UNAVAILABLE,
            EngineRefusal::Overloaded => StatusCode::TOO_MANY_REQUESTS,
            EngineRefusal::StaleIncarnation => StatusCode::CONFLICT,
            EngineRefusal::StaleWeights => StatusCode::CONFLICT,
            EngineRefusal::StreamGone => StatusCode::NOT_FOUND,
            EngineRefusal::BadDelivered => StatusCode::BAD_REQUEST,
        }
    }
}
