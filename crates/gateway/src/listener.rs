//! Ports that connections come to.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted; callers come in herds.
const BACKLOG: u32 = 1_024;

/// Opens a port; it is free again as soon as its process has ended.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
