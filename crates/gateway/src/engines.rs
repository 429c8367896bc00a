//! Management calls to model engines.

use std::net::SocketAddr;
use std::sync::Arc;

use futures::future::LocalBoxFuture;
use relay::EngineReport;
use relay::OrderResponse;

/// An order to load weights.
#[derive(Clone, Debug)]
pub struct WeightsOrder {
    /// Id of the engine that is to carry it out.
    pub engine: Arc<str>,
    /// Name of the model.
    pub model: Arc<str>,
    /// Version to load.
    pub version: u64,
    /// Precondition: number of orders that the engine has accepted before this one.
    pub accepted: u64,
    /// Name of the router that gives the order.
    pub holder: Arc<str>,
    /// Fencing token of that router's lease term.
    pub fence: u64,
}

/// Client for management calls to model engines.
pub trait Engines {
    /// Requests an engine's report; none if the call fails or the report can't be decoded.
    fn report(&self, engine: SocketAddr) -> LocalBoxFuture<'_, Option<EngineReport>>;

    /// Orders an engine to load weights.
    fn order(&self, engine: SocketAddr, order: WeightsOrder) -> LocalBoxFuture<'_, OrderResponse>;
}
