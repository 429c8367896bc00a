//! Maps errors of backend calls to the node's failure types.

use policy::Failure;

/// Returns the failure to report for an attempt that ended with `error`.
pub fn from_backend_error(error: &backend::Error) -> Failure {
    match error {
        backend::Error::NotConnected { .. } => Failure::NotConnected,
        backend::Error::Refused { reason, .. } => from_refusal_reason(reason),
        backend::Error::Broken { .. } => Failure::Broken,
    }
}

fn from_refusal_reason(reason: &str) -> Failure {
    match reason {
        "leaving" => Failure::Leaving,
        "overloaded" => Failure::Overloaded,
        "stale_incarnation" => Failure::StaleIncarnation,
        "stale_weights" => Failure::StaleWeights,
        _ => Failure::Refused,
    }
}
