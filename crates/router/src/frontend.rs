//! Accepts callers' connections.

use std::convert::Infallible;
use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::Handler;
use crate::Tasks;
use crate::WriteTimeoutIo;

/// Maximum size of a request's head, in bytes.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Wait after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

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
        let limit = self.handler.limits.connections;
        let permits = Arc::new(Semaphore::new(limit));
        loop {
            let accepted = tokio::select! {
                () = self.drain.cancelled() => return,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream, &permits),
                Err(e) => {
                    log::warn!("event=accept_failed reason={:?}", e.to_string());
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    fn admit(&self, stream: TcpStream, permits: &Arc<Semaphore>) {
        let Ok(permit) = Arc::clone(permits).try_acquire_owned() else {
            self.handler.metrics.on_connection_refused();
            return;
        };
        let handler = Arc::clone(&self.handler);
        let drain = self.drain.clone();
        self.connections
            .spawn(serve(stream, handler, drain, permit));
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<Handler>,
    drain: CancellationToken,
    _permit: OwnedSemaphorePermit,
) {
    // Streamed tokens are small writes that must not be delayed.
    let _ = stream.set_nodelay(true);
    let _open = handler.metrics.open_connection();
    let limits = handler.limits;
    let io = WriteTimeoutIo::new(stream, limits.write_timeout());
    let service = service_fn(|req| async { Ok::<_, Infallible>(handler.handle(req).await) });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.header_timeout())
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(io), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = drain.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log::debug!("event=connection_failed reason={:?}", e.to_string());
    }
}
