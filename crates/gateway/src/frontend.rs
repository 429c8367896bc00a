//! Accepts and serves HTTP connections of callers.

use std::convert::Infallible;
use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use http::header::CONNECTION;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::sleep;

use crate::body::ResponseBody;
use crate::connection::error_chain;
use crate::context::Context;
use crate::context::Phase;
use crate::intake;
use crate::intake::Aborted;
use crate::liveness::Liveness;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::status_pages;
use crate::tunnel_acceptor;

/// Largest head of a request while no configuration is in force, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// Time for which a connection may stay idle while no configuration is in force, in milliseconds.
const DEFAULT_IDLE_MS: u64 = 15_000;

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a router that leaves waits for the next request on a connection.
const LEAVING_IDLE: Duration = Duration::from_millis(400);

/// Accepts connections until the process ends, and serves each in a task of its own.
pub async fn accept<F, S>(listener: TcpListener, serve: F)
where
    F: Fn(TcpStream) -> S,
    S: Future<Output = ()> + 'static,
{
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(e) => {
                log_failure(Step::Accept, &e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Accepts connections until `close` is true and none waits in the accept queue, and serves each in
/// a task of its own. Then the port is closed.
pub async fn accept_until_closed<F, S>(
    listener: TcpListener,
    mut close: watch::Receiver<bool>,
    serve: F,
) where
    F: Fn(TcpStream) -> S,
    S: Future<Output = ()> + 'static,
{
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            _ = close.wait_for(|close| *close) => return,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::task::spawn_local(serve(stream));
            }
            Err(e) => {
                log_failure(Step::Accept, &e);
                sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

/// Serves one connection of a caller until it ends. Once `leave` is true, it is closed as soon as
/// no request is in flight on it and none has come for a while.
pub async fn serve(cx: Rc<Context>, stream: TcpStream, leave: watch::Receiver<bool>) {
    if let Err(e) = Liveness::PATIENT.apply(&stream) {
        log_failure(Step::Socket, &e);
        return;
    }
    let (head_bytes, idle_ms) = limits(&cx);
    let service = service_fn(|req| handle(Rc::clone(&cx), req));
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(idle_ms))
        .max_buf_size(head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = until_idle_closes(leave) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = result {
        log_failure(Step::Connection, &error_chain(&e));
    }
}

/// Completes when a connection without a request is to be closed: some time after the router has
/// begun to leave, or after the connection came. A request that is under way then would be cut off.
async fn until_idle_closes(mut leave: watch::Receiver<bool>) {
    // An error means that the process ends.
    let _ = leave.wait_for(|leave| *leave).await;
    sleep(LEAVING_IDLE).await;
}

fn limits(cx: &Context) -> (usize, u64) {
    let view = cx.view.borrow();
    let limits = view.configuration.as_ref().map(|c| c.limits);
    let limits = limits.map(|limits| {
        let idle_ms = limits.idle_timeout_ms.max(limits.head_timeout_ms);
        (limits.max_head_bytes.max(8 << 10), idle_ms)
    });
    limits.unwrap_or((DEFAULT_MAX_HEAD_BYTES, DEFAULT_IDLE_MS))
}

async fn handle(
    cx: Rc<Context>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Aborted> {
    let mut response = intake::respond(Rc::clone(&cx), req).await?;
    if cx.phase.get() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    Ok(response)
}

/// Serves one connection with pages that `page` returns for a path.
pub async fn serve_pages<F>(stream: TcpStream, page: F)
where
    F: Fn(&str) -> Response<ResponseBody>,
{
    let service = service_fn(|req: Request<Incoming>| {
        let response = page(req.uri().path());
        async { Ok::<_, Infallible>(response) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.await {
        log_failure(Step::Connection, &error_chain(&e));
    }
}

/// Serves one connection of another router: pages, or a connection to a backend server.
pub async fn serve_router(cx: Rc<Context>, stream: TcpStream) {
    let from = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(e) => return log_failure(Step::Accept, &e),
    };
    if let Err(e) = Liveness::PATIENT.apply(&stream) {
        return log_failure(Step::Socket, &e);
    }
    let service = service_fn(|req: Request<Incoming>| {
        let cx = Rc::clone(&cx);
        async move {
            let response = match tunnel_acceptor::target(&req) {
                Some(server) => tunnel_acceptor::accept(cx, from, server, req).await,
                None => status_pages::bootstrap(&cx, req.uri().path()),
            };
            Ok::<_, Infallible>(response)
        }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(stream), service);
    if let Err(e) = connection.with_upgrades().await {
        log_failure(Step::Connection, &error_chain(&e));
    }
}
