//! Failed attempts in the words of the node.

use policy::Failure;

/// Returns how an attempt failed that was not answered.
pub fn of_backend(error: &backend::Error) -> Failure {
    match error {
        backend::Error::NotConnected { .. } => Failure::NotConnected,
        backend::Error::Refused { reason, .. } => of_refusal(reason),
        backend::Error::Broken { .. } => Failure::Broken,
    }
}

fn of_refusal(reason: &str) -> Failure {
    match reason {
        "leaving" => Failure::Leaving,
        "overloaded" => Failure::Overloaded,
        "stale_incarnation" => Failure::StaleIncarnation,
        "stale_weights" => Failure::StaleWeights,
        _ => Failure::Refused,
    }
}
