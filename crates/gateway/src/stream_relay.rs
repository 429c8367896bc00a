//! Streams on their way to callers, event by event.

use bytes::Bytes;
use http::header::CONTENT_LENGTH;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Either;
use relay::AttemptEnd;
use relay::EventSplitter;
use relay::Verdict;
use tokio::sync::mpsc;
use tokio::time::timeout;

use crate::attempt::Attempt;
use crate::body::AnswerBody;
use crate::body::BrokenOff;
use crate::body::Events;
use crate::clock::now;
use crate::connection::error_chain;
use crate::evidence::strike;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_SLACK_MS;
use crate::log_event::LogEvent;
use crate::request_event::RequestEvent;
use crate::timing::until;

/// Events that wait for a caller who reads slowly.
const WAITING_EVENTS: usize = 16;

type Sender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// How one run of a stream ended.
enum RunEnd {
    /// It is whole.
    Whole,
    /// It broke off, for the reason given.
    Broken(String),
    /// The caller left.
    CallerLeft,
    /// The deadline has passed.
    TimedOut,
}

/// Answers with a stream, which goes on as a task of its own.
pub fn start(x: Exchange, attempt: Attempt) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(WAITING_EVENTS);
    let mut response = Response::new(Either::Right(Events(rx)));
    *response.status_mut() = attempt.head.status;
    *response.headers_mut() = x.cx.codec.returned_headers(&attempt.head);
    response.headers_mut().remove(CONTENT_LENGTH);
    let took = now().micros_since(x.arrived) as f64 / 1_000_000.0;
    x.cx.metrics.first_answer.observe(took);
    tokio::task::spawn_local(relay(x, attempt, tx));
    response
}

async fn relay(mut x: Exchange, mut attempt: Attempt, tx: Sender) {
    let status = attempt.head.status.as_u16();
    let mut splitter = EventSplitter::resume_after(x.facts.last_event);
    loop {
        let server = attempt.choice.server;
        let choice = attempt.choice.clone();
        let reason = match run(&x, attempt, &mut splitter, &tx).await {
            RunEnd::Whole => return x.conclude("served", status, Some(server)),
            RunEnd::CallerLeft => return x.conclude("caller_left", status, Some(server)),
            RunEnd::TimedOut => {
                x.conclude("stream_timed_out", status, Some(server));
                break;
            }
            RunEnd::Broken(reason) => reason,
        };
        strike(&x, server);
        splitter.discard_partial_event();
        if splitter.last_id().is_some() {
            x.facts.last_event = splitter.last_id();
        }
        let verdict = x.decide_retry(AttemptEnd::Unknown, &reason, &choice);
        let next = match verdict {
            Verdict::Again if x.route.kind.may_retry() => resume(&mut x).await,
            _ => None,
        };
        match next {
            Some(next) => attempt = next,
            None => {
                x.conclude("stream_broke_off", status, Some(server));
                break;
            }
        }
    }
    // The caller may be gone, and then needs no word.
    let _ = tx.send(Err(BrokenOff)).await;
}

/// Finds another backend server at which the stream goes on.
async fn resume(x: &mut Exchange) -> Option<Attempt> {
    loop {
        let choice = match x.place() {
            Ok(choice) => choice,
            Err(e) => {
                RequestEvent::ResumeFailed {
                    id: &x.facts.id,
                    reason: e.reason(),
                }
                .write();
                return None;
            }
        };
        let ended = match x.attempt(&choice).await {
            Ok(attempt) if attempt.status().is_success() => return Some(attempt),
            Ok(attempt) => {
                let reason = format!("status {}", attempt.status().as_u16());
                (AttemptEnd::Failed, reason)
            }
            Err(ended) => (ended.end, ended.reason),
        };
        if x.decide_retry(ended.0, &ended.1, &choice) != Verdict::Again {
            return None;
        }
    }
}

async fn run(
    x: &Exchange,
    mut attempt: Attempt,
    splitter: &mut EventSplitter,
    tx: &Sender,
) -> RunEnd {
    let end = x.deadline.plus_millis(DEADLINE_SLACK_MS);
    loop {
        let frame = tokio::select! {
            frame = timeout(until(end), attempt.body.frame()) => frame,
            () = tx.closed() => return RunEnd::CallerLeft,
        };
        let frame = match frame {
            Err(_) => return RunEnd::TimedOut,
            Ok(None) if splitter.has_partial_event() => {
                return RunEnd::Broken("ended within an event".to_owned());
            }
            Ok(None) => {
                let server = attempt.choice.server;
                let keep_alive_ms = attempt.facts.keep_alive_ms;
                x.cx.pool.give_back(server, attempt.lease, keep_alive_ms);
                return RunEnd::Whole;
            }
            Ok(Some(Err(e))) => return RunEnd::Broken(error_chain(&e)),
            Ok(Some(Ok(frame))) => frame,
        };
        let Ok(bytes) = frame.into_data() else {
            continue;
        };
        attempt.in_flight.answered();
        splitter.push(&bytes);
        loop {
            match splitter.next_event() {
                Ok(Some(event)) => {
                    if tx.send(Ok(event.bytes)).await.is_err() {
                        return RunEnd::CallerLeft;
                    }
                }
                Ok(None) => break,
                Err(e) => return RunEnd::Broken(e.to_string()),
            }
        }
    }
}
