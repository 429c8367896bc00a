//! Pages beside callers' requests: readiness, metrics, and what other routers take.

use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::body::whole;
use crate::body::AnswerBody;
use crate::clock::now;
use crate::context::Context;
use crate::snapshot::servers;
use crate::snapshot::snapshot;

/// Tells the platform whether this router takes new callers.
pub fn readiness(cx: &Context) -> Response<AnswerBody> {
    if cx.is_ready() {
        page(StatusCode::OK, "ready\n".into())
    } else {
        page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
    }
}

/// Returns counters and histograms.
pub fn metrics(cx: &Context) -> Response<AnswerBody> {
    let mut belief = cx.belief.borrow_mut();
    let text = cx.metrics.text(now(), &mut belief, cx.log.dropped());
    page(StatusCode::OK, text.into())
}

/// Returns what other routers take while the store is away.
pub fn bootstrap(cx: &Context, path: &str) -> Response<AnswerBody> {
    match path {
        "/servers" => page(StatusCode::OK, servers(cx).into()),
        "/snapshot" => page(StatusCode::OK, snapshot(cx).into()),
        _ => page(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn page(status: StatusCode, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(whole(body));
    *response.status_mut() = status;
    response
}
