//! Requests of callers.

use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use standins::token_of;
use standins::MODEL;
use standins::SERVICE;
use standins::WORKSPACES;

/// A request as a caller sends it.
#[derive(Clone, Debug)]
pub struct Request {
    /// Method.
    pub method: &'static str,
    /// Target.
    pub target: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: String,
}

impl Request {
    /// Asks for a streamed completion of five tokens.
    pub fn completion() -> Request {
        let body = json!({
            "model": MODEL,
            "prompt": "Which felt suits a wide brim?",
            "max_tokens": 5,
            "stream": true,
        });
        Request::post("/v1/completions", &body.to_string())
    }

    /// Asks for a streamed chat completion of five tokens.
    pub fn chat() -> Request {
        let body = json!({
            "model": MODEL,
            "messages": [{"role": "user", "content": "Which felt suits a wide brim?"}],
            "max_tokens": 5,
            "stream": true,
        });
        Request::post("/v1/chat/completions", &body.to_string())
    }

    /// Books two blocks under an idempotency key.
    pub fn booking(key: &str) -> Request {
        let target = format!("/services/{SERVICE}/blocks?day=3");
        Request::post(&target, r#"{"blocks":2}"#).with_header("idempotency-key", key)
    }

    /// Posts a JSON body as the first workspace.
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

    /// Sets a header.
    pub fn with_header(mut self, name: &'static str, value: &str) -> Request {
        self.headers.retain(|(other, _)| *other != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    /// Leaves a header out.
    pub fn without_header(mut self, name: &str) -> Request {
        self.headers.retain(|(other, _)| *other != name);
        self
    }

    /// Sets the body.
    pub fn with_body(self, body: &str) -> Request {
        let body = body.to_owned();
        Request { body, ..self }
    }

    /// Sets the target.
    pub fn with_target(self, target: &str) -> Request {
        let target = target.to_owned();
        Request { target, ..self }
    }
}

/// Returns an idempotency key, a UUIDv7 of `days` ago.
pub fn idempotency_key(days: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let seconds = since_epoch.expect("after 1970").as_secs() - days * 86_400;
    uuid::Builder::from_unix_timestamp_millis(seconds * 1_000, &[7; 10])
        .into_uuid()
        .to_string()
}
