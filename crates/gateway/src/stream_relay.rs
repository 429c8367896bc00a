//! Relays event streams to callers, and resumes them at another backend server
//! when one fails.

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Either;
use policy::Time;
use relay::AttemptEnd;
use relay::EventSplitter;
use relay::Urgency;
use relay::Verdict;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::attempt::Attempt;
use crate::body::BufferedEvent;
use crate::body::Events;
use crate::body::IncompleteStream;
use crate::body::ResponseBody;
use crate::clock::now;
use crate::connection::error_chain;
use crate::evidence::record_end;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_GRACE_MS;
use crate::log_event::LogEvent;
use crate::request_event::RequestEvent;
use crate::server_choice::place;
use crate::spent_quota;
use crate::timing::duration_until;

/// Events buffered for a slow caller before the backend server's stream is no longer read.
const MAX_BUFFERED_EVENTS: usize = 16;

type Sender = mpsc::Sender<Result<BufferedEvent, IncompleteStream>>;

/// How the stream of one attempt ended.
enum StreamEnd {
    /// The backend server ended it regularly.
    Complete(AttemptEnd),
    /// It failed, for the reason given.
    Failed(AttemptEnd, String),
    /// The caller has closed the connection.
    CallerLeft,
    /// The deadline has passed.
    TimedOut,
}

/// Returns the response of a stream and starts the task that relays its events.
pub fn start(x: Exchange, attempt: Attempt) -> Response<ResponseBody> {
    let (tx, rx) = mpsc::channel(MAX_BUFFERED_EVENTS);
    let mut response = Response::new(Either::Right(Either::Right(Events(rx))));
    *response.status_mut() = attempt.head.status;
    *response.headers_mut() = x.cx.codec.returned_headers(&attempt.head);
    response.headers_mut().remove(CONTENT_LENGTH);
    let took = now().micros_since(x.arrived_at) as f64 / 1_000_000.0;
    x.cx.metrics.time_to_head.observe(took);
    tokio::task::spawn_local(relay(x, attempt, tx));
    response
}

async fn relay(mut x: Exchange, mut attempt: Attempt, tx: Sender) {
    let status = attempt.head.status.as_u16();
    let mut splitter = EventSplitter::resume_after(x.parsed.last_event);
    loop {
        let server = attempt.choice.server;
        let choice = attempt.choice.clone();
        let (end, reason) = match relay_attempt(&x, attempt, &mut splitter, &tx).await {
            StreamEnd::Complete(end) => {
                record_end(&x, end);
                return x.finish("served", status, Some(server));
            }
            StreamEnd::CallerLeft => {
                record_end(&x, AttemptEnd::Unknown);
                return x.finish("caller_left", status, Some(server));
            }
            StreamEnd::TimedOut => {
                record_end(&x, AttemptEnd::Unknown);
                x.finish("stream_timed_out", status, Some(server));
                break;
            }
            StreamEnd::Failed(end, reason) => (end, reason),
        };
        splitter.discard_partial_event();
        x.check_broken_stream();
        if splitter.last_id().is_some() {
            x.parsed.last_event = splitter.last_id();
        }
        let verdict = x.decide_retry(end, &reason, &choice);
        let next = match verdict {
            Verdict::Again if x.route.kind.may_retry() => resume(&mut x).await,
            _ => None,
        };
        match next {
            Some(next) => attempt = next,
            None => {
                x.finish("stream_broke_off", status, Some(server));
                break;
            }
        }
    }
    // The caller may not read for long; what the request holds is free by then.
    drop(x);
    // Fails if the caller has left, who then needs no error.
    let _ = tx.send(Err(IncompleteStream)).await;
}

/// Makes attempts until another backend server resumes the stream; none if no server can
/// take it or no retry is allowed.
async fn resume(x: &mut Exchange) -> Option<Attempt> {
    loop {
        if spent_quota::take(x).await.is_err() {
            RequestEvent::ResumeFailed {
                id: &x.parsed.id,
                reason: "over_quota",
            }
            .write();
            return None;
        }
        let choice = match place(x, Urgency::Urgent).await {
            Ok(choice) => choice,
            Err(e) => {
                RequestEvent::ResumeFailed {
                    id: &x.parsed.id,
                    reason: e.reason(),
                }
                .write();
                return None;
            }
        };
        if x.admit().is_err() {
            RequestEvent::ResumeFailed {
                id: &x.parsed.id,
                reason: "crashes_servers",
            }
            .write();
            return None;
        }
        let failure = match x.start_attempt(&choice).await {
            Ok(attempt) if attempt.status().is_success() => return Some(attempt),
            Ok(attempt) => {
                let reason = format!("status {}", attempt.status().as_u16());
                (AttemptEnd::Failed, reason)
            }
            Err(failure) => (failure.end, failure.reason),
        };
        if x.decide_retry(failure.0, &failure.1, &choice) != Verdict::Again {
            return None;
        }
    }
}

async fn relay_attempt(
    x: &Exchange,
    mut attempt: Attempt,
    splitter: &mut EventSplitter,
    tx: &Sender,
) -> StreamEnd {
    let whole_end = attempt.whole_end();
    // The splitter limits each event; the events of a stream have no limit together.
    attempt.connection.allow(u64::MAX);
    let give_up_at = x.deadline.plus_millis(DEADLINE_GRACE_MS);
    loop {
        let frame = tokio::select! {
            frame = timeout(duration_until(give_up_at), attempt.body.frame()) => frame,
            () = tx.closed() => return StreamEnd::CallerLeft,
        };
        let frame = match frame {
            Err(_) => return StreamEnd::TimedOut,
            Ok(None) if splitter.has_partial_event() => {
                let reason = "stream ended within an event".to_owned();
                return StreamEnd::Failed(AttemptEnd::BrokenOff, reason);
            }
            Ok(None) => {
                attempt.in_flight.record_stream_end();
                let server = attempt.choice.server;
                let keep_alive_ms = attempt.parsed.keep_alive_ms;
                x.cx.pool.release(server, attempt.connection, keep_alive_ms);
                return StreamEnd::Complete(whole_end);
            }
            Ok(Some(Err(e))) => {
                let end = attempt.connection.broken_end(&e);
                return StreamEnd::Failed(end, error_chain(&e));
            }
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        attempt.in_flight.end_prefill();
        attempt.in_flight.record_first_event();
        splitter.push(&bytes);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => {
                    x.bind_stream();
                    attempt.in_flight.count_event(tx.capacity() > 0);
                    if let Some(end) = send_event(x, tx, event.bytes, give_up_at).await {
                        return end;
                    }
                }
                Ok(None) => break,
                Err(e) => return StreamEnd::Failed(AttemptEnd::Unknown, e.to_string()),
            }
        }
    }
}

/// Passes an event on to the caller until `give_up_at`. Returns how the stream ends if that fails.
async fn send_event(
    x: &Exchange,
    tx: &Sender,
    bytes: Bytes,
    give_up_at: Time,
) -> Option<StreamEnd> {
    let event = BufferedEvent {
        _hold: x.cx.buffers.hold(bytes.len() as u64),
        bytes,
    };
    match timeout(duration_until(give_up_at), tx.send(Ok(event))).await {
        Ok(Ok(())) => None,
        Ok(Err(_)) => Some(StreamEnd::CallerLeft),
        // The caller doesn't read, and the server's place is needed by others.
        Err(_) => Some(StreamEnd::TimedOut),
    }
}
