//! Client side of one HTTP exchange, read event by event.

use std::net::SocketAddr;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use super::Request;

/// Separator after each server-sent event.
const EVENT_END: &str = "\n\n";

/// Reader of the response to one request, which has a connection of its own.
pub struct ResponseReader {
    res: Response<Incoming>,
    /// Text received and not yet returned.
    buf: String,
    /// How the body ended; `None` while more may follow.
    end: Option<ResponseEnd>,
}

/// How a response body ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum ResponseEnd {
    /// Completely, as its framing says.
    Complete,
    /// With a connection error.
    Broken,
}

impl ResponseReader {
    /// Sends a request and waits for the head of the response.
    pub async fn send(router: SocketAddr, req: &Request) -> ResponseReader {
        let io = TcpStream::connect(router).await.expect("connects");
        let (mut sender, connection) = handshake(TokioIo::new(io)).await.expect("connects");
        tokio::spawn(connection);
        let mut message = http::Request::builder()
            .method(req.method)
            .uri(&req.target)
            .header(HOST, "router");
        for (name, value) in &req.headers {
            message = message.header(*name, value);
        }
        let body = Full::new(Bytes::from(req.body.clone()));
        let message = message.body(body).expect("valid request");
        ResponseReader {
            res: sender.send_request(message).await.expect("responds"),
            buf: String::new(),
            end: None,
        }
    }

    /// Returns the HTTP status.
    pub fn status(&self) -> StatusCode {
        self.res.status()
    }

    /// Returns the headers, sorted by name.
    pub fn headers(&self) -> Vec<(String, String)> {
        let headers = self.res.headers().iter();
        let mut headers: Vec<(String, String)> = headers
            .map(|(name, value)| {
                (
                    name.to_string(),
                    value.to_str().expect("text value").to_owned(),
                )
            })
            .collect();
        headers.sort();
        headers
    }

    /// Returns the next server-sent event, or the whole body of any other response; `None` at the
    /// end.
    pub async fn next(&mut self) -> Option<String> {
        loop {
            if let Some(event) = self.take_event() {
                return Some(event);
            }
            if self.end.is_some() {
                let rest = std::mem::take(&mut self.buf);
                return Some(rest).filter(|rest| !rest.is_empty());
            }
            self.read_frame().await;
        }
    }

    /// Returns whether the body was received completely, without a connection error.
    pub fn is_complete(&self) -> bool {
        self.end == Some(ResponseEnd::Complete)
    }

    /// Reads one frame of the body into `buf`, or sets `end`.
    async fn read_frame(&mut self) {
        match self.res.body_mut().frame().await {
            Some(Ok(frame)) => {
                let data = frame.into_data().unwrap_or_default();
                self.buf
                    .push_str(std::str::from_utf8(&data).expect("UTF-8"));
            }
            Some(Err(_)) => self.end = Some(ResponseEnd::Broken),
            None => self.end = Some(ResponseEnd::Complete),
        }
    }

    /// Removes the first complete event from `buf` and returns it.
    fn take_event(&mut self) -> Option<String> {
        let content_type = self.res.headers().get(CONTENT_TYPE)?;
        if content_type != "text/event-stream" {
            return None;
        }
        let end = self.buf.find(EVENT_END)? + EVENT_END.len();
        let event: String = self.buf.drain(..end).collect();
        Some(event.trim_end().to_owned())
    }
}
