//! Prompt parts that were sent to engines.

use relay::PartKey;
use relay::ServerKey;
use relay::Transfer;

/// A prompt part that was sent to an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentPart {
    /// Key of the part.
    pub part: PartKey,
    /// Engine to which it was sent.
    pub server: ServerKey,
    /// Transfer of the part between the engine and a prefix store, if the request causes one.
    pub transfer: Option<Transfer>,
}
