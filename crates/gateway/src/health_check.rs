//! Checks that a backend server still runs after a response that ended with its connection.
//!
//! The kernel ends the connections of a killed process like a server that has sent all, and so does
//! a proxy whose path is cut. So the server must respond once more, in the same incarnation and over
//! the same path. Connections to it are refused once its process has ended.

use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use policy::Time;
use relay::ServerKey;
use snafu::OptionExt;
use snafu::ResultExt;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::codec::CheckedServer;
use crate::connection_pool::PooledConnection;
use crate::context::Context;
use crate::dialed::ConnectionPath;
use crate::dialer::dial_over;
use crate::final_status::is_final;
use crate::health_check_error::AnotherIncarnationSnafu;
use crate::health_check_error::HealthCheckError;
use crate::health_check_error::NoResponseSnafu;
use crate::health_check_error::TimeoutSnafu;
use crate::health_check_error::UnreachableSnafu;
use crate::health_check_error::UnregisteredSnafu;
use crate::log_event::LogEvent;
use crate::reach_event::ReachEvent;
use crate::timing::duration_until;

/// Longest time of a check, in milliseconds. A server takes longer to start again.
const CHECK_MS: u64 = 1_500;

/// Most connections that a check opens. A server that has too many resets new ones.
const MAX_CONNECTIONS: usize = 3;

/// Time between two of them.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after the response's end in which a connection may follow one that was reset, in milliseconds.
/// After that the path may have been cut and opened again.
const RETRY_MS: u64 = 150;

/// Most bytes that are read of a response's body.
const MAX_BODY_BYTES: usize = 64 << 10;

/// Checks until `deadline`, over connections with the same path, that a backend server still runs.
pub async fn run(
    cx: &Context,
    key: ServerKey,
    path: ConnectionPath,
    deadline: Time,
) -> Result<(), HealthCheckError> {
    let begun_at = now();
    let deadline = deadline.min(begun_at.plus_millis(CHECK_MS));
    let retry_until = begun_at.plus_millis(RETRY_MS);
    let result = match checked_server(cx, key) {
        Some(server) => {
            let responds = until_it_responds(cx, key, &server, path, retry_until);
            let responds = timeout(duration_until(deadline), responds).await;
            responds.unwrap_or_else(|_| TimeoutSnafu.fail())
        }
        None => UnregisteredSnafu.fail(),
    };
    ReachEvent::HealthChecked {
        server: &cx.server_name(key),
        took_ms: now().millis_since(begun_at),
        reason: result.as_ref().err(),
    }
    .write();
    result
}

/// Returns the present incarnation of a backend server.
fn checked_server(cx: &Context, key: ServerKey) -> Option<CheckedServer> {
    let view = cx.view.borrow();
    let registration = &view.fleet.get(key)?.registration;
    let configuration = view.configuration.as_ref();
    let service = configuration.and_then(|c| c.services.get(&registration.service));
    Some(CheckedServer {
        id: registration.id.clone(),
        started_ms: registration.started_ms,
        address: registration.address,
        is_engine: service.is_some_and(|service| service.memory_tokens.is_some()),
        health_path: service.and_then(|service| service.health_path.clone()),
    })
}

async fn until_it_responds(
    cx: &Context,
    key: ServerKey,
    server: &CheckedServer,
    path: ConnectionPath,
    retry_until: Time,
) -> Result<(), HealthCheckError> {
    let mut connections = 1;
    loop {
        let result = request(cx, key, server, path).await;
        let is_reset = result.as_ref().is_err_and(HealthCheckError::is_reset);
        if !is_reset || connections == MAX_CONNECTIONS {
            return result;
        }
        connections += 1;
        sleep(RETRY_INTERVAL).await;
        if now() > retry_until {
            return result;
        }
    }
}

/// Asks the server for its health over a new connection, which is kept for other requests.
async fn request(
    cx: &Context,
    key: ServerKey,
    server: &CheckedServer,
    path: ConnectionPath,
) -> Result<(), HealthCheckError> {
    let dialed = dial_over(cx, key, server.address, path).await;
    let mut connection = PooledConnection::new(dialed.context(UnreachableSnafu)?);
    let req = cx.codec.health_request(server);
    let response = connection.send(server.address, req).await;
    let response = response.context(NoResponseSnafu)?;
    let keep_alive_ms = check_incarnation(cx, server, response).await;
    let keep_alive_ms = keep_alive_ms.context(AnotherIncarnationSnafu)?;
    cx.pool.release(key, connection, keep_alive_ms);
    Ok(())
}

/// Returns the keep-alive timeout that a response announces, if the same incarnation has sent it.
async fn check_incarnation(
    cx: &Context,
    server: &CheckedServer,
    response: Response<Incoming>,
) -> Option<Option<u64>> {
    let (head, body) = response.into_parts();
    if !is_final(head.status) {
        return None;
    }
    // The head alone shows that the server runs; a body that can't be read names no incarnation.
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_or_else(|_| Default::default(), |body| body.to_bytes());
    let is_same = cx.codec.is_same_incarnation(server, &head, &body);
    is_same.then(|| cx.codec.read_response(&head).keep_alive_ms)
}
