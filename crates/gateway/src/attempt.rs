//! One send of a request to one backend server.

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

/// Time without any answer after which a backend server is left by idempotent requests, in milliseconds.
const SILENT_MS: u64 = 1_200;

/// Time between looks at a backend server's silence.
const SILENCE_LOOK: Duration = Duration::from_millis(200);

/// An answer whose head has come.
pub struct Attempt {
    /// Where the request was sent.
    pub choice: Choice,
    /// What the answer's head says.
    pub facts: AnswerHead,
    /// Head of the answer.
    pub head: response::Parts,
    /// Body of the answer.
    pub body: Incoming,
    /// Connection; dropping it ends the work.
    pub lease: Lease,
    /// The request as load of the backend server.
    pub in_flight: InFlight,
}

impl Attempt {
    /// Sends a request and waits for the head of its answer.
    pub async fn begin(x: &Exchange, choice: &Choice) -> Result<Attempt, Ended> {
        let Some((id, peer)) = server(x, choice.server) else {
            return Err(Ended::new(AttemptEnd::Unsent, "server is gone"));
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
                    return Err(Ended::new(AttemptEnd::Unknown, "server is silent"));
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
            return Err(Ended::new(AttemptEnd::Unknown, "answer to another request"));
        }
        in_flight.answered();
        if misdirected || facts.not_run {
            let reason = reject(x, choice, &head, &facts, misdirected);
            give_back_rest(x, choice.server, body, lease, facts.keep_ms).await;
            return Err(Ended::new(AttemptEnd::Rejected, reason));
        }
        if head.status.is_success() && !facts.signed {
            return Err(Ended::new(AttemptEnd::Unknown, "answer without signature"));
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

    /// Returns the status of the answer.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Reads the answer to its end.
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

/// Writes the line that tells where a request goes, and on what grounds.
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

/// Returns once a backend server has left all requests unanswered for too long.
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

/// Reads what is left of a short answer, so that its connection can be kept.
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
