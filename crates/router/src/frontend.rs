//! Accepts callers' connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use gateway::Opening;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::clock;
use crate::connections::Connections;
use crate::open_connection::OpenConnection;
use crate::tracked_body::TrackedBody;
use crate::Handler;
use crate::Tasks;
use crate::WriteTimeoutIo;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Wait after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time in which a caller whose connection is evicted may read that its request is refused.
const REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Accepts callers' connections and serves them.
pub struct Frontend {
    /// Listener for callers.
    pub listener: TcpListener,
    /// Responds to requests.
    pub handler: Arc<Handler>,
    /// Tasks of the open connections.
    pub connections: Tasks,
    /// When cancelled, accepting stops and connections close after their request in flight.
    pub drain: CancellationToken,
}

impl Frontend {
    /// Accepts connections until `drain` is cancelled.
    pub async fn run(self) {
        let limits = self.handler.limits.usage();
        let connections = Connections::new(limits, Arc::clone(&self.handler.metrics));
        loop {
            let accepted = tokio::select! {
                () = self.drain.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, &connections).await,
                Err(e) => {
                    log::warn!("event=accept_failed reason={:?}", e.to_string());
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    /// Serves a connection, or closes it if there is no room for it and none is idle.
    async fn admit(&self, stream: TcpStream, connections: &Connections) {
        let connection = loop {
            match connections.open() {
                Opening::Open(connection) => break connection,
                Opening::Closing => yield_now().await,
                Opening::At(at) => sleep_until(clock::instant(at)).await,
                Opening::Full => return self.handler.metrics.on_connection_refused(),
            }
        };
        let handler = Arc::clone(&self.handler);
        let drain = self.drain.clone();
        self.connections
            .spawn(serve(stream, handler, drain, connection));
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<Handler>,
    drain: CancellationToken,
    connection: Arc<OpenConnection>,
) {
    // Streamed tokens are small writes that must not be delayed.
    let _ = stream.set_nodelay(true);
    let _count = handler.metrics.count_connection();
    let limits = handler.limits;
    let io = WriteTimeoutIo::new(stream, Arc::clone(&connection), limits.write_timeout());
    let service = service_fn(|req| async {
        let response = handler.respond(req, &connection).await;
        let tracked = response.map(|body| TrackedBody::new(body, Arc::clone(&connection)));
        Ok::<_, Infallible>(tracked)
    });
    let http = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout())
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut http = pin!(http);
    let result = tokio::select! {
        result = http.as_mut() => result,
        () = connection.closing() => {
            if connection.has_unanswered_request() {
                // The handler refuses it.
                let _ = timeout(REFUSAL_TIME, http).await;
            }
            return;
        }
        () = drain.cancelled() => {
            http.as_mut().graceful_shutdown();
            http.await
        }
    };
    if let Err(e) = result {
        log::debug!("event=connection_failed reason={:?}", e.to_string());
    }
}
