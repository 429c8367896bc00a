//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Length of the accept queue; callers connect in bursts.
const BACKLOG: u32 = 1_024;

/// Listens at `address`. With `SO_REUSEADDR`, a new process can bind the port as
/// soon as the previous one has ended.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
