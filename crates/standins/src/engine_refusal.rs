//! Refusals by the engine stand-in.

use http::StatusCode;

/// Why the engine stand-in refused a request without executing any of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EngineRefusal {
    /// The engine is shutting down.
    Leaving,
    /// The queue has no room for the prompt.
    Overloaded,
    /// The request is for another incarnation of the engine.
    StaleIncarnation,
    /// The requested version of the weights is not loaded.
    StaleWeights,
    /// The engine has no such stream.
    StreamGone,
    /// The tokens that the caller has received do not belong to the prompt.
    BadDelivered,
}

impl EngineRefusal {
    /// Returns the reason as it is sent to the router.
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

    /// Returns the HTTP status code.
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
