//! Relays event streams to callers, and resumes them at another backend server
//! when one fails.

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::Response;
use policy::Time;
use relay::AttemptEnd;
use relay::EventSplitter;
use relay::Urgency;
use relay::Verdict;
use tokio::sync::mpsc;
use tokio::sync::mpsc::error::TrySendError;
use tokio::time::timeout;

use crate::attempt::Attempt;
use crate::body::HeldBytes;
use crate::body::ResponseBody;
use crate::body::StreamPart;
use crate::buffer_hold::BufferHold;
use crate::clock::now;
use crate::evidence::record_end;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_GRACE_MS;
use crate::log_event::LogEvent;
use crate::port_connections::ROOM_POLL_INTERVAL;
use crate::quota_spending;
use crate::request_event::RequestEvent;
use crate::response_end::ResponseEnd;
use crate::server_choice::place;
use crate::stream_head::StreamHead;
use crate::timing::duration_until;

/// Events buffered for a slow caller before the backend server's stream is no longer read.
const MAX_BUFFERED_EVENTS: usize = 16;

type Sender = mpsc::Sender<StreamPart>;

/// How the stream of one attempt ended.
enum StreamEnd {
    /// The backend server has sent all of it.
    Complete,
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
    let mut response = Response::new(ResponseBody::events(rx));
    *response.status_mut() = attempt.head.status;
    *response.headers_mut() = x.cx.codec.returned_headers(&attempt.head);
    response.headers_mut().remove(CONTENT_LENGTH);
    let took = now().micros_since(x.arrived_at) as f64 / 1_000_000.0;
    x.cx.metrics.times.to_head.observe(took);
    tokio::task::spawn_local(relay(x, attempt, tx));
    response
}

async fn relay(mut x: Exchange, mut attempt: Attempt, tx: Sender) {
    let status = attempt.head.status.as_u16();
    let stream = StreamHead::new(&attempt.head);
    let mut splitter = EventSplitter::resume_after(x.parsed.last_event);
    loop {
        let server = attempt.choice.server;
        let choice = attempt.choice.clone();
        let (end, reason) = match relay_attempt(&x, attempt, &mut splitter, &tx).await {
            StreamEnd::Complete => {
                record_end(&x, AttemptEnd::Completed);
                x.finish_when_delivered("served", status, server);
                // Fails if the caller has left, who then needs no end.
                let _ = tx.send(StreamPart::End).await;
                return;
            }
            StreamEnd::CallerLeft => {
                record_end(&x, AttemptEnd::Unknown);
                return x.finish(x.undelivered_outcome(), status, Some(server));
            }
            StreamEnd::TimedOut => {
                record_end(&x, AttemptEnd::Unknown);
                return x.finish("stream_timed_out", status, Some(server));
            }
            StreamEnd::Failed(end, reason) => (end, reason),
        };
        splitter.begin_next_response();
        x.check_broken_stream();
        if splitter.last_id().is_some() {
            x.parsed.last_event = splitter.last_id();
        }
        let verdict = x.decide_retry(end, &reason, &choice);
        let next = match verdict {
            Verdict::Again if x.route.kind.may_retry() => resume(&mut x, &stream).await,
            _ => None,
        };
        match next {
            Some(next) => attempt = next,
            None => return x.finish("stream_broke_off", status, Some(server)),
        }
    }
}

