//! Serves HTTP connections to the ports that aren't for callers: pages, and the tunnels of other routers.
//!
//! A page counts as held until the socket has taken it, like a response to a caller. A tunnel counts until
//! it ends.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use futures::FutureExt;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::service::HttpService;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::accepted_connection::AcceptedConnection;
use crate::body::ResponseBody;
use crate::connection::error_chain;
use crate::context::Context;
use crate::liveness::Liveness;
use crate::port_connections::ROOM_POLL_INTERVAL;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::status_pages;
use crate::status_pages::Page;
use crate::tunnel_acceptor;

/// Largest head of a request for a page, in bytes. Routers and probes send a few hundred.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Memory of a connection with a head of that size, in bytes.
pub const CONNECTION_BYTES: u64 = 32 << 10;

/// Longest wait of a page for room. Connections that take nothing are evicted sooner.
const MAX_ROOM_WAIT: Duration = Duration::from_millis(2_000);

/// Time after which a page may be asked for again that found no room, in seconds.
const RETRY_AFTER_S: HeaderValue = HeaderValue::from_static("1");

/// Serves one connection with pages that `page` returns for a path.
pub async fn serve_pages<F>(stream: TcpStream, connection: Rc<AcceptedConnection>, page: F)
where
    F: Fn(&str) -> Page,
{
    let page = &page;
    let service = service_fn(|req: Request<Incoming>| {
        let connection = Rc::clone(&connection);
        async move {
            let response = respond(connection, || page(req.uri().path())).await;
            Ok::<_, Infallible>(response)
        }
        .boxed_local()
    });
    serve(stream, &connection, service).await;
}

/// Serves one connection of another router: pages, or a connection to a backend server.
pub async fn serve_router(cx: Rc<Context>, stream: TcpStream, connection: Rc<AcceptedConnection>) {
    let from = match stream.peer_addr() {
        Ok(address) => address.ip(),
        Err(e) => return log_failure(Step::Accept, &e),
    };
    if let Err(e) = Liveness::PATIENT.apply(&stream) {
        return log_failure(Step::Socket, &e);
    }
    let service = service_fn(|req: Request<Incoming>| {
        let cx = Rc::clone(&cx);
        let connection = Rc::clone(&connection);
        async move {
            let response = match tunnel_acceptor::target(&req) {
                Some(server) => tunnel_acceptor::accept(cx, connection, from, server, req).await,
                None => {
                    let page = || status_pages::bootstrap(&cx, req.uri().path());
                    respond(connection, page).await
                }
            };
            Ok::<_, Infallible>(response)
        }
        .boxed_local()
    });
    serve(stream, &connection, service).await;
}

/// Serves HTTP on a connection until it ends or is to be closed.
async fn serve<S>(stream: TcpStream, connection: &AcceptedConnection, service: S)
where
    S: HttpService<Incoming, ResBody = ResponseBody, Error = Infallible>,
{
    let http = http1::Builder::new()
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    let result = tokio::select! {
        result = http.with_upgrades() => result,
        _ = connection.closing() => return,
    };
    if let Err(e) = result {
        log_failure(Step::Connection, &error_chain(&e));
    }
}

/// Returns the response with a page, once there is room for it, or a refusal.
async fn respond<F>(connection: Rc<AcceptedConnection>, page: F) -> Response<ResponseBody>
where
    F: FnOnce() -> Page,
{
    // It may be evicted while it waits.
    connection.mark_idle();
    let room = async {
        while !connection.has_page_room() {
            sleep(ROOM_POLL_INTERVAL).await;
        }
    };
    let mut response = match timeout(MAX_ROOM_WAIT, room).await {
        Ok(()) => {
            let page = page();
            let hold = connection.hold_page(page.body.len() as u64);
            let mut response = Response::new(ResponseBody::held(page.body, hold));
            *response.status_mut() = page.status;
            response
        }
        Err(_) => refusal(),
    };
    connection.begin_response();
    response.body_mut().send_over(connection);
    response
}

/// Returns the refusal of a page for which there is no memory.
fn refusal() -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::own("no memory\n"));
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    response.headers_mut().insert(RETRY_AFTER, RETRY_AFTER_S);
    response
}
