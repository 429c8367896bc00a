//! Orders to load weights.

use serde::Deserialize;
use serde::Serialize;

use crate::Order;
use crate::OrderResponse;

/// Request of [`path::ORDER`](super::path::ORDER).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OrderMessage {
    /// Fencing token of the loading slot under which the order is given.
    pub fencing: u64,
    /// Model that the engine must serve.
    pub model: String,
    /// Version of the weights that it must load.
    pub weights_version: u64,
}

/// Response of [`path::ORDER`](super::path::ORDER).
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderResponseRecord {
    /// Accepted: the engine is loading the weights or already has them.
    Taken,
    /// Refused because the engine has seen this higher fencing token.
    StaleFencing(u64),
}

impl From<Order> for OrderMessage {
    fn from(order: Order) -> OrderMessage {
        OrderMessage {
            fencing: order.fencing,
            model: order.model,
            weights_version: order.weights_version,
        }
    }
}

impl From<OrderMessage> for Order {
    fn from(message: OrderMessage) -> Order {
        Order {
            fencing: message.fencing,
            model: message.model,
            weights_version: message.weights_version,
        }
    }
}

impl From<OrderResponse> for OrderResponseRecord {
    fn from(response: OrderResponse) -> OrderResponseRecord {
        match response {
            OrderResponse::Taken => OrderResponseRecord::Taken,
            OrderResponse::StaleFencing(fencing) => OrderResponseRecord::StaleFencing(fencing),
        }
    }
}

impl From<OrderResponseRecord> for OrderResponse {
    fn from(record: OrderResponseRecord) -> OrderResponse {
        match record {
            OrderResponseRecord::Taken => OrderResponse::Taken,
            OrderResponseRecord::StaleFencing(fencing) => OrderResponse::StaleFencing(fencing),
        }
    }
}
