//! Calls to engines that an order plan asks for, and the engines' responses.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::ServerKey;

/// Status that an engine reports.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Version of each model's weights that the engine has.
    pub weights: BTreeMap<Arc<str>, u64>,
    /// Whether the engine is executing an order.
    pub busy: bool,
    /// Number of orders that this incarnation of the engine has accepted.
    pub accepted: u64,
}

/// Response of an engine to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderResponse {
    /// The order was accepted and is being executed.
    Accepted,
    /// The engine already has these weights.
    Holds,
    /// Another order is being executed, or the number of accepted orders differs.
    Conflict,
    /// The fencing token is outdated: a newer holder of the order lease has given orders.
    Fenced,
    /// The engine doesn't know the order or the version.
    Invalid,
    /// Another incarnation of the engine has the address.
    OtherLifetime,
    /// There was no response; the order may still be executed.
    Unknown,
}

/// A call that the plan asks its caller to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Announce to all routers that an engine is about to load weights. Requests still
    /// queued at the engine when the order arrives would be rejected.
    Announce {
        /// The engine.
        server: ServerKey,
        /// Name of the model.
        model: Arc<str>,
        /// Version of the weights to load.
        version: u64,
    },
    /// Request an engine's report.
    Report(ServerKey),
    /// Order an engine to load weights.
    Order {
        /// The engine.
        server: ServerKey,
        /// Name of the model.
        model: Arc<str>,
        /// Version of the weights to load.
        version: u64,
        /// Number of orders that the engine must have accepted before.
        accepted: u64,
    },
}
