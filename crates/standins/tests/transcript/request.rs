//! HTTP requests that sessions send.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use standins::token_of;
use standins::MODEL;
use standins::SERVICE;
use standins::WORKSPACES;

/// HTTP request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// HTTP method.
    pub method: &'static str,
    /// Path with the query string.
    pub target: String,
    /// Names and values of the headers, in the order in which they are sent.
    pub headers: Vec<(&'static str, String)>,
    /// Request body.
    pub body: String,
}

impl Request {
    /// Returns a request for a streamed completion of five tokens.
    pub fn completion() -> Request {
        let body = json!({
            "model": MODEL,
            "prompt": "Which felt suits a wide brim?",
            "max_tokens": 5,
            "stream": true,
        });
        Request::post("/v1/completions", &body.to_string())
    }

    /// Returns a request for a streamed chat completion of five tokens.
    pub fn chat() -> Request {
        let body = json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": "Which felt suits a wide brim?"}],
            "max_tokens": 5,
            "stream": true,
        });
        Request::post("/v1/chat/completions", &body.to_string())
    }

    /// Returns a call of the plain service that books two blocks under an idempotency key.
    pub fn booking(key: &str) -> Request {
        let target = format!("/services/{SERVICE}/blocks?day=3");
        Request::post(&target, r#"{"blocks":2}"#).with_header("idempotency-key", key)
    }

    /// Returns a `POST` of a JSON body with the token of the first workspace.
    pub fn post(target: &str, body: &str) -> Request {
        let token = token_of(WORKSPACES[0]);
        let headers = vec![
            ("authorization", format!("Bearer {token}")),
            ("content-type", "application/json".to_owned()),
        ];
        Request {
            method: "POST",
            target: target.to_owned(),
            headers,
            body: body.to_owned(),
        }
    }

    /// Sets a header, replacing one of the same name.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Request {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Removes a header.
    pub fn without_header(mut self, name: &str) -> Request {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// Replaces the body.
    pub fn with_body(self, body: &str) -> Request {
        let body = body.to_owned();
        Request { body, ..self }
    }

    /// Replaces the path and query string.
    pub fn with_target(self, target: &str) -> Request {
        let target = target.to_owned();
        Request { target, ..self }
    }
}

/// Returns an idempotency key: a UUIDv7 with a time `days` days ago.
pub fn idempotency_key(days: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = since_epoch.expect("after 1970").as_secs() - days * 86_400;
    uuid::Builder::from_unix_timestamp_millis(seconds * 1_000, &[7; 10])
        .into_uuid()
        .to_string()
}
