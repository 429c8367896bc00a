//! Switches of engines to new weights.

use policy::Time;
use relay::ServerKey;

/// An engine that switches to new weights.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WeightsSwitch {
    /// Engine that loads the weights.
    pub server: ServerKey,
    /// Name of the model.
    pub model: String,
    /// Version that it loads.
    pub version: u64,
    /// Time until which the engine is expected to reject requests.
    pub until: Time,
}
