//! Reads incoming requests, and refuses invalid and inadmissible ones before a
//! backend server is chosen.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Incoming;
use rand::Rng;
use relay::Admission;
use relay::Configuration;
use relay::Route;
use relay::SuspectKey;
use relay::Workspace;
use snafu::Snafu;
use tokio::time::timeout;

use crate::accepted::Accepted;
use crate::accepted_connection::AcceptedConnection;
use crate::body::ResponseBody;
use crate::buffer_hold::BufferHold;
use crate::clock::now;
use crate::codec::RequestHead;
use crate::context::Context;
use crate::context::Phase;
use crate::exchange::Exchange;
use crate::exchange::DEFAULT_MAX_WAIT_MS;
use crate::log_event::LogEvent;
use crate::refusal::Refusal;
use crate::request_event::RequestEvent;
use crate::timing::duration_until;

/// Retry-after time while this router has no configuration, in milliseconds.
const NO_CONFIGURATION_RETRY_AFTER_MS: u64 = 300;

/// Retry-after time of a request that the configuration in force denies while another router has a
/// newer one, which may allow it, in milliseconds.
const BEHIND_RETRY_AFTER_MS: u64 = 300;

/// Retry-after time while this router shuts down, in milliseconds; short, as another
/// router serves the retry.
const STOPPING_RETRY_AFTER_MS: u64 = 50;

/// Retry-after time while too many bytes are buffered here, in milliseconds; another router may
/// have room.
const NO_MEMORY_RETRY_AFTER_MS: u64 = 500;

/// Retry-after time of a request whose body was not read by its deadline, in milliseconds.
const BODY_TOO_SLOW_RETRY_AFTER_MS: u64 = 500;

/// Most bytes of a body that are read before its request is refused as this router shuts down.
const MAX_DISCARDED_BYTES: usize = 4 << 20;

/// Longest time for which they are read.
const DISCARD_TIMEOUT: Duration = Duration::from_millis(300);

/// Reason why a connection is closed without a response.
#[derive(Debug, Snafu)]
pub enum Aborted {
    /// The caller's request ended before its body was complete.
    #[snafu(display("request ended early: {reason}"))]
    RequestBrokeOff {
        /// Error of the connection.
        reason: String,
    },
}

/// Reason why a request isn't accepted.
enum NotAccepted {
    /// The gateway responds with a refusal, decided by this version of the configuration; 0
    /// if none was used.
    Refused(Refusal, u64),
    /// It ended before its body was complete, for the reason given.
    Incomplete(String),
}

/// Serves a request and returns its response.
pub async fn respond(
    cx: Rc<Context>,
    caller: Rc<AcceptedConnection>,
    head: request::Parts,
    body: Incoming,
) -> Result<Response<ResponseBody>, Aborted> {
    let parsed = match cx.codec.read_request(&head) {
        Ok(parsed) => parsed,
        Err(e) => {
            let reason = e.to_string();
            RequestEvent::Refused {
                id: None,
                configuration: None,
                status: 400,
                reason: &reason,
            }
            .write();
            return Ok(refuse(&cx, Refusal::BadRequest));
        }
    };
    let id = parsed.id.clone();
    match accept(&cx, &caller, head, parsed, body).await {
        Ok(accepted) => Ok(Exchange::new(cx, caller, accepted).run().await),
        Err(NotAccepted::Refused(refusal, configuration)) => {
            RequestEvent::Refused {
                id: Some(&id),
                configuration: Some(configuration),
                status: refusal.status().as_u16(),
                reason: refusal.reason(),
            }
            .write();
            Ok(refuse(&cx, refusal))
        }
        Err(NotAccepted::Incomplete(reason)) => {
            RequestEvent::RequestBrokeOff {
                id: &id,
                reason: &reason,
            }
            .write();
            RequestBrokeOffSnafu { reason }.fail()
        }
    }
}

async fn accept(
    cx: &Context,
    caller: &AcceptedConnection,
    head: request::Parts,
    parsed: RequestHead,
    body: Incoming,
) -> Result<Accepted, NotAccepted> {
    let arrived_at = now();
    if cx.phase.get() == Phase::Leaving {
        discard(body).await;
        return Err(not_run("stopping", STOPPING_RETRY_AFTER_MS, 0));
    }
    let configuration = cx.view.borrow().configuration.clone();
    let Some(configuration) = configuration else {
        return Err(not_run(
            "no_configuration",
            NO_CONFIGURATION_RETRY_AFTER_MS,
            0,
        ));
    };
    let version = configuration.version;
    let (route, workspace) = match admit(&configuration, &head, &parsed) {
        Ok(admitted) => admitted,
        Err(_) if cx.peers.newest_configuration() > version => {
            return Err(not_run("behind", BEHIND_RETRY_AFTER_MS, version));
        }
        Err(refusal) => return Err(NotAccepted::Refused(refusal, version)),
    };
    let seed: u64 = rand::rng().random();
    let service = pick_service(&route, seed);
    caller.set_service(&service);
    let read = read_body(caller, body, configuration.limits.max_body_bytes, version);
    let max_wait_ms = parsed.max_wait_ms.unwrap_or(DEFAULT_MAX_WAIT_MS);
    let deadline = arrived_at.plus_millis(max_wait_ms.min(route.timeout_ms));
    let read = timeout(duration_until(deadline), read).await;
    let (body, hold) =
        read.map_err(|_| not_run("body_too_slow", BODY_TOO_SLOW_RETRY_AFTER_MS, version))??;
    if !caller.begin_running() {
        return Err(not_run("no_descriptors", NO_MEMORY_RETRY_AFTER_MS, version));
    }
    let fingerprint = fingerprint(workspace.as_deref(), &head, &body);
    let suspects = suspects(fingerprint, &parsed);
    if let Admission::Blocked(until) = cx.admission(&suspects) {
        let refusal = Refusal::crashes_servers(now(), until);
        return Err(NotAccepted::Refused(refusal, version));
    }
    Ok(Accepted {
        head,
        parsed,
        body,
        hold,
        route,
        service,
        seed,
        workspace,
        arrived_at,
        configuration: version,
        fingerprint,
        suspects,
    })
}

