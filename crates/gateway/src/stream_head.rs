//! Head of a stream's first response, by which a response is known that resumes the stream.

use http::header::CONTENT_TYPE;
use http::response;
use http::HeaderMap;
use http::StatusCode;
use snafu::ensure;
use snafu::Snafu;

/// Why a response doesn't resume a stream.
#[derive(Debug, PartialEq, Eq, Snafu)]
pub enum NoContinuation {
    /// Its status differs from that of the first response.
    #[snafu(display("status {}", status.as_u16()))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
    /// Its media type differs from that of the first response.
    #[snafu(display("content type {content_type:?} instead of {expected:?}"))]
    ContentType {
        /// Media type of the response, empty if it names none.
        content_type: String,
        /// Media type of the first response.
        expected: String,
    },
}

/// Status and media type of a stream's first response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamHead {
    status: StatusCode,
    content_type: String,
}

impl StreamHead {
    /// Reads them from the head of the first response.
    pub fn new(head: &response::Parts) -> StreamHead {
        StreamHead {
            status: head.status,
            content_type: media_type(&head.headers),
        }
    }

    /// Checks that a response may resume the stream. The ids of its events are checked as they come.
    pub fn check_continuation(&self, head: &response::Parts) -> Result<(), NoContinuation> {
        let status = head.status;
        ensure!(status == self.status, StatusSnafu { status });
        let content_type = media_type(&head.headers);
        let expected = &self.content_type;
        ensure!(
            content_type == *expected,
            ContentTypeSnafu {
                content_type,
                expected
            }
        );
        Ok(())
    }
}

/// Returns the media type in lower case, without parameters; empty if there is none.
fn media_type(headers: &HeaderMap) -> String {
    let value = headers.get(CONTENT_TYPE);
    let text = value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default();
    let (media_type, _) = text.split_once(';').unwrap_or((text, ""));
    media_type.trim().to_ascii_lowercase()
}
