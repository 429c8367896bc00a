//! Opens connections to backend servers.

use std::io;
use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use futures::FutureExt;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

/// Size of the receive buffer, in bytes. The kernel doubles it. What a peer has sent and is unread
/// counts toward the memory of the VM.
const RECEIVE_BUFFER_BYTES: u32 = 32 << 10;

/// Opens connections to backend servers.
pub trait Connector {
    /// Opens a TCP connection to a backend server.
    fn connect(&self, server: SocketAddr) -> LocalBoxFuture<'_, io::Result<TcpStream>>;
}

/// Connects over the VM's own network.
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpConnector;

impl Connector for TcpConnector {
    fn connect(&self, server: SocketAddr) -> LocalBoxFuture<'_, io::Result<TcpStream>> {
        connect(server).boxed_local()
    }
}

/// Opens a TCP connection to a backend server or to another router, with a bounded receive buffer.
pub async fn connect(peer: SocketAddr) -> io::Result<TcpStream> {
    let socket = match peer {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.connect(peer).await
}