fn not_run(reason: &'static str, retry_after_ms: u64, configuration: u64) -> NotAccepted {
    let refusal = Refusal::NotRun {
        reason,
        retry_after_ms,
    };
    NotAccepted::Refused(refusal, configuration)
}

/// Reads a body of at most `limit` bytes, each of which counts as buffered from its arrival on. What it
/// only names counts nothing.
async fn read_body(
    caller: &AcceptedConnection,
    mut body: Incoming,
    limit: usize,
    configuration: u64,
) -> Result<(Bytes, BufferHold), NotAccepted> {
    let no_memory = || not_run("no_memory", NO_MEMORY_RETRY_AFTER_MS, configuration);
    let named = body.size_hint().exact();
    if named.is_some_and(|bytes| bytes > limit as u64) {
        return Err(NotAccepted::Refused(Refusal::TooLarge, configuration));
    }
    let mut hold = caller.hold_request().ok_or_else(no_memory)?;
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| NotAccepted::Incomplete(e.to_string()))?;
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        if buf.len() + bytes.len() > limit {
            return Err(NotAccepted::Refused(Refusal::TooLarge, configuration));
        }
        let before = buf.capacity();
        buf.extend_from_slice(&bytes);
        if !hold.try_grow((buf.capacity() - before) as u64) {
            return Err(no_memory());
        }
    }
    caller.end_request_body(named);
    Ok((buf.freeze(), hold))
}

/// Reads and discards the body of a refused request. The connection closes after the response, and would be reset
/// with the response if the body was unread.
async fn discard(mut body: Incoming) {
    let read = async {
        let mut left = MAX_DISCARDED_BYTES;
        while let Some(Ok(frame)) = body.frame().await {
            let len = frame.data_ref().map_or(0, Bytes::len);
            left = left.saturating_sub(len);
            if left == 0 {
                return;
            }
        }
    };
    // A caller that takes longer gets the response at once.
    let _ = timeout(DISCARD_TIMEOUT, read).await;
}

fn admit(
    configuration: &Configuration,
    head: &request::Parts,
    parsed: &RequestHead,
) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Refusal> {
    let route = configuration.route(&parsed.host, head.uri.path());
    let route = route.ok_or(Refusal::NoRoute)?;
    let workspace = parsed
        .key
        .as_deref()
        .and_then(|key| configuration.workspace(key));
    if workspace.is_none() && configuration.needs_key(route) {
        return Err(Refusal::UnknownKey);
    }
    Ok((Arc::clone(route), workspace.cloned()))
}

fn pick_service(route: &Route, seed: u64) -> Arc<str> {
    let total: u64 = route.shares.iter().map(|s| u64::from(s.weight)).sum();
    let mut at = (seed >> 32) % total.max(1);
    for share in &route.shares {
        let weight = u64::from(share.weight);
        if at < weight {
            return Arc::clone(&share.service);
        }
        at -= weight;
    }
    Arc::clone(&route.shares[0].service)
}

/// Returns the fingerprint of a request: the hash of its workspace, method, path and body. It
/// comes again with the same ones; no body is a body too.
fn fingerprint(workspace: Option<&Workspace>, head: &request::Parts, body: &[u8]) -> SuspectKey {
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = workspace.map_or("", |workspace| &*workspace.name);
    let hashes = [workspace, head.method.as_str(), path]
        .into_iter()
        .map(policy::name_hash);
    SuspectKey::Request(hashes.fold(policy::bytes_hash(body), policy::rendezvous_weight))
}

/// Returns what crashes are blamed on: the request, and each shared part of its prompt.
fn suspects(fingerprint: SuspectKey, parsed: &RequestHead) -> Vec<SuspectKey> {
    let prompt = parsed.prompt.as_ref();
    let parts = prompt.map(|prompt| SuspectKey::parts(&prompt.model, &prompt.parts));
    let mut suspects = parts.unwrap_or_default();
    suspects.push(fingerprint);
    suspects
}

fn refuse(cx: &Context, refusal: Refusal) -> Response<ResponseBody> {
    let counter = cx.metrics.requests.with_label_values(&[refusal.reason()]);
    counter.inc();
    refusal.response()
}
