//! A relay that does nothing but pass bytes on, by hyper on both sides.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use http::Request;
use http::Response;
use http::Uri;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::Error;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A relay that does nothing but pass bytes on.
pub struct BareRelay {
    address: SocketAddr,
}

type RelayClient = Client<HttpConnector, Incoming>;

impl BareRelay {
    /// Relays to `target` until its runtime ends.
    pub async fn start(target: SocketAddr) -> io::Result<BareRelay> {
        let socket = TcpSocket::new_v4()?;
        socket.bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let listener = socket.listen(BACKLOG)?;
        let address = listener.local_addr()?;
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new()).build(connector);
        tokio::spawn(accept(listener, client, target));
        Ok(BareRelay { address })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

async fn accept(listener: TcpListener, client: RelayClient, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let client = client.clone();
        let service = service_fn(move |req| relay(client.clone(), target, req));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

async fn relay(
    client: RelayClient,
    target: SocketAddr,
    mut req: Request<Incoming>,
) -> Result<Response<Incoming>, Error> {
    let uri = format!("http://{target}{}", req.uri().path());
    if let Ok(uri) = Uri::try_from(uri) {
        *req.uri_mut() = uri;
    }
    client.request(req).await
}
