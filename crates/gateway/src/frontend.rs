//! Accepts and serves HTTP connections of callers.

use std::future::Future;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use http::header::CONNECTION;
use http::request;
use http::HeaderValue;
use http::Request;
use http::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::yield_now;
use tokio::time::sleep;

use crate::accepted_connection::AcceptedConnection;
use crate::accepted_connection::ConnectionEnd;
use crate::body::ResponseBody;
use crate::caller_stream::CallerStream;
use crate::close_reason::CloseReason;
use crate::connection::error_chain;
use crate::context::Context;
use crate::context::Phase;
use crate::early_refusal::refuse_early;
use crate::intake;
use crate::intake::Aborted;
use crate::liveness::set_keepalive;
use crate::port_connections::PortConnections;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::progress_limits::ProgressLimits;
use crate::room::Opening;
use crate::timing::duration_until;

/// Largest head of a request while no configuration is in force, in bytes.
const DEFAULT_MAX_HEAD_BYTES: usize = 64 << 10;

/// Limits on the progress of connections while no configuration is in force.
const DEFAULT_PROGRESS_LIMITS: ProgressLimits = ProgressLimits {
    head_ms: 15_000,
    idle_ms: 15_000,
};

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Time for which a router that leaves waits for the next request on a connection.
const LEAVING_IDLE: Duration = Duration::from_millis(400);

/// Accepts connections until the process ends, and serves each in a task of its own.
pub async fn accept<F, S>(listener: TcpListener, connections: PortConnections, serve: F)
where
    F: Fn(TcpStream, Rc<AcceptedConnection>) -> S,
    S: Future<Output = ()> + 'static,
{
    loop {
        accept_one(&listener, &connections, &serve).await;
    }
}

/// Accepts connections until `close` is true and none waits in the accept queue, and serves each in
/// a task of its own. Then the port is closed.
pub async fn accept_until_closed<F, S>(
    listener: TcpListener,
    connections: PortConnections,
    mut close: watch::Receiver<bool>,
    serve: F,
) where
    F: Fn(TcpStream, Rc<AcceptedConnection>) -> S,
    S: Future<Output = ()> + 'static,
{
    loop {
        tokio::select! {
            biased;
            () = accept_one(&listener, &connections, &serve) => {}
            _ = close.wait_for(|close| *close) => return,
        }
    }
}

async fn accept_one<F, S>(listener: &TcpListener, connections: &PortConnections, serve: &F)
where
    F: Fn(TcpStream, Rc<AcceptedConnection>) -> S,
    S: Future<Output = ()> + 'static,
{
    match listener.accept().await {
        Ok((stream, _)) => match open(connections).await {
            Some(connection) => {
                tokio::task::spawn_local(serve(stream, connection));
            }
            None => refuse_early(&stream, CloseReason::TooManyConnections),
        },
        Err(e) => {
            connections.log_accept_failure(&e);
            sleep(ACCEPT_PAUSE).await;
        }
    }
}

/// Waits until there is room for a connection; none if there will be none soon.
async fn open(connections: &PortConnections) -> Option<Rc<AcceptedConnection>> {
    loop {
        match connections.open() {
            Opening::Open(opened) => {
                let connection = AcceptedConnection::new(connections.clone(), opened);
                return Some(Rc::new(connection));
            }
            Opening::Closing => yield_now().await,
            Opening::At(at) => sleep(duration_until(at)).await,
            Opening::Full => return None,
        }
    }
}

/// Serves one connection of a caller until it ends. Once `leave` is true, it is closed as soon as
/// no request is in flight on it and none has come for a while.
pub async fn serve(
    cx: Rc<Context>,
    socket: TcpStream,
    connection: Rc<AcceptedConnection>,
    leave: watch::Receiver<bool>,
) {
    if let Err(e) = set_keepalive(&socket) {
        log_failure(Step::Socket, &e);
        return;
    }
    let socket = Rc::new(socket);
    let stream = CallerStream::new(Rc::clone(&socket), Rc::clone(&connection));
    let max_head_bytes = max_head_bytes(&cx);
    // Boxed, so that idle connections don't take the memory of a request.
    let service =
        service_fn(|req| handle(Rc::clone(&cx), Rc::clone(&connection), req).boxed_local());
    let http = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(max_head_bytes)
        .serve_connection(TokioIo::new(stream), service);
    let mut http = pin!(http);
    // Dropped before the http library's state: a response that it still has isn't delivered.
    let _end = ConnectionEnd(Rc::clone(&connection));
    let leaving = until_idle_closes(leave);
    let mut leaving = pin!(leaving);
    let mut is_leaving = false;
    let result = loop {
        tokio::select! {
            result = http.as_mut() => break result,
            () = leaving.as_mut(), if !is_leaving => {
                http.as_mut().graceful_shutdown();
                is_leaving = true;
            }
            reason = connection.closing() => {
                if connection.has_unread_request() {
                    refuse_early(&socket, reason);
                }
                return;
            }
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

fn max_head_bytes(cx: &Context) -> usize {
    let view = cx.view.borrow();
    let configuration = view.configuration.as_ref();
    configuration.map_or(DEFAULT_MAX_HEAD_BYTES, |configuration| {
        configuration.limits.max_head_bytes.max(8 << 10)
    })
}

/// Returns the limits on the progress of connections by the configuration in force.
pub fn progress_limits(cx: &Context) -> ProgressLimits {
    let view = cx.view.borrow();
    let configuration = view.configuration.as_ref();
    configuration.map_or(DEFAULT_PROGRESS_LIMITS, |configuration| {
        let limits = configuration.limits;
        ProgressLimits {
            head_ms: limits.head_timeout_ms,
            idle_ms: limits.idle_timeout_ms.max(limits.head_timeout_ms),
        }
    })
}

async fn handle(
    cx: Rc<Context>,
    connection: Rc<AcceptedConnection>,
    req: Request<Incoming>,
) -> Result<Response<ResponseBody>, Aborted> {
    let (head, body) = req.into_parts();
    connection.begin_request(head_bytes(&head));
    let caller = Rc::clone(&connection);
    let mut response = intake::respond(Rc::clone(&cx), caller, head, body).await?;
    if cx.phase.get() != Phase::Serving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    connection.begin_response();
    response.body_mut().send_over(connection);
    Ok(response)
}

/// Returns the length of a request's head as it was sent, but for unusual spaces.
pub fn head_bytes(head: &request::Parts) -> u64 {
    let path = head
        .uri
        .path_and_query()
        .map_or(0, |path| path.as_str().len());
    let headers = head.headers.iter();
    let headers = headers.map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len());
    let start_line = head.method.as_str().len() + path + "  HTTP/1.1\r\n".len();
    (start_line + headers.sum::<usize>() + "\r\n".len()) as u64
}
