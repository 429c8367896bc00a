//! The protocol between routers.
//!
//! A tarpc service over TCP. Both ends of a connection prove that they know a
//! shared secret before any message is sent; an incoming connection whose
//! handshake fails is closed and counted.

mod counted_io;
mod error;
mod handshake;
mod introduction;
mod link;
mod links;
mod observer;
mod queue;
mod secret;
mod server;
mod service;
mod wire;

pub use crate::error::Error;
pub use crate::error::Result;
pub use crate::handshake::connect;
pub use crate::introduction::Introduction;
pub use crate::links::Links;
pub use crate::observer::Observer;
pub use crate::secret::Secret;
pub use crate::server::Inbox;
pub use crate::server::Server;
pub use crate::server::IDLE_TIMEOUT_MS;
pub use crate::wire::BadMessage;
pub use crate::wire::WireMessage;
