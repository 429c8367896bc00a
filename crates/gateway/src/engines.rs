//! Calls to model engines beside requests.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use relay::EngineReport;
use relay::OrderReply;

/// An order to take weights.
#[derive(Clone, Debug)]
pub struct WeightsOrder {
    /// Id of the engine that is meant.
    pub engine: Arc<str>,
    /// Model.
    pub model: Arc<str>,
    /// Version to take.
    pub version: u64,
    /// Orders that the engine must have accepted before.
    pub accepted: u64,
    /// Router that gives the order.
    pub holder: Arc<str>,
    /// Fencing token of its tenure.
    pub fence: u64,
}

/// Model engines, as far as they are managed.
pub trait Engines {
    /// Asks an engine for its state; none if there is no usable answer.
    fn report(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Option<EngineReport>>;

    /// Orders an engine to take weights.
    fn order(&self, engine: SocketAddr, order: WeightsOrder) -> LocalBoxFuture<'_, OrderReply>;
}
