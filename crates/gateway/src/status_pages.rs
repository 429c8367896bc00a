//! HTTP pages for the platform and other routers: readiness, metrics, and snapshots
//! of what this router knows.

use bytes::Bytes;
use http::StatusCode;
use relay::ServerReport;

use crate::clock::now;
use crate::context::Context;
use crate::snapshot::operators_json;
use crate::snapshot::routers_json;
use crate::snapshot::servers_json;
use crate::snapshot::snapshot_json;
use crate::snapshot::to_json;
use crate::snapshot::OPERATORS;
use crate::snapshot::SNAPSHOT;

/// A page.
pub struct Page {
    /// Status of the response.
    pub status: StatusCode,
    /// Its body.
    pub body: Bytes,
}

/// Returns the readiness page: status 200 if this router accepts new callers, else 503.
pub fn readiness(cx: &Context) -> Page {
    if cx.is_ready() {
        page(StatusCode::OK, "ready\n".into())
    } else {
        page(StatusCode::SERVICE_UNAVAILABLE, "not ready\n".into())
    }
}

/// Returns the pages for operators: at `/servers` what this router knows of each backend server,
/// as JSON, otherwise the metrics in the Prometheus text format.
pub fn operators(cx: &Context, path: &str) -> Page {
    match path {
        "/servers" => page(StatusCode::OK, server_reports_json(cx).into()),
        _ => metrics(cx),
    }
}

fn server_reports_json(cx: &Context) -> Vec<u8> {
    let view = cx.view.borrow();
    let servers = view.fleet.iter();
    let reports = servers.map(|(_, server)| ServerReport::new(now(), server));
    to_json(&reports.collect::<Vec<_>>())
}

fn metrics(cx: &Context) -> Page {
    let mut view = cx.view.borrow_mut();
    let gauge = |bytes: u64| i64::try_from(bytes).unwrap_or(i64::MAX);
    let metrics = &cx.metrics.connections;
    metrics
        .buffered_bytes
        .set(gauge(cx.callers.buffered_bytes()));
    metrics
        .connection_bytes
        .set(gauge(cx.callers.connection_bytes()));
    let text = cx.metrics.text(now(), &mut view, cx.log.dropped());
    page(StatusCode::OK, text.into())
}

/// Returns the pages that other routers fetch: this router's snapshot, or only the operators'
/// entries, or the registrations of backend servers or of routers.
pub fn bootstrap(cx: &Context, path: &str) -> Page {
    match path {
        "/routers" => page(StatusCode::OK, routers_json(cx).into()),
        "/servers" => page(StatusCode::OK, servers_json(cx).into()),
        OPERATORS => page(StatusCode::OK, operators_json(cx).into()),
        SNAPSHOT => page(StatusCode::OK, snapshot_json(cx).into()),
        _ => page(StatusCode::NOT_FOUND, Bytes::new()),
    }
}

fn page(status: StatusCode, body: Bytes) -> Page {
    Page { status, body }
}
