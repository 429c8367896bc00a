//! Pages beside callers' requests: readiness, metrics, and what other routers take.

use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::body::AnswerBody;
use crate::hub::Hub;
use crate::snapshot::servers;
use crate::snapshot::snapshot;

/// Tells the platform whether this router takes new callers.
pub fn readiness(hub: &Hub) -> Response<AnswerBody> {
    if hub.is_ready() {
        page(StatusCode::OK, "ready\n".into())
    } else {
        page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
    }
}

/// Returns counters and histograms.
pub fn metrics(hub: &Hub) -> Response<AnswerBody> {
    page(StatusCode::OK, hub.metrics.text(hub.log.dropped()).into())
}

/// Returns what other routers take while the store is away.
pub fn bootstrap(hub: &Hub, path: &str) -> Response<AnswerBody> {
    match path {
        "/servers" => page(StatusCode::OK, servers(hub).into()),
        "/snapshot" => page(StatusCode::OK, snapshot(hub).into()),
        _ => page(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn page(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::whole(body));
    *response.status_mut() = status;
    response
}
