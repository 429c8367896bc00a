//! What the node tells the task of a call.

use policy::Attempt;
use policy::Dispatch;
use policy::Refusal;
use policy::StoredResponse;

/// What the node tells the task of a call.
#[derive(Clone, Debug)]
pub enum CallCommand {
    /// Send an attempt.
    Dispatch(Dispatch),
    /// Stop an attempt.
    Cancel(Attempt),
    /// Give up with this refusal.
    Refuse(Refusal),
    /// Give this answer of a plain service.
    Answer {
        /// Answer.
        answer: StoredResponse,
        /// Whether the call ran earlier.
        replayed: bool,
    },
}
