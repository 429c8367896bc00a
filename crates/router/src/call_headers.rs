//! Request headers of the router's API.

use http::HeaderMap;
use http::HeaderValue;
use policy::CallId;
use policy::CallRequest;
use policy::Time;
use policy::Work;
use sha2::Digest;
use sha2::Sha256;

use crate::clock;
use crate::hex;
use crate::Rejection;

/// Maximum deadline that a caller may set, in milliseconds from the request's arrival.
const MAX_DEADLINE_MS: u64 = 24 * 3_600 * 1_000;

/// Maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Maximum length of a priority class's name, in bytes.
const MAX_PRIORITY_BYTES: usize = 64;

const AUTHORIZATION: &str = "authorization";
const DEADLINE: &str = "x-deadline-ms";
const PRIORITY: &str = "x-priority";
pub(crate) const IDEMPOTENCY_KEY: &str = "idempotency-key";
const LAST_EVENT_ID: &str = "last-event-id";

/// The headers of a request that the router evaluates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// SHA-256 of the bearer token, in lower-case hexadecimal.
    pub token_sha256: String,
    /// Name of the priority class.
    pub priority: Option<String>,
    /// Time by which the caller needs the response.
    pub deadline: Option<Time>,
    /// Idempotency key, as received.
    pub idempotency_key: Option<String>,
    /// Id of the last event that the caller received, to resume a stream after it.
    pub last_event_id: Option<String>,
}

impl CallHeaders {
    /// Returns the call for the node, built from the headers and the rest of the request.
    pub fn into_call(self, call: CallId, fingerprint: u64, work: Work) -> CallRequest {
        CallRequest {
            call,
            token_sha256: self.token_sha256,
            priority: self.priority,
            deadline: self.deadline,
            fingerprint,
            work,
        }
    }

    /// Parses and checks the headers of a request.
    pub fn parse(headers: &HeaderMap) -> Result<CallHeaders, Rejection> {
        Ok(CallHeaders {
            token_sha256: token(headers)?,
            priority: word(headers, PRIORITY, MAX_PRIORITY_BYTES)?,
            deadline: deadline(headers)?,
            idempotency_key: word(headers, IDEMPOTENCY_KEY, MAX_KEY_BYTES)?,
            last_event_id: single_value(headers, LAST_EVENT_ID)?.map(str::to_owned),
        })
    }
}

fn token(headers: &HeaderMap) -> Result<String, Rejection> {
    let text = single_value(headers, AUTHORIZATION)?.ok_or(Rejection::NoToken)?;
    let (scheme, token) = text.split_once(' ').ok_or(Rejection::NoToken)?;
    let token = token.trim();
    if !scheme.eq_ignore_ascii_case("bearer") || token.is_empty() {
        return Err(Rejection::NoToken);
    }
    Ok(hex::encode(&Sha256::digest(token)))
}

fn deadline(headers: &HeaderMap) -> Result<Option<Time>, Rejection> {
    let Some(text) = single_value(headers, DEADLINE)? else {
        return Ok(None);
    };
    match text.parse() {
        Ok(ms @ 1..=MAX_DEADLINE_MS) => Ok(Some(clock::now().plus_millis(ms))),
        _ => Err(Rejection::BadHeader {
            name: DEADLINE,
            expected: "expected milliseconds from now, 1 to 86400000",
        }),
    }
}

fn word(
    headers: &HeaderMap,
    name: &'static str,
    max_bytes: usize,
) -> Result<Option<String>, Rejection> {
    let Some(text) = single_value(headers, name)? else {
        return Ok(None);
    };
    let valid = !text.is_empty()
        && text.len() <= max_bytes
        && text.bytes().all(|byte| byte.is_ascii_graphic());
    if !valid {
        return Err(Rejection::BadHeader {
            name,
            expected: "expected one short word of printable ASCII",
        });
    }
    Ok(Some(text.to_owned()))
}

fn single_value<'a>(
    headers: &'a HeaderMap,
    name: &'static str,
) -> Result<Option<&'a str>, Rejection> {
    let mut values = headers.get_all(name).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Rejection::BadHeader {
            name,
            expected: "expected once",
        });
    }
    match HeaderValue::to_str(value) {
        Ok(text) => Ok(Some(text.trim())),
        Err(_) => Err(Rejection::BadHeader {
            name,
            expected: "expected visible ASCII",
        }),
    }
}
