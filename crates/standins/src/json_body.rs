//! JSON bodies of requests and answers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http_server::Body;
use crate::http_server::Hangup;

/// Reads a whole body.
pub(crate) async fn read_body(req: Request<Incoming>) -> Result<Bytes, Hangup> {
    match req.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Hangup),
    }
}

/// Reads a JSON body.
pub(crate) async fn read_json<M>(req: Request<Incoming>) -> Result<M, Response<Body>>
where
    M: DeserializeOwned,
{
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(Hangup) => return Err(text(StatusCode::BAD_REQUEST, "body broken off")),
    };
    serde_json::from_slice(&body).map_err(|e| text(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// Builds a JSON answer.
pub(crate) fn json<M>(message: &M) -> Response<Body>
where
    M: Serialize,
{
    match serde_json::to_vec(message) {
        Ok(body) => answer(StatusCode::OK, "application/json", Bytes::from(body)),
        Err(e) => text(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Builds a plain-text answer.
pub(crate) fn text(status: StatusCode, text: &str) -> Response<Body> {
    answer(status, "text/plain", Bytes::from(text.to_owned()))
}

/// Builds an answer.
pub(crate) fn answer(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut answer = Response::new(Full::new(body).boxed_unsync());
    *answer.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        answer.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    answer
}
