//! Reads incoming requests and refuses those that need no backend server for that.

use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use relay::Configuration;
use relay::Route;
use relay::Workspace;
use snafu::Snafu;

use crate::body::AnswerBody;
use crate::clock::now;
use crate::codec::RequestHead;
use crate::context::Context;
use crate::context::Phase;
use crate::exchange::Accepted;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::refusal::Refusal;
use crate::request_event::RequestEvent;

/// Retry-after time while this router has no configuration, in milliseconds.
const UNCONFIGURED_RETRY_MS: u64 = 300;

/// Retry-after time of poison requests, which crash backend servers, in milliseconds.
const CRASHES_RETRY_MS: u64 = 30_000;

/// Retry-after time while this router shuts down, in milliseconds; short, as another
/// router serves the retry.
const STOPPING_RETRY_MS: u64 = 50;

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
    /// The gateway responds with a refusal, decided by this version of the configuration.
    Refused(Refusal, u64),
    /// It ended before its body was complete, for the reason given.
    BrokeOff(String),
}

/// Serves a request and returns its response.
pub async fn answer(
    cx: Rc<Context>,
    req: http::Request<Incoming>,
) -> Result<Response<AnswerBody>, Aborted> {
    let (head, body) = req.into_parts();
    let facts = match cx.codec.request(&head) {
        Ok(facts) => facts,
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
    let id = facts.id.clone();
    match accept(&cx, head, facts, body).await {
        Ok(accepted) => Ok(Exchange::new(cx, accepted).run().await),
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
        Err(NotAccepted::BrokeOff(reason)) => {
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
    head: request::Parts,
    facts: RequestHead,
    body: Incoming,
) -> Result<Accepted, NotAccepted> {
    let arrived = now();
    if cx.phase.get() == Phase::Leaving {
        return Err(not_run("stopping", STOPPING_RETRY_MS, 0));
    }
    let configuration = cx.belief.borrow().configuration.clone();
    let Some(configuration) = configuration else {
        return Err(not_run("no_configuration", UNCONFIGURED_RETRY_MS, 0));
    };
    let version = configuration.version;
    let (route, workspace) = admit(&configuration, &head, &facts)
        .map_err(|refusal| NotAccepted::Refused(refusal, version))?;
    let body = read(body, configuration.limits.max_body_bytes, version).await?;
    let fingerprint = fingerprint(workspace.as_deref(), &head, &body);
    let strikes = &cx.belief.borrow().strikes;
    if fingerprint.is_some_and(|print| strikes.is_out(now(), print)) {
        return Err(not_run("crashes_servers", CRASHES_RETRY_MS, version));
    }
    Ok(Accepted {
        head,
        facts,
        body,
        route,
        workspace,
        arrived,
        configuration: version,
        fingerprint,
    })
}

fn not_run(reason: &'static str, retry_after_ms: u64, configuration: u64) -> NotAccepted {
    let refusal = Refusal::NotRun {
        reason,
        retry_after_ms,
    };
    NotAccepted::Refused(refusal, configuration)
}

async fn read(body: Incoming, limit: usize, configuration: u64) -> Result<Bytes, NotAccepted> {
    match Limited::new(body, limit).collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(e) if e.is::<LengthLimitError>() => {
            Err(NotAccepted::Refused(Refusal::TooLarge, configuration))
        }
        Err(e) => Err(NotAccepted::BrokeOff(e.to_string())),
    }
}

fn admit(
    configuration: &Configuration,
    head: &request::Parts,
    facts: &RequestHead,
) -> Result<(Arc<Route>, Option<Arc<Workspace>>), Refusal> {
    let route = configuration.route(&facts.host, head.uri.path());
    let route = route.ok_or(Refusal::NoRoute)?;
    let workspace = facts
        .key
        .as_deref()
        .and_then(|key| configuration.workspace(key));
    if workspace.is_none() && configuration.needs_key(route) {
        return Err(Refusal::UnknownKey);
    }
    Ok((Arc::clone(route), workspace.cloned()))
}

fn fingerprint(workspace: Option<&Workspace>, head: &request::Parts, body: &[u8]) -> Option<u64> {
    if body.is_empty() {
        return None;
    }
    let path = head.uri.path_and_query().map_or("", |path| path.as_str());
    let workspace = workspace.map_or("", |workspace| &*workspace.name);
    let hashes = [workspace, head.method.as_str(), path]
        .into_iter()
        .map(policy::name_hash);
    Some(hashes.fold(policy::bytes_hash(body), policy::rendezvous_weight))
}

fn refuse(cx: &Context, refusal: Refusal) -> Response<AnswerBody> {
    let counter = cx.metrics.requests.with_label_values(&[refusal.reason()]);
    counter.inc();
    refusal.answer()
}
