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
use tokio::time::timeout;

use crate::attempt_failure::AttemptFailure;
use crate::attempt_failure::FullResponse;
use crate::attempt_watch::until_unresponsive;
use crate::attempt_watch::until_weights_overdue;
use crate::attempted_server::AttemptedServer;
use crate::body::ResponseBody;
use crate::clock::now;
use crate::codec::ExpectedWeights;
use crate::codec::ForwardHead;
use crate::codec::ResponseHead;
use crate::collected_body::collect;
use crate::collected_body::CollectError;
use crate::connection::MAX_RESPONSE_BYTES;
use crate::connection_pool::PooledConnection;
use crate::dialer::dial;
use crate::evidence::avoid;
use crate::evidence::forget_part;
use crate::evidence::handle_rejection;
use crate::evidence::is_misdirected;
use crate::evidence::record_alive;
use crate::evidence::record_brittleness;
use crate::evidence::record_limit;
use crate::evidence::record_part;
use crate::evidence::record_response;
use crate::evidence::record_retry_after;
use crate::evidence::AVOID_FAILED_MS;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_GRACE_MS;
use crate::final_status::is_final;
use crate::in_flight::InFlight;
use crate::log_event::LogEvent;
use crate::request_event::AttemptSent;
use crate::request_event::RequestEvent;
use crate::response_end::ResponseEnd;
use crate::server_body::ServerBody;
use crate::timing::duration_until;

/// Longest time spent on draining a rejection's body.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(200);

/// Most bytes that are read of a response that names its length.
const MAX_SIZED_RESPONSE_BYTES: u64 = 16 << 20;

/// Most bytes that are read of a rejection's body.
const MAX_REJECTION_BYTES: u64 = 64 << 10;

impl Exchange {
    /// Sends the request to a backend server and waits for the response head.
    pub async fn start_attempt(&mut self, choice: &Choice) -> Result<Attempt, AttemptFailure> {
        if let Some(quota) = &self.quota {
            quota.record_sent();
        }
        self.attempts += 1;
        self.tried.push(choice.server);
        self.latest_server = AttemptedServer::new(&self.cx.view.borrow().fleet, choice.server);
        let limit = duration_until(self.deadline.plus_millis(DEADLINE_GRACE_MS));
        match timeout(limit, Attempt::start(self, choice)).await {
            Ok(result) => result,
            Err(_) => Err(AttemptFailure::timed_out()),
        }
    }
}

/// An attempt whose response head was received and accepted.
pub struct Attempt {
    /// Placement decision that led to this attempt.
    pub choice: Choice,
    /// Fields read from the response head.
    pub parsed: ResponseHead,
    /// Head of the response.
    pub head: response::Parts,
    /// Body of the response, not yet read; dropping it cancels the request at the backend server.
    pub body: ServerBody,
    /// Counts the request as load of the backend server until dropped.
    pub in_flight: InFlight,
}

impl Attempt {
    /// Sends the request to the chosen backend server and waits for the response head.
    pub async fn start(x: &Exchange, choice: &Choice) -> Result<Attempt, AttemptFailure> {
        let Some((id, peer)) = server_address(x, choice.server) else {
            return Err(AttemptFailure::new(
                AttemptEnd::Unsent,
                "server is no longer registered",
            ));
        };
        let in_flight = InFlight::begin(&x.cx, choice);
        record_part(x, choice);
        log_attempt(x, choice, &id);
        let req = build_request(x, choice, id, peer);
        let dial = dial(&x.cx, choice.server, peer);
        let sent = x.cx.pool.send(choice.server, peer, req, dial);
        let result = tokio::select! {
            result = sent => result,
            () = until_unresponsive(x, choice.server), if x.route.kind.may_retry() => {
                avoid(x, choice.server, AVOID_FAILED_MS);
                return Err(AttemptFailure::new(AttemptEnd::Unknown, "server is unresponsive"));
            }
            () = until_weights_overdue(x, choice) => {
                let reason = "not begun before its weights were overdue";
                return Err(AttemptFailure::new(AttemptEnd::Unknown, reason));
            }
        };
        match result {
            Ok((response, connection)) => {
                Attempt::accept_response(x, choice, response, connection, in_flight).await
            }
            Err(e) => {
                forget_part(x, choice);
                avoid(x, choice.server, AVOID_FAILED_MS);
                Err(AttemptFailure::new(e.end(), e.to_string()))
            }
        }
    }

