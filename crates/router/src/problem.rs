//! Problem details (`application/problem+json`) of refused requests.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use policy::Outcome;
use policy::Reason;
use policy::Refusal;
use policy::Time;
use serde::Serialize;

use crate::body::full_body;
use crate::Rejection;
use crate::ResponseBody;

const PROBLEM_JSON: HeaderValue = HeaderValue::from_static("application/problem+json");
const MICROS_PER_SECOND: u64 = 1_000_000;

/// Problem details of a refused request, as sent to the caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Problem {
    /// URN that identifies the problem type.
    #[serde(rename = "type")]
    kind: String,
    /// Reason in a short sentence.
    title: &'static str,
    /// HTTP status.
    status: u16,
    /// Reason as one word.
    reason: &'static str,
    /// Whether the request ran: `not_run`, `unknown` or `done`.
    outcome: &'static str,
    /// Explanation specific to this request.
    detail: String,
    /// Seconds after which the caller may retry.
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after: Option<u64>,
}

impl Problem {
    /// Describes a refusal by the node; `retry_after` is counted from `now`.
    pub fn from_refusal(refusal: &Refusal, now: Time) -> Problem {
        let reason = refusal.reason();
        let retry_after = refusal.retry_at().map(|at| seconds_until(at, now));
        let outcome = refusal.outcome();
        Problem {
            kind: type_urn(reason.name()),
            title: title(reason),
            status: status(reason).as_u16(),
            reason: reason.name(),
            outcome: outcome.name(),
            detail: detail(outcome).to_owned(),
            retry_after,
        }
    }

    /// Describes a request that was rejected before the node saw it.
    pub fn from_rejection(rejection: &Rejection, outcome: Outcome) -> Problem {
        Problem {
            kind: type_urn(rejection.reason()),
            title: rejection.title(),
            status: rejection.status().as_u16(),
            reason: rejection.reason(),
            outcome: outcome.name(),
            detail: rejection.to_string(),
            retry_after: rejection.retry_after(),
        }
    }

    /// Describes a request whose router was stopped, or whose node actor panicked, while it ran.
    pub fn interrupted() -> Problem {
        Problem {
            kind: type_urn("interrupted"),
            title: "The router was stopped while the request ran",
            status: StatusCode::BAD_GATEWAY.as_u16(),
            reason: "interrupted",
            outcome: Outcome::Unknown.name(),
            detail: detail(Outcome::Unknown).to_owned(),
            retry_after: None,
        }
    }

    /// Describes a request that may have run, but for whose response there is no memory.
    pub fn no_memory() -> Problem {
        let rejection = Rejection::NoMemory;
        Problem {
            title: "No memory for the response",
            detail: detail(Outcome::Unknown).to_owned(),
            ..Problem::from_rejection(&rejection, Outcome::Unknown)
        }
    }

    /// Returns the problem as JSON.
    pub fn json(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a problem serializes to JSON")
    }

    /// Returns the problem as an HTTP response.
    pub fn response(&self) -> Response<ResponseBody> {
        let mut res = Response::new(full_body(Bytes::from(self.json())));
        *res.status_mut() =
            StatusCode::from_u16(self.status).expect("every status is a constant of `StatusCode`");
        res.headers_mut().insert(CONTENT_TYPE, PROBLEM_JSON);
        if let Some(seconds) = self.retry_after {
            res.headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds));
        }
        res
    }
}

fn type_urn(reason: &str) -> String {
    format!("urn:turmerichollow:refusal:{reason}")
}

fn seconds_until(at: Time, now: Time) -> u64 {
    at.micros_since(now).div_ceil(MICROS_PER_SECOND)
}

fn detail(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::NotRun => "The request did not run and will not.",
        Outcome::Unknown => "The request may have run.",
        Outcome::Done => "The request ran.",
    }
}

fn status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadToken => StatusCode::UNAUTHORIZED,
        Reason::UnknownModel => StatusCode::NOT_FOUND,
        Reason::UnknownService => StatusCode::NOT_FOUND,
        Reason::UnknownPriority => StatusCode::BAD_REQUEST,
        Reason::KeyMissing => StatusCode::BAD_REQUEST,
        Reason::KeyExpired => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::KeyReused => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        Reason::Overloaded => StatusCode::SERVICE_UNAVAILABLE,
        Reason::DeadlineTooClose => StatusCode::SERVICE_UNAVAILABLE,
        Reason::DeadlinePassed => StatusCode::GATEWAY_TIMEOUT,
        Reason::NoBackendServer => StatusCode::SERVICE_UNAVAILABLE,
        Reason::RetryBudgetSpent => StatusCode::SERVICE_UNAVAILABLE,
        Reason::AttemptsFailed => StatusCode::BAD_GATEWAY,
        Reason::CrashedEngines => StatusCode::UNPROCESSABLE_ENTITY,
        Reason::PlatformUnavailable => StatusCode::SERVICE_UNAVAILABLE,
        Reason::InProgress => StatusCode::CONFLICT,
        Reason::EarlierAttemptUnknown => StatusCode::CONFLICT,
        Reason::AnswerNotKept => StatusCode::CONFLICT,
        Reason::StreamGone => StatusCode::GONE,
        Reason::NotConfigured => StatusCode::SERVICE_UNAVAILABLE,
        Reason::ShuttingDown => StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn title(reason: Reason) -> &'static str {
    match reason {
        Reason::BadToken => "No workspace has this token",
        Reason::UnknownModel => "No such model",
        Reason::UnknownService => "No such service, or no such call of it",
        Reason::UnknownPriority => "No such priority class",
        Reason::KeyMissing => "This call needs a usable idempotency key",
        Reason::KeyExpired => "The idempotency key's time is too far from now",
        Reason::KeyReused => "The idempotency key was used for another request",
        Reason::QuotaExceeded => "The workspace has too much in flight",
        Reason::Overloaded => "Too much is in flight",
        Reason::DeadlineTooClose => "No backend server would answer before the deadline",
        Reason::DeadlinePassed => "The deadline has passed",
        Reason::NoBackendServer => "No backend server that may serve the request is live",
        Reason::RetryBudgetSpent => "The workspace has spent its retries",
        Reason::AttemptsFailed => "The request failed on all backend servers that were tried",
        Reason::CrashedEngines => "The request crashed too many runners",
        Reason::PlatformUnavailable => "The platform can't be reached, and the call needs it",
        Reason::InProgress => "The same call is running",
        Reason::EarlierAttemptUnknown => "An earlier attempt of the call may have run",
        Reason::AnswerNotKept => "The call ran, but its answer was not kept",
        Reason::StreamGone => "The engine that held the stream is gone",
        Reason::NotConfigured => "The router has no configuration yet",
        Reason::ShuttingDown => "The router is shutting down",
    }
}
