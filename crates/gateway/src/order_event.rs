//! Log events for the order lease and the orders given under it. Times are in milliseconds.

use std::fmt;
use std::fmt::Display;
use std::fmt::Formatter;

use log::Level;
use relay::OrderResponse;

use crate::log_event::LogEvent;

/// A change of who gives orders to engines, or an order of this router.
#[derive(Clone, Debug)]
pub enum OrderEvent<'a> {
    /// A router has taken the order lease.
    OrderHolder {
        /// Name of the router.
        holder: &'a str,
        /// Fencing token of its orders.
        fence: u64,
    },
    /// No router holds the order lease.
    NoOrderHolder,
    /// This router has taken the order lease, and gives orders after a wait.
    LeaseTermBegan {
        /// Fencing token of its orders.
        fence: u64,
        /// Time until it gives orders, so that an earlier holder's orders are over.
        wait_ms: u64,
    },
    /// This router's term of the order lease ended; it gives no more orders.
    LeaseTermEnded {
        /// Why.
        reason: &'a str,
    },
    /// An engine was ordered to load weights.
    Order(OrderGiven<'a>),
}

/// An order to an engine to load weights, and the engine's reply.
#[derive(Clone, Debug)]
pub struct OrderGiven<'a> {
    /// Id of the engine.
    pub server: &'a str,
    /// Name of the model.
    pub model: &'a str,
    /// Version of the weights.
    pub version: u64,
    /// Precondition: number of orders that the engine must have accepted before.
    pub accepted_before: u64,
    /// Fencing token of the order.
    pub fence: u64,
    /// The engine's reply.
    pub reply: OrderResponse,
}

impl LogEvent for OrderEvent<'_> {
    fn level(&self) -> Level {
        Level::Info
    }
}

impl Display for OrderEvent<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        match self {
            OrderEvent::OrderHolder { holder, fence } => {
                write!(f, "event=order_holder holder={holder:?} fence={fence}")
            }
            OrderEvent::NoOrderHolder => write!(f, "event=order_holder holder=none"),
            OrderEvent::LeaseTermBegan { fence, wait_ms } => {
                write!(
                    f,
                    "event=tenure_began fence={fence} orders_wait_ms={wait_ms}"
                )
            }
            OrderEvent::LeaseTermEnded { reason } => {
                write!(f, "event=tenure_ended reason={reason:?}")
            }
            OrderEvent::Order(order) => order.fmt(f),
        }
    }
}

impl Display for OrderGiven<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "event=order server={} model={:?} version={} accepted_before={} fence={} reply={:?}",
            self.server, self.model, self.version, self.accepted_before, self.fence, self.reply,
        )
    }
}