    async fn accept_response(
        x: &Exchange,
        choice: &Choice,
        response: Response<Incoming>,
        connection: PooledConnection,
        mut in_flight: InFlight,
    ) -> Result<Attempt, AttemptFailure> {
        let (head, body) = response.into_parts();
        if !is_final(head.status) {
            return Err(no_final_response(x, choice, head.status));
        }
        let parsed = x.cx.codec.read_response(&head);
        let misdirected = is_misdirected(x, choice.server, &head, &parsed);
        let matches_request = parsed.request.as_deref() == Some(x.parsed.id.as_str());
        // On a connection that was used before, a response that names no request may be a copy of
        // an earlier one.
        let is_first_refusal =
            parsed.request.is_none() && parsed.not_run && !connection.is_reused();
        if !(matches_request || is_first_refusal) {
            x.cx.pool.clear(choice.server);
            return Err(AttemptFailure::new(
                AttemptEnd::Unknown,
                "response to another request",
            ));
        }
        in_flight.end_prefill();
        if !misdirected {
            record_alive(x);
            record_retry_after(x, choice.server, &head, &parsed);
            record_limit(x, choice.server, &parsed);
            record_brittleness(x, choice.server, &parsed);
            if parsed.leaving {
                x.cx.mark_leaving(choice.server, "response");
            }
        }
        if misdirected || parsed.not_run {
            connection.allow(MAX_REJECTION_BYTES);
            let reason = handle_rejection(x, choice, &head, &parsed, misdirected);
            if matches_request {
                drain_and_release(x, choice.server, body, connection, parsed.keep_alive_ms).await;
            }
            return Err(AttemptFailure::new(AttemptEnd::Rejected, reason));
        }
        if head.status.is_success() && !parsed.signed {
            return Err(AttemptFailure::new(
                AttemptEnd::Unknown,
                "response without signature",
            ));
        }
        record_response(x, choice, &parsed, head.status);
        Ok(Attempt {
            choice: choice.clone(),
            parsed,
            body: ServerBody::new(&head, body, choice.server, connection),
            head,
            in_flight,
        })
    }

    /// Returns the status of the response.
    pub fn status(&self) -> StatusCode {
        self.head.status
    }

    /// Reads the response body to its end and returns the connection to the pool.
    pub async fn read_body(mut self, x: &Exchange) -> Result<FullResponse, AttemptFailure> {
        let give_up_at = x.deadline.plus_millis(DEADLINE_GRACE_MS);
        let limit = duration_until(give_up_at);
        self.body.connection.allow(match self.body.named_len() {
            Some(_) => MAX_SIZED_RESPONSE_BYTES,
            None => MAX_RESPONSE_BYTES,
        });
        let pieces = match timeout(
            limit,
            collect(&x.cx, &x.caller, &self.in_flight, &mut self.body),
        )
        .await
        {
            Ok(Ok(collected)) => collected,
            Ok(Err(e)) => {
                avoid(x, self.choice.server, AVOID_FAILED_MS / 4);
                return Err(self.body_failure(e));
            }
            Err(_) => return Err(AttemptFailure::timed_out()),
        };
        let end = self.body.end(&x.cx, give_up_at).await;
        if end != ResponseEnd::Whole {
            return Err(self.broken_off(&end));
        }
        if self.head.status.is_success() {
            self.in_flight.record_whole();
        }
        let end = end.attempt_end(self.head.status);
        x.cx.pool.release(
            self.choice.server,
            self.body.connection,
            self.parsed.keep_alive_ms,
        );
        let mut response = Response::new(ResponseBody::pieces(pieces));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = x.cx.codec.returned_headers(&self.head);
        Ok(FullResponse {
            response,
            server: self.choice.server,
            end,
        })
    }

    fn body_failure(&self, e: CollectError) -> AttemptFailure {
        match e {
            CollectError::Broken(end) => self.broken_off(&end),
            CollectError::TooLarge => {
                AttemptFailure::new(AttemptEnd::Unknown, "body is too large for the buffers")
            }
        }
    }

