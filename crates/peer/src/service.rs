//! The tarpc service and its transport.

use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::ClientMessage;
use tarpc::Response;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::wire::WireMessage;

/// Largest frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// What routers call at each other.
#[tarpc::service]
pub trait Peer {
    /// Hands messages over in order, and returns how many were well formed.
    async fn deliver(messages: Vec<WireMessage>) -> u32;
}

/// Transport of the router that connects.
pub type ClientTransport<T> = Transport<
    T,
    Response<PeerResponse>,
    ClientMessage<PeerRequest>,
    Bincode<Response<PeerResponse>, ClientMessage<PeerRequest>>,
>;

/// Transport of the router that was connected to.
pub type ServerTransport<T> = Transport<
    T,
    ClientMessage<PeerRequest>,
    Response<PeerResponse>,
    Bincode<ClientMessage<PeerRequest>, Response<PeerResponse>>,
>;

/// Frames a connection for the router that connects.
pub fn client_transport<T>(io: T) -> ClientTransport<T>
where
    T: AsyncRead + AsyncWrite,
{
    serde_transport::new(codec().new_framed(io), Bincode::default())
}

/// Frames a connection for the router that was connected to.
pub fn server_transport<T>(io: T) -> ServerTransport<T>
where
    T: AsyncRead + AsyncWrite,
{
    serde_transport::new(codec().new_framed(io), Bincode::default())
}

fn codec() -> tokio_util::codec::length_delimited::Builder {
    let mut codec = LengthDelimitedCodec::builder();
    codec.max_frame_length(MAX_FRAME_BYTES);
    codec
}
