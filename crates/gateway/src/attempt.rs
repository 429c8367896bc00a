//! One attempt of a request at one backend server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::response;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use relay::AttemptEnd;
use relay::Choice;
use relay::PartSource;
use relay::ServerKey;
use tokio::time::interval;
use tokio::time::timeout;

use crate::attempt_failure::Ended;
use crate::attempt_failure::WholeAnswer;
use crate::body::whole;
use crate::clock::now;
use crate::codec::AnswerHead;
use crate::codec::ExpectedWeights;
use crate::codec::SendHead;
use crate::connection::describe;
use crate::evidence::avoid;
use crate::evidence::forget_part;
use crate::evidence::is_misdirected;
use crate::evidence::learn;
use crate::evidence::note_part;
use crate::evidence::reject;
use crate::evidence::strike;
use crate::evidence::AVOID_BROKEN_MS;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_SLACK_MS;
use crate::in_flight::InFlight;
use crate::log_event::LogEvent;
use crate::pool::Lease;
use crate::pool::SendError;
use crate::request_event::RequestEvent;
use crate::request_event::Sent;
use crate::timing::until;

/// Time without a response, beyond the estimated prefill, after which idempotent requests
/// are retried elsewhere, in milliseconds.
const SILENT_MS: u64 = 1_200;

/// Interval at which an attempt checks whether its backend server is unresponsive; also
/// the longest time spent on draining a rejection's body.
const SILENCE_LOOK: Duration = Duration::from_millis(200);

/// An attempt whose response head was received and accepted.
pub struct Attempt {
    /// Placement decision that led to this attempt.
    pub choice: Choice,
    /// Fields read from the response head.
    pub facts: AnswerHead,
    /// Head of the response.
    pub head: response::Parts,
    /// Body of the response, not yet read.
    pub body: Incoming,
    /// Connection to the backend server; dropping it cancels the request there.
    pub lease: Lease,
    /// Counts the request as load of the backend server until dropped.
    pub in_flight: InFlight,
}

impl Attempt {
    /// Sends the request to the chosen backend server and waits for the response head.
    pub async fn begin(x: &Exchange, choice: &Choice) -> Result<Attempt, Ended> {
        let Some((id, peer)) = server(x, choice.server) else {
            return Err(Ended::new(
                AttemptEnd::Unsent,
                "server is no longer registered",
            ));
        };
        let in_flight = InFlight::begin(&x.cx, choice.server, choice.reading_ms as u64);
        note_part(x, choice);
        log_send(x, choice, &id);
        let req = outgoing(x, choice, id, peer);
        let sent = x.cx.pool.send(choice.server, peer, req);
        let result = if x.route.kind.may_repeat() {
            tokio::select! {
                result = sent => result,
                () = silence(x, choice.server) => {
                    avoid(x, choice.server, AVOID_BROKEN_MS);
                    return Err(Ended::new(AttemptEnd::Unknown, "server is unresponsive"));
                }
            }
        } else {
            sent.await
        };
        match result {
            Ok((answer, lease)) => Attempt::judge(x, choice, answer, lease, in_flight).await,
            Err(e) => {
                forget_part(x, choice);
                avoid(x, choice.server, AVOID_BROKEN_MS);
                let end = match e {
                    SendError::Unsent { .. } => AttemptEnd::Unsent,
                    SendError::Broken { .. } => AttemptEnd::Unknown,
                };
                if end == AttemptEnd::Unknown {
                    strike(x, choice.server);
                }
                Err(Ended::new(end, e.to_string()))
            }
        }
    }