/// Makes attempts until another backend server resumes the stream; none if no server can
/// take it or no retry is allowed.
async fn resume(x: &mut Exchange, stream: &StreamHead) -> Option<Attempt> {
    loop {
        if quota_spending::take(x).await.is_err() {
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
            Ok(attempt) => match stream.check_continuation(&attempt.head) {
                Ok(()) => return Some(attempt),
                Err(e) => (AttemptEnd::Failed, e.to_string()),
            },
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
    // The splitter limits each event; the events of a stream have no limit together.
    attempt.body.connection.allow(u64::MAX);
    let give_up_at = x.deadline.plus_millis(DEADLINE_GRACE_MS);
    let mut partial = x.caller.hold_response(0).for_events();
    loop {
        let bytes = tokio::select! {
            bytes = timeout(duration_until(give_up_at), attempt.body.next()) => bytes,
            () = tx.closed() => return StreamEnd::CallerLeft,
        };
        let bytes = match bytes {
            Err(_) => return StreamEnd::TimedOut,
            Ok(Ok(None)) if splitter.has_partial_event() => {
                let reason = "stream ended within an event".to_owned();
                return StreamEnd::Failed(AttemptEnd::BrokenOff, reason);
            }
            Ok(Ok(None)) => return end_stream(x, attempt, tx, give_up_at).await,
            Ok(Err(end)) => {
                let end_of_attempt = end.attempt_end(attempt.head.status);
                return StreamEnd::Failed(end_of_attempt, end.to_string());
            }
            Ok(Ok(Some(bytes))) => bytes,
        };
        attempt.in_flight.end_prefill();
        attempt.in_flight.record_first_event();
        let len = bytes.len() as u64;
        if !x.caller.has_response_room(len) {
            attempt.body.hold_back(&x.cx);
            let _held_back = attempt.in_flight.hold_back();
            if let Some(end) = wait_for_room(x, tx, len, give_up_at).await {
                return end;
            }
        }
        splitter.push(&bytes);
        drop(bytes);
        partial.set(splitter.buffered_bytes());
        let events = ArrivedEvents {
            splitter,
            partial: &mut partial,
        };
        if let Some(end) = forward_events(x, &mut attempt, events, tx, give_up_at).await {
            return end;
        }
    }
}

/// Events of a stream that have arrived, and the hold of the last one's bytes while it is incomplete.
struct ArrivedEvents<'a> {
    splitter: &'a mut EventSplitter,
    partial: &'a mut BufferHold,
}

/// Forwards the complete events that have arrived. Returns how the stream ends if that fails, or if the
/// incomplete event takes too much memory.
async fn forward_events(
    x: &Exchange,
    attempt: &mut Attempt,
    events: ArrivedEvents<'_>,
    tx: &Sender,
    give_up_at: Time,
) -> Option<StreamEnd> {
    let ArrivedEvents { splitter, partial } = events;
    loop {
        match splitter.next_event() {
            Ok(Some(event)) => {
                x.bind_stream();
                attempt.in_flight.count_event(tx.capacity() > 0);
                partial.set(splitter.buffered_bytes());
                let sent = send_event(x, attempt, tx, event.bytes, give_up_at).await;
                if sent.is_some() {
                    return sent;
                }
            }
            Ok(None) if partial.try_set_unbounded(splitter.buffered_bytes()) => return None,
            Ok(None) => {
                let reason = "events without an end take too much memory".to_owned();
                return Some(StreamEnd::Failed(AttemptEnd::Unknown, reason));
            }
            Err(e) => return Some(StreamEnd::Failed(AttemptEnd::Unknown, e.to_string())),
        }
    }
}

/// Decides how the stream of an attempt ended that has no more events.
async fn end_stream(x: &Exchange, attempt: Attempt, tx: &Sender, give_up_at: Time) -> StreamEnd {
    let end = tokio::select! {
        end = attempt.body.end(&x.cx, give_up_at) => end,
        () = tx.closed() => return StreamEnd::CallerLeft,
    };
    if end != ResponseEnd::Whole {
        let end_of_attempt = end.attempt_end(attempt.head.status);
        return StreamEnd::Failed(end_of_attempt, end.to_string());
    }
    attempt.in_flight.record_stream_end();
    let keep_alive_ms = attempt.parsed.keep_alive_ms;
    let connection = attempt.body.connection;
    x.cx.pool
        .release(attempt.choice.server, connection, keep_alive_ms);
    StreamEnd::Complete
}

/// Waits until there is room for `len` more bytes of the stream. Returns how the stream ends if there is
/// none by `give_up_at`.
async fn wait_for_room(x: &Exchange, tx: &Sender, len: u64, give_up_at: Time) -> Option<StreamEnd> {
    while !x.caller.has_response_room(len) {
        if now() >= give_up_at {
            return Some(StreamEnd::TimedOut);
        }
        if timeout(ROOM_POLL_INTERVAL, tx.closed()).await.is_ok() {
            return Some(StreamEnd::CallerLeft);
        }
    }
    None
}

/// Passes an event on to the caller until `give_up_at`. Returns how the stream ends if that fails.
async fn send_event(
    x: &Exchange,
    attempt: &mut Attempt,
    tx: &Sender,
    bytes: Bytes,
    give_up_at: Time,
) -> Option<StreamEnd> {
    let hold = x.caller.hold_response(bytes.len() as u64);
    // A copy, as the event's own memory is shared with what follows it.
    let event = HeldBytes::new(Bytes::copy_from_slice(&bytes), hold);
    drop(bytes);
    let part = match tx.try_send(StreamPart::Event(event)) {
        Ok(()) => return None,
        Err(TrySendError::Closed(_)) => return Some(StreamEnd::CallerLeft),
        Err(TrySendError::Full(part)) => part,
    };
    attempt.body.hold_back(&x.cx);
    let _held_back = attempt.in_flight.hold_back();
    match timeout(duration_until(give_up_at), tx.send(part)).await {
        Ok(Ok(())) => None,
        Ok(Err(_)) => Some(StreamEnd::CallerLeft),
        // The caller doesn't read, and the server's place is needed by others.
        Err(_) => Some(StreamEnd::TimedOut),
    }
}
