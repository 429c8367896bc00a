//! HTTP client that plays a router's caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::HeaderMap;
use http::Method;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Bearer token of the caller's workspace.
pub const TOKEN: &str = "letmein";

/// Builder of one request to a router.
pub struct Caller {
    address: SocketAddr,
    method: Method,
    path: String,
    headers: Vec<(&'static str, String)>,
    body: Bytes,
}

/// A response that was read completely.
#[derive(Debug)]
pub struct Response {
    pub status: StatusCode,
    pub headers: HeaderMap,
    pub body: String,
}

/// A streamed response that is being read.
pub struct Stream {
    body: Incoming,
    buf: String,
    connection: JoinHandle<()>,
}

/// One server-sent event.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Event {
    pub id: String,
    pub name: String,
    pub data: String,
}

impl Caller {
    pub fn new(address: SocketAddr, path: &str) -> Caller {
        Caller {
            address,
            method: Method::POST,
            path: path.to_owned(),
            headers: vec![("authorization", format!("Bearer {TOKEN}"))],
            body: Bytes::new(),
        }
    }

    /// Creates a request for a completion of `tokens` tokens.
    pub fn completion(address: SocketAddr, tokens: u32) -> Caller {
        let body = json!({"model": "m", "prompt": "hello", "max_tokens": tokens});
        Caller::new(address, "/v1/completions").json(&body)
    }

    /// Creates a request for a streamed completion of `tokens` tokens.
    pub fn stream(address: SocketAddr, tokens: u32) -> Caller {
        let body = json!({"model": "m", "prompt": "hello", "max_tokens": tokens, "stream": true});
        Caller::new(address, "/v1/completions").json(&body)
    }

    pub fn get(address: SocketAddr, path: &str) -> Caller {
        Caller::new(address, path).method(Method::GET)
    }

    pub fn method(mut self, method: Method) -> Caller {
        self.method = method;
        self
    }

    pub fn json(self, body: &Value) -> Caller {
        self.body(body.to_string())
    }

    pub fn body<B>(mut self, body: B) -> Caller
    where
        B: Into<Bytes>,
    {
        self.body = body.into();
        self
    }

    pub fn header(mut self, name: &'static str, value: &str) -> Caller {
        self.headers.retain(|(held, _)| *held != name);
        self.headers.push((name, value.to_owned()));
        self
    }

    pub async fn send(self) -> Response {
        let (res, _connection) = self.start().await;
        let (head, body) = res.into_parts();
        let body = body.collect().await.unwrap().to_bytes();
        Response {
            status: head.status,
            headers: head.headers,
            body: String::from_utf8(body.into()).unwrap(),
        }
    }

    /// Sends the request and returns the response's stream, which must have status 200.
    pub async fn open(self) -> Stream {
        let (res, connection) = self.start().await;
        assert_eq!(res.status(), StatusCode::OK);
        Stream {
            body: res.into_body(),
            buf: String::new(),
            connection,
        }
    }

    async fn start(self) -> (http::Response<Incoming>, JoinHandle<()>) {
        let io = TokioIo::new(TcpStream::connect(self.address).await.unwrap());
        let (mut tx, connection) = http1::handshake(io).await.unwrap();
        let connection = tokio::spawn(async move {
            let _ = connection.await;
        });
        let mut req = Request::builder().method(self.method).uri(self.path);
        for (name, value) in self.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(self.body)).unwrap();
        (tx.send_request(req).await.unwrap(), connection)
    }
}

impl Response {
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the status, reason and outcome of a response with problem details.
    pub fn refusal(&self) -> (u16, String, String) {
        assert_eq!(self.headers["content-type"], "application/problem+json");
        let json = self.json();
        let text = |field: &str| json[field].as_str().unwrap().to_owned();
        (self.status.as_u16(), text("reason"), text("outcome"))
    }
}

impl Stream {
    /// Reads the next event, `None` at the end of the body or when the connection fails.
    pub async fn next(&mut self) -> Option<Event> {
        loop {
            if let Some((event, rest)) = self.buf.split_once("\n\n") {
                let event = parse(event);
                self.buf = rest.to_owned();
                return Some(event);
            }
            let frame = self.body.frame().await?.ok()?;
            let data = frame.into_data().unwrap();
            self.buf.push_str(std::str::from_utf8(&data).unwrap());
        }
    }

    /// Reads `count` events.
    pub async fn take(&mut self, count: usize) -> Vec<Event> {
        let mut events = Vec::new();
        for _ in 0..count {
            events.push(self.next().await.unwrap());
        }
        events
    }

    /// Reads all remaining events.
    pub async fn rest(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        while let Some(event) = self.next().await {
            events.push(event);
        }
        events
    }

    /// Closes the connection without reading the rest.
    pub fn disconnect(self) {
        self.connection.abort();
    }
}

/// Returns the concatenated text of `events`, and whether the last one is `[DONE]`.
pub fn text(events: &[Event]) -> (String, bool) {
    let mut text = String::new();
    for event in events.iter().filter(|event| event.data != "[DONE]") {
        let json: Value = serde_json::from_str(&event.data).unwrap();
        text.push_str(json["choices"][0]["text"].as_str().unwrap());
    }
    let done = events.last().is_some_and(|event| event.data == "[DONE]");
    (text, done)
}

/// Returns the text that the fake engines generate for the tokens from `from` up to before `end`.
pub fn tokens(from: u32, end: u32) -> String {
    (from..end).map(|n| format!("t{n} ")).collect()
}

fn parse(text: &str) -> Event {
    let mut event = Event::default();
    for line in text.lines() {
        let (field, value) = line.split_once(": ").unwrap();
        match field {
            "id" => event.id = value.to_owned(),
            "event" => event.name = value.to_owned(),
            "data" => event.data = value.to_owned(),
            field => panic!("unknown field {field}"),
        }
    }
    event
}
