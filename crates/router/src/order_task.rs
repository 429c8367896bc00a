//! Sends engines their orders to load weights.

use std::sync::Arc;
use std::time::Duration;

use backend::Engine;
use policy::Event;
use policy::Order;
use policy::OrderResponse;
use tokio::time::timeout;

use crate::clock;
use crate::NodeHandle;

/// Sends an order to its engine, and then the engine's response to the node.
///
/// An order whose deadline has passed is not sent, because its loading slot may already belong
/// to another router.
pub async fn run(engine: Arc<dyn Engine>, order: Order, node: NodeHandle) {
    let left_us = order.deadline.micros_since(clock::now());
    if left_us == 0 {
        log::info!("event=order_dropped server={} reason=late", order.server);
        return;
    }
    let request = engine.order(order.address, to_wire_order(&order));
    match timeout(Duration::from_micros(left_us), request).await {
        Ok(Ok(answer)) => {
            log::info!(
                "event=order_answered server={} model={} weights_version={} answer={answer:?}",
                order.server,
                order.model,
                order.weights_version
            );
            node.send_event(Event::OrderAnswered {
                server: order.server,
                fencing: order.fencing,
                response: order_response(answer),
            });
        }
        Ok(Err(e)) => log::info!("event=order_failed server={} reason={e:?}", order.server),
        Err(_) => log::info!("event=order_failed server={} reason=timeout", order.server),
    }
}

fn to_wire_order(order: &Order) -> backend::Order {
    backend::Order {
        fencing: order.fencing,
        model: order.model.clone(),
        weights_version: order.weights_version,
    }
}

fn order_response(answer: backend::OrderResponse) -> OrderResponse {
    match answer {
        backend::OrderResponse::Taken => OrderResponse::Taken,
        backend::OrderResponse::StaleFencing(highest) => OrderResponse::StaleFencing(highest),
    }
}