    async fn judge(
        x: &Exchange,
        choice: &Choice,
        answer: Response<Incoming>,
        lease: Lease,
        mut in_flight: InFlight,
    ) -> Result<Attempt, Ended> {
        let (head, body) = answer.into_parts();
        let facts = x.cx.codec.answer(&head);
        let misdirected = is_misdirected(x, choice.server, &head, &facts);
        let mine = facts.request.as_deref() == Some(x.facts.id.as_str());
        if !(mine || misdirected || facts.not_run && facts.request.is_none()) {
            x.cx.pool.clear(choice.server);
            return Err(Ended::new(
                AttemptEnd::Unknown,
                "response to another request",
            ));
        }
        in_flight.answered();
        if misdirected || facts.not_run {
            let reason = reject(x, choice, &head, &facts, misdirected);
            give_back_rest(x, choice.server, body, lease, facts.keep_ms).await;
            return Err(Ended::new(AttemptEnd::Rejected, reason));
        }
        if head.status.is_success() && !facts.signed {
            return Err(Ended::new(
                AttemptEnd::Unknown,
                "response without signature",
            ));
        }
        learn(x, choice, &facts, head.status);
        Ok(Attempt {
            choice: choice.clone(),
            facts,
            head,
            body,
            lease,
            in_flight,
        })
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Reads the response body to its end and returns the connection to the pool.
    pub async fn whole(self, x: &Exchange) -> Result<WholeAnswer, Ended> {
        let limit = until(x.deadline.plus_millis(DEADLINE_SLACK_MS));
        let body = match timeout(limit, self.body.collect()).await {
            Ok(Ok(body)) => body.to_bytes(),
            Ok(Err(e)) => {
                avoid(x, self.choice.server, AVOID_BROKEN_MS / 4);
                return Err(Ended::new(AttemptEnd::Unknown, describe(&e)));
            }
            Err(_) => return Err(Ended::timed_out()),
        };
        x.cx.pool
            .give_back(self.choice.server, self.lease, self.facts.keep_ms);
        let mut response = Response::new(whole(body));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = x.cx.codec.returned(&self.head);
        Ok(WholeAnswer {
            response,
            server: self.choice.server,
        })
    }
}

fn server(x: &Exchange, key: ServerKey) -> Option<(Arc<str>, SocketAddr)> {
    let belief = x.cx.belief.borrow();
    let server = belief.fleet.get(key)?;
    Some((Arc::clone(&server.entry.id), server.entry.address))
}

fn outgoing(
    x: &Exchange,
    choice: &Choice,
    server: Arc<str>,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    let belief = x.cx.belief.borrow();
    let fetch_from = choice.fetch_from.and_then(|source| match source {
        PartSource::Engine(key) => belief.fleet.get(key).map(|server| server.entry.address),
        PartSource::Store(address) => Some(address),
    });
    let workspace = x.workspace.as_deref();
    let has_body = !x.body.is_empty() || x.head.method != http::Method::GET;
    let send = SendHead {
        server,
        address,
        left_ms: x.left_ms(),
        workspace: workspace.map(|workspace| Arc::clone(&workspace.name)),
        last_event: x.facts.last_event,
        priority: relay::engine_priority(&x.route, workspace, choice.reading_ms),
        weights: choice.weights.map(|version| ExpectedWeights {
            version,
            scope: relay::cache_scope(version, workspace),
        }),
        fetch_from,
        save_to: choice.save_to(),
        body_len: has_body.then_some(x.body.len()),
    };
    let mut req = Request::new(Full::new(x.body.clone()));
    *req.method_mut() = x.head.method.clone();
    *req.uri_mut() = origin_form(&x.head.uri);
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = x.cx.codec.outgoing(&x.head, &send);
    req
}

/// Logs the attempt with the estimates behind the choice of its backend server.
fn log_send(x: &Exchange, choice: &Choice, server_id: &str) {
    let belief = x.cx.belief.borrow();
    let Some(server) = belief.fleet.get(choice.server) else {
        return;
    };
    let now = now();
    let load = server.load(now);
    let sent = Sent {
        id: &x.facts.id,
        server: server_id,
        cost_ms: choice.cost_ms,
        wait_ms: choice.wait_ms,
        reading_ms: choice.reading_ms,
        requests: load.requests,
        load_age_ms: server.load_age_ms(now),
        weights: choice.weights,
        part: choice.anchor,
        held: choice.held,
        fetch: choice.fetch_from.map_or("none", PartSource::kind),
        saves: choice.save_to().is_some(),
        entry_age_ms: now.millis_since(server.seen_at),
        left_ms: x.left_ms(),
    };
    RequestEvent::Sent(sent).write();
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

/// Completes once a backend server has not responded to any request for [`SILENT_MS`].
async fn silence(x: &Exchange, key: ServerKey) {
    let mut looks = interval(SILENCE_LOOK);
    loop {
        looks.tick().await;
        let belief = x.cx.belief.borrow();
        let server = belief.fleet.get(key);
        if server.is_some_and(|server| server.silent_ms(now()) > SILENT_MS) {
            return;
        }
    }
}

/// Drains the body of a rejection, so that the connection can be reused.
async fn give_back_rest(
    x: &Exchange,
    server: ServerKey,
    body: Incoming,
    lease: Lease,
    keep_ms: Option<u64>,
) {
    let read = timeout(SILENCE_LOOK, body.collect()).await;
    if matches!(read, Ok(Ok(_))) {
        x.cx.pool.give_back(server, lease, keep_ms);
    }
}
