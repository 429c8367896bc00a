//! Listening ports of a router.

use std::net::SocketAddr;

use gateway::listen;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::router::BindSnafu;
use crate::Error;
use crate::Settings;

/// The two listening ports of a router, open but not served yet.
pub struct Ports {
    /// Listener for callers.
    pub callers: TcpListener,
    /// Listener for other routers.
    pub peers: TcpListener,
    /// Address on which callers connect.
    pub address: SocketAddr,
    /// Address on which other routers connect.
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
