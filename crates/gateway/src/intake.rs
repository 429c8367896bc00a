//! Requests as they come in: what can be refused without looking for a backend server.

use std::rc::Rc;
use std::sync::Arc;

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
use crate::refusal::Refusal;

/// Wait that callers are told while this router knows no configuration, in milliseconds.
const UNCONFIGURED_RETRY_MS: u64 = 300;

/// Wait that callers are told whose request crashes backend servers, in milliseconds.
const CRASHES_RETRY_MS: u64 = 30_000;

/// Wait that callers are told while this router leaves, in milliseconds: another answers them.
const STOPPING_RETRY_MS: u64 = 50;

/// Why a connection is closed without an answer.
#[derive(Debug, Snafu)]
pub enum Aborted {
    /// The caller's request broke off.
    #[snafu(display("the request broke off: {reason}"))]
    RequestBrokeOff {
        /// What went wrong.
        reason: String,
    },
}

/// Answers a request.
pub async fn answer(
    cx: Rc<Context>,
    req: http::Request<Incoming>,
) -> Result<Response<AnswerBody>, Aborted> {
    let arrived = now();
    let (head, body) = req.into_parts();
    let facts = match cx.codec.request(&head) {
        Ok(facts) => facts,
        Err(e) => {
            log::info!(
                "event=refused status=400 reason={:?} path={:?}",
                e.to_string(),
                head.uri.path()
            );
            return Ok(refuse(&cx, Refusal::BadRequest));
        }
    };
    if cx.phase.get() == Phase::Leaving {
        let refusal = Refusal::NotRun {
            reason: "stopping",
            retry_after_ms: STOPPING_RETRY_MS,
        };
        log_refusal(&facts, refusal, 0);
        return Ok(refuse(&cx, refusal));
    }
    let configuration = cx.belief.borrow().configuration.clone();
    let Some(configuration) = configuration else {
        let refusal = Refusal::NotRun {
            reason: "no_configuration",
            retry_after_ms: UNCONFIGURED_RETRY_MS,
        };
        log_refusal(&facts, refusal, 0);
        return Ok(refuse(&cx, refusal));
    };
    let (route, workspace) = match admit(&configuration, &head, &facts) {
        Ok(admitted) => admitted,
        Err(refusal) => {
            log_refusal(&facts, refusal, configuration.version);
            return Ok(refuse(&cx, refusal));
        }
    };
    let limit = configuration.limits.max_body_bytes;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(e) if e.is::<LengthLimitError>() => {
            log_refusal(&facts, Refusal::TooLarge, configuration.version);
            return Ok(refuse(&cx, Refusal::TooLarge));
        }
        Err(e) => {
            let reason = e.to_string();
            log::info!(
                "event=request_broke_off id={:?} reason={reason:?}",
                facts.id
            );
            return RequestBrokeOffSnafu { reason }.fail();
        }
    };
    let fingerprint = fingerprint(workspace.as_deref(), &head, &body);
    let out = fingerprint.is_some_and(|print| cx.belief.borrow().strikes.is_out(now(), print));
    if out {
        let refusal = Refusal::NotRun {
            reason: "crashes_servers",
            retry_after_ms: CRASHES_RETRY_MS,
        };
        log_refusal(&facts, refusal, configuration.version);
        return Ok(refuse(&cx, refusal));
    }
    let exchange = Exchange::new(
        cx,
        Accepted {
            head,
            facts,
            body,
            route,
            workspace,
            arrived,
            configuration: configuration.version,
            fingerprint,
        },
    );
    Ok(exchange.run().await)
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

fn log_refusal(facts: &RequestHead, refusal: Refusal, configuration: u64) {
    log::info!(
        "event=refused id={:?} host={:?} configuration={configuration} status={} reason={}",
        facts.id,
        facts.host,
        refusal.status().as_u16(),
        refusal.reason()
    );
}
