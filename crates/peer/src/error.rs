//! Errors of connections between routers.

use std::io;

use snafu::Snafu;

/// A connection between routers that failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The connection failed.
    #[snafu(display("{step} at {peer}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
        /// What the transport said.
        source: io::Error,
    },
    /// The other end took too long.
    #[snafu(display("{step} at {peer}: no answer in time"))]
    TimedOut {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
    },
    /// The other end is no router of this system.
    #[snafu(display("handshake with {peer}: {reason}"))]
    HandshakeRejected {
        /// Address of the other end.
        peer: String,
        /// What was wrong.
        reason: &'static str,
    },
    /// A call failed.
    #[snafu(display("{step} at {peer}: {source}"))]
    Rpc {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
        /// What tarpc said.
        source: tarpc::client::RpcError,
    },
}

/// Result of a step between routers.
pub type Result<T> = std::result::Result<T, Error>;
