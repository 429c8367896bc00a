//! Errors on connections between routers.

use std::io;

use snafu::Snafu;

/// A failure of a connection between two routers.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// A socket operation failed.
    #[snafu(display("{step} at {peer}: {source}"))]
    Io {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
        /// Error of the socket.
        source: io::Error,
    },
    /// A step did not complete within its timeout.
    #[snafu(display("{step} at {peer}: timed out"))]
    TimedOut {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
    },
    /// The other end did not prove that it is a router of this system, or an introduction is too
    /// long or does not parse.
    #[snafu(display("handshake with {peer}: {reason}"))]
    HandshakeRejected {
        /// Address of the other end.
        peer: String,
        /// Why the handshake was rejected.
        reason: &'static str,
    },
    /// An RPC failed.
    #[snafu(display("{step} at {peer}: {source}"))]
    Rpc {
        /// Step that failed.
        step: &'static str,
        /// Address of the other router.
        peer: String,
        /// Error of tarpc.
        source: tarpc::client::RpcError,
    },
}

/// Result of an operation on a connection between routers.
pub type Result<T> = std::result::Result<T, Error>;
