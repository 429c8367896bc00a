//! Relays event streams to callers, and resumes them at another backend server
//! when one fails.

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
use crate::connection::describe;
use crate::evidence::strike;
use crate::exchange::Exchange;
use crate::exchange::DEADLINE_SLACK_MS;
use crate::log_event::LogEvent;
use crate::request_event::RequestEvent;
use crate::timing::until;

/// Events buffered for a slow caller before the backend server's stream is no longer read.
const WAITING_EVENTS: usize = 16;

type Sender = mpsc::Sender<Result<Bytes, BrokenOff>>;

/// How the stream of one attempt ended.
enum RunEnd {
    /// The backend server ended it regularly.
    Whole,
    /// It failed, for the reason given.
    Broken(String),
    /// The caller has closed the connection.
    CallerLeft,
    /// The deadline has passed.
    TimedOut,
}

/// Returns the response of a stream and starts the task that relays its events.
pub fn start(x: Exchange, attempt: Attempt) -> Response<AnswerBody> {
    let (tx, rx) = mpsc::channel(WAITING_EVENTS);
    let mut response = Response::new(Either::Right(Events(rx)));
    *response.status_mut() = attempt.head.status;
    *response.headers_mut() = x.cx.codec.returned(&attempt.head);
    response.headers_mut().remove(CONTENT_LENGTH);
    let took = now().micros_since(x.arrived) as f64 / 1_000_000.0;
    x.cx.metrics.first_answer.observe(took);
    tokio::task::spawn_local(relay(x, attempt, tx));
    response
}

async fn relay(mut x: Exchange, mut attempt: Attempt, tx: Sender) {
    let status = attempt.head.status.as_u16();
    let mut splitter = EventSplitter::after(x.facts.last_event);
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
        splitter.restart();
        if splitter.last_id().is_some() {
            x.facts.last_event = splitter.last_id();
        }
        let verdict = x.after(AttemptEnd::Unknown, &reason, &choice);
        let next = match verdict {
            Verdict::Again if x.route.kind.may_repeat() => resume(&mut x).await,
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
    // Fails if the caller has left, who then needs no error.
    let _ = tx.send(Err(BrokenOff)).await;
}

/// Makes attempts until another backend server resumes the stream; none if no retry is allowed.
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
        if x.after(ended.0, &ended.1, &choice) != Verdict::Again {
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
            Ok(None) if splitter.has_rest() => {
                return RunEnd::Broken("stream ended within an event".to_owned());
            }
            Ok(None) => {
                let server = attempt.choice.server;
                let keep_ms = attempt.facts.keep_ms;
                x.cx.pool.give_back(server, attempt.lease, keep_ms);
                return RunEnd::Whole;
            }
            Ok(Some(Err(e))) => return RunEnd::Broken(describe(&e)),
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
