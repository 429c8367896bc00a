//! Ports of a router.

use std::io;
use std::net::SocketAddr;

use snafu::ResultExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

use crate::router::BindSnafu;
use crate::Error;
use crate::Settings;

/// Connections that may wait to be accepted; callers come in herds.
const BACKLOG: u32 = 1_024;

/// Ports of a router, open but not served yet.
pub struct Ports {
    /// Port of callers.
    pub callers: TcpListener,
    /// Port of other routers.
    pub peers: TcpListener,
    /// Address of the callers' port.
    pub address: SocketAddr,
    /// Address of the other routers' port.
    pub peer_address: SocketAddr,
}

impl Ports {
    /// Opens both ports.
    pub async fn open(settings: &Settings) -> Result<Ports, Error> {
        let (callers, address) = bind(settings.listen)?;
        let (peers, peer_address) = bind(settings.peer_listen)?;
        Ok(Ports {
            callers,
            peers,
            address,
            peer_address,
        })
    }
}

fn bind(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let listener = listen(address).context(BindSnafu { address })?;
    let bound = listener.local_addr().context(BindSnafu { address })?;
    Ok((listener, bound))
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}
