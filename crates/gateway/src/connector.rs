//! Opens connections to backend servers.

use std::io;
use std::net::SocketAddr;

use futures::future::LocalBoxFuture;
use futures::FutureExt;
use tokio::net::TcpStream;

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
        TcpStream::connect(server).boxed_local()
    }
}
