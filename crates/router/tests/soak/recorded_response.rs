//! A response that a caller received, and what must hold of it.

use crate::common::caller::Response;

/// Software versions of the backend servers, in turn.
pub const VERSIONS: [&str; 2] = ["v1", "v2"];

/// A response that a caller received, with its request.
pub struct RecordedResponse {
    pub id: String,
    pub path: &'static str,
    pub response: Response,
    /// Events that earlier responses brought of the same stream.
    pub earlier_events: String,
}

impl RecordedResponse {
    /// Returns all that the caller has of the response's body, and of the stream before it.
    fn text(&self) -> String {
        format!("{}{}", self.earlier_events, self.response.text())
    }

    /// Returns the number of events that the caller has if it may take the stream up.
    pub fn resumable_events(&self) -> Option<usize> {
        let text = self.text();
        let is_cut = self.response.status == 200 && !self.response.complete;
        let events = text.matches("\n\n").count();
        (self.path == "/stream/a" && is_cut && events > 0).then_some(events)
    }

    /// Returns the whole events that the caller has.
    pub fn whole_events(&self) -> String {
        let text = self.text();
        let end = text.rfind("\n\n").map_or(0, |at| at + 2);
        text[..end].to_owned()
    }

    /// Checks it against the number of times that backend servers executed the request.
    pub fn check(&self, at: &str, executions: usize) {
        let RecordedResponse {
            id, path, response, ..
        } = self;
        let at = format!("{at} id {id} {path}");
        if *path == "/once/a" || *path == "/fixed/a" {
            assert!(executions <= 1, "{at}: ran {executions} times");
        }
        if matches!(response.status, 408 | 421 | 429 | 503) {
            assert_eq!(executions, 0, "{at}: refused as not run, but ran");
        }
        if response.status != 200 {
            return;
        }
        let text = self.text();
        if response.complete {
            let answered_id = response.request_id();
            assert_eq!(
                answered_id,
                Some(id.as_str()),
                "{at}: response of another request"
            );
            let is_whole = |version: &&str| text == expected(path, version);
            assert!(VERSIONS.iter().any(is_whole), "{at}: {text}");
        } else {
            let begins = |version: &&str| expected(path, version).starts_with(&text);
            assert!(VERSIONS.iter().any(begins), "{at}: {text}");
        }
    }
}

/// Returns the whole response of a server of a version.
fn expected(path: &str, version: &str) -> String {
    match path {
        "/stream/a" | "/fixed/a" => (1..=5)
            .map(|id| format!("id: {id}\ndata: token {id} {version}\n\n"))
            .collect(),
        _ => "fine".to_owned(),
    }
}
