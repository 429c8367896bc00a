//! Request and response bodies in JSON and plain text.

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
use crate::http_server::Disconnect;

/// Reads the complete body of a request; disconnects if it breaks off.
pub(crate) async fn read_body(req: Request<Incoming>) -> Result<Bytes, Disconnect> {
    match req.into_body().collect().await {
        Ok(body) => Ok(body.to_bytes()),
        Err(_) => Err(Disconnect),
    }
}

/// Parses the JSON body of a request; an error is returned as the response to send.
pub(crate) async fn read_json<M>(req: Request<Incoming>) -> Result<M, Response<Body>>
where
    M: DeserializeOwned,
{
    let body = match read_body(req).await {
        Ok(body) => body,
        Err(Disconnect) => {
            return Err(text_response(
                StatusCode::BAD_REQUEST,
                "incomplete request body",
            ))
        }
    };
    serde_json::from_slice(&body)
        .map_err(|e| text_response(StatusCode::BAD_REQUEST, &e.to_string()))
}

/// Returns a JSON response with status 200.
pub(crate) fn json_response<M>(message: &M) -> Response<Body>
where
    M: Serialize,
{
    match serde_json::to_vec(message) {
        Ok(body) => response(StatusCode::OK, "application/json", Bytes::from(body)),
        Err(e) => text_response(StatusCode::INTERNAL_SERVER_ERROR, &e.to_string()),
    }
}

/// Returns a plain-text response.
pub(crate) fn text_response(status: StatusCode, text: &str) -> Response<Body> {
    response(status, "text/plain", Bytes::from(text.to_owned()))
}

/// Returns a response with the given content type.
pub(crate) fn response(status: StatusCode, content_type: &str, body: Bytes) -> Response<Body> {
    let mut response = Response::new(Full::new(body).boxed_unsync());
    *response.status_mut() = status;
    if let Ok(content_type) = content_type.parse() {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    response
}
