//! Commands of the node to the task of a call.

use policy::Attempt;
use policy::Dispatch;
use policy::Refusal;
use policy::StoredResponse;

/// A command of the node to the task of a call.
#[derive(Clone, Debug)]
pub enum CallCommand {
    /// Send this attempt to a backend server.
    Dispatch(Dispatch),
    /// Stop this attempt.
    Cancel(Attempt),
    /// Respond with this refusal.
    Refuse(Refusal),
    /// Respond with the response of a plain service.
    Respond {
        /// Response of the service.
        response: StoredResponse,
        /// Whether the call ran earlier and this is its stored response.
        replayed: bool,
    },
}