    fn broken_off(&self, end: &ResponseEnd) -> AttemptFailure {
        AttemptFailure::new(end.attempt_end(self.head.status), end.to_string())
    }
}

/// Returns the failure of an attempt whose response has a status that ends no request: its server is in trouble, and
/// may have run it.
fn no_final_response(x: &Exchange, choice: &Choice, status: StatusCode) -> AttemptFailure {
    forget_part(x, choice);
    avoid(x, choice.server, AVOID_FAILED_MS);
    let reason = format!("status {} of no final response", status.as_u16());
    AttemptFailure::new(AttemptEnd::Unknown, reason)
}

fn server_address(x: &Exchange, key: ServerKey) -> Option<(Arc<str>, SocketAddr)> {
    let view = x.cx.view.borrow();
    let server = view.fleet.get(key)?;
    Some((
        Arc::clone(&server.registration.id),
        server.registration.address,
    ))
}

fn build_request(
    x: &Exchange,
    choice: &Choice,
    server: Arc<str>,
    address: SocketAddr,
) -> Request<Full<Bytes>> {
    let view = x.cx.view.borrow();
    let fetch_from = choice.fetch_from.and_then(|source| match source {
        PartSource::Engine(key) => view
            .fleet
            .get(key)
            .map(|server| server.registration.address),
        PartSource::Store(address) => Some(address),
    });
    let workspace = x.workspace.as_deref();
    let has_body = !x.body.is_empty() || x.head.method != http::Method::GET;
    let forward_head = ForwardHead {
        server,
        address,
        left_ms: x.left_ms(),
        workspace: workspace.map(|workspace| Arc::clone(&workspace.name)),
        last_event: x.parsed.last_event,
        priority: relay::engine_priority(
            &x.route,
            workspace,
            choice.nominal_prefill_ms(),
            x.stream_build.get(),
        ),
        weights: choice.weights.map(|version| ExpectedWeights {
            version,
            scope: relay::cache_scope(version, choice.build, x.cache_partition(&view)),
        }),
        fetch_from,
        save_to: choice.save_to(),
        body_len: has_body.then_some(x.body.len()),
    };
    let mut req = Request::new(Full::new(x.body.clone()));
    *req.method_mut() = x.head.method.clone();
    *req.uri_mut() = origin_form(&x.head.uri);
    *req.version_mut() = Version::HTTP_11;
    *req.headers_mut() = x.cx.codec.forwarded_headers(&x.head, &forward_head);
    req
}

/// Logs the attempt with the estimates behind the choice of its backend server.
fn log_attempt(x: &Exchange, choice: &Choice, server_id: &str) {
    let view = x.cx.view.borrow();
    let Some(server) = view.fleet.get(choice.server) else {
        return;
    };
    let now = now();
    let load = server.load(now);
    let sent = AttemptSent {
        id: &x.parsed.id,
        resumes: x.parsed.resumes.as_deref(),
        server: server_id,
        build: &server.registration.build,
        cost_ms: choice.cost_ms,
        wait_ms: choice.wait_ms,
        prefill_ms: choice.prefill_ms,
        pace: choice.pace,
        requests: load.requests,
        load_age_ms: server.load_age_ms(now),
        weights: choice.weights,
        part: choice.shared_prefix,
        caches_prefix: choice.caches_prefix,
        fetch: choice.fetch_from.map_or("none", PartSource::kind),
        saves: choice.save_to().is_some(),
        entry_age_ms: now.millis_since(server.seen_at),
        left_ms: x.left_ms(),
    };
    RequestEvent::AttemptSent(sent).write();
}

fn origin_form(uri: &http::Uri) -> http::Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), http::Uri::from)
}

/// Drains the body of a rejection, so that the connection can be reused.
async fn drain_and_release(
    x: &Exchange,
    server: ServerKey,
    body: Incoming,
    connection: PooledConnection,
    keep_alive_ms: Option<u64>,
) {
    let read = timeout(DRAIN_TIMEOUT, body.collect()).await;
    if matches!(read, Ok(Ok(_))) {
        x.cx.pool.release(server, connection, keep_alive_ms);
    }
}
