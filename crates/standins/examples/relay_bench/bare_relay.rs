//! Minimal HTTP relay on hyper, the baseline of the bench.

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

/// Maximum number of connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// HTTP relay that forwards requests and responses without further processing.
pub struct BareRelay {
    address: SocketAddr,
}

type RelayClient = Client<HttpConnector, Incoming>;

impl BareRelay {
    /// Starts a relay to `target` on a free loopback port; it runs until its runtime shuts down.
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

    /// Returns the address that the relay listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Accepts connections and relays each of them in a task.
async fn accept(listener: TcpListener, client: RelayClient, target: SocketAddr) {
    while let Ok((stream, _)) = listener.accept().await {
        let _ = stream.set_nodelay(true);
        let client = client.clone();
        let service = service_fn(move |req| relay(client.clone(), target, req));
        tokio::spawn(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
    }
}

/// Forwards a request to the same path at `target` and returns the response.
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
