//! Ports of a router.

use std::net::SocketAddr;

use gateway::listen;
use snafu::ResultExt;
use tokio::net::TcpListener;

use crate::router::BindSnafu;
use crate::Error;
use crate::Settings;

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
