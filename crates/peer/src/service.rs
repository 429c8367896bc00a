//! The tarpc service that routers offer each other, and its transport.

use tarpc::serde_transport;
use tarpc::serde_transport::Transport;
use tarpc::tokio_serde::formats::Bincode;
use tarpc::ClientMessage;
use tarpc::Response;
use tokio::io::AsyncRead;
use tokio::io::AsyncWrite;
use tokio_util::codec::LengthDelimitedCodec;

use crate::wire::WireMessage;

/// Maximum length of a frame, in bytes.
pub const MAX_FRAME_BYTES: usize = 8 << 20;

/// The RPC service that each router offers to the others.
#[tarpc::service]
pub trait Peer {
    /// Delivers messages in order and returns how many could be decoded.
    async fn deliver(messages: Vec<WireMessage>) -> u32;
}

/// Transport on the side of the connecting router.
pub type ClientTransport<T> = Transport<
    T,
    Response<PeerResponse>,
    ClientMessage<PeerRequest>,
    Bincode<Response<PeerResponse>, ClientMessage<PeerRequest>>,
>;

/// Transport on the side of the accepting router.
pub type ServerTransport<T> = Transport<
    T,
    ClientMessage<PeerRequest>,
    Response<PeerResponse>,
    Bincode<ClientMessage<PeerRequest>, Response<PeerResponse>>,
>;

/// Returns the transport over `io` for the connecting router.
pub fn client_transport<T>(io: T) -> ClientTransport<T>
where
    T: AsyncRead + AsyncWrite,
{
    serde_transport::new(codec().new_framed(io), Bincode::default())
}

/// Returns the transport over `io` for the accepting router.
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
