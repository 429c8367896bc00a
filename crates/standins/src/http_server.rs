//! HTTP server that a test can stop at any time.

use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use gateway::listen;
use http::Request;
use http::Response;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;

/// Body of a response.
pub(crate) type Body = UnsyncBoxBody<Bytes, Infallible>;

/// Returned by a handler to close the connection without a response.
#[derive(Clone, Copy, Debug, Snafu)]
#[snafu(display("connection closed without a response"))]
pub(crate) struct Disconnect;

/// Handles the requests of all connections of a server.
pub(crate) trait Handler: Clone + Send + Sync + 'static {
    /// Returns the response to a request, or closes its connection.
    fn handle(
        &self,
        req: Request<Incoming>,
    ) -> BoxFuture<'static, Result<Response<Body>, Disconnect>>;
}

/// A running server; dropping it breaks all its connections.
#[derive(Debug)]
pub(crate) struct HttpServer {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl HttpServer {
    /// Starts a server on `address`; port 0 selects any free port.
    pub(crate) async fn start<H>(address: SocketAddr, handler: H) -> io::Result<HttpServer>
    where
        H: Handler,
    {
        let listener = listen(address)?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept_connections(listener, handler));
        Ok(HttpServer { address, task })
    }

    /// Returns the address that the server listens on.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Breaks all connections and returns once the port is free again.
    pub(crate) async fn stop(mut self) {
        self.task.abort();
        let _ = (&mut self.task).await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept_connections<H>(listener: TcpListener, handler: H)
where
    H: Handler,
{
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => drop(connections.spawn(serve_connection(stream, handler.clone()))),
                Err(_) => tokio::task::yield_now().await,
            },
            Some(_) = connections.join_next() => {}
        }
    }
}

fn serve_connection<H>(stream: TcpStream, handler: H) -> impl Future<Output = ()> + Send
where
    H: Handler,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |req| handler.handle(req));
    let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    async move {
        let _ = connection.await;
    }
}
