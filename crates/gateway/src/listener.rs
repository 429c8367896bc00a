//! Listening sockets.

use std::io;
use std::net::SocketAddr;

use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Length of the accept queue; callers connect in bursts.
const BACKLOG: u32 = 1_024;

/// Sizes of the buffers of accepted connections, in bytes. The kernel doubles them. What it holds for
/// a peer counts toward the memory of the VM, and grows to megabytes otherwise.
const RECEIVE_BUFFER_BYTES: u32 = 8 << 10;
const SEND_BUFFER_BYTES: u32 = 64 << 10;

/// Listens at `address`. With `SO_REUSEADDR`, a new process can bind the port as
/// soon as the previous one has ended.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit them.
    socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
