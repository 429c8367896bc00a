//! [`PlainService`] over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::future::BoxFuture;
use futures::FutureExt;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Body;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio::time::Instant;

use crate::call_context::CallContext;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::Exchange;
use crate::connection_pool::RequestBody;
use crate::http_engine::refusal_reason;
use crate::http_engine::MAX_RESPONSE_BYTES;
use crate::PlainService;
use crate::ResponseMemory;
use crate::Result;
use crate::ServiceRequest;
use crate::ServiceResponse;

/// Response timeout of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// How often a response is in memory at most: as it was read, and as it is sent.
const RESPONSE_COPIES: u64 = 2;

/// Time for which a response waits for memory, and the interval at which it is asked for.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(2);
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);

/// Header for the caller's idempotency key.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Client of plain services over HTTP, with a connection pool.
#[derive(Clone, Debug, Default)]
pub struct HttpPlainService {
    pool: ConnectionPool,
}

impl HttpPlainService {
    /// Creates a client that connects on its first call.
    pub fn new() -> HttpPlainService {
        HttpPlainService::default()
    }

    async fn exchange(
        &self,
        cx: CallContext,
        req: Request<RequestBody>,
        memory: &dyn ResponseMemory,
    ) -> Result<ServiceResponse> {
        // The server may close an idle connection just as a request is sent, which leaves
        // unknown whether the request ran. Unsafe methods therefore get a new connection.
        let exchange = if req.method().is_safe() {
            self.pool.send(cx, req).await?
        } else {
            self.pool.send_on_new_connection(cx, req).await?
        };
        let status = exchange.response.status().as_u16();
        let refusal = refusal_reason(&exchange);
        let content_type = exchange.response.headers().get(CONTENT_TYPE);
        let content_type = content_type.and_then(|value| value.to_str().ok());
        let content_type = content_type.map(str::to_owned);
        let body = read_within(cx, exchange, memory).await;
        if let Some(reason) = refusal {
            return Err(cx.refused(status, &reason));
        }
        Ok(ServiceResponse {
            status,
            content_type,
            body: body?,
        })
    }
}

impl PlainService for HttpPlainService {
    fn call(
        &self,
        peer: SocketAddr,
        req: ServiceRequest,
        memory: Arc<dyn ResponseMemory>,
    ) -> BoxFuture<'_, Result<ServiceResponse>> {
        let cx = CallContext {
            step: "service_call",
            peer,
        };
        async move {
            let req = request(cx, req)?;
            match timeout(RESPONSE_TIMEOUT, self.exchange(cx, req, &*memory)).await {
                Ok(response) => response,
                Err(_) => Err(cx.broken("timeout")),
            }
        }
        .boxed()
    }
}

/// Reads a whole body, whose memory is taken first, and returns the connection to the pool.
async fn read_within(
    cx: CallContext,
    exchange: Exchange,
    memory: &dyn ResponseMemory,
) -> Result<Bytes> {
    let body = exchange.response.into_body();
    let announced_len = body.size_hint().lower();
    let mut body = Limited::new(body, MAX_RESPONSE_BYTES);
    if announced_len <= MAX_RESPONSE_BYTES as u64 {
        take_memory(cx, memory, announced_len).await?;
    }
    let mut buf = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| cx.broken(e))?.into_data() else {
            continue;
        };
        if announced_len == 0 {
            take_memory(cx, memory, data.len() as u64).await?;
        }
        buf.extend_from_slice(&data);
    }
    exchange.connection.return_to_pool();
    Ok(buf.freeze())
}

/// Takes memory for `bytes` bytes of a response once there is room.
async fn take_memory(cx: CallContext, memory: &dyn ResponseMemory, bytes: u64) -> Result<()> {
    let deadline = Instant::now() + MEMORY_TIMEOUT;
    while !memory.try_grow(RESPONSE_COPIES * bytes) {
        if Instant::now() > deadline {
            return Err(cx.broken("no memory for the response"));
        }
        sleep(MEMORY_INTERVAL).await;
    }
    Ok(())
}

fn request(cx: CallContext, req: ServiceRequest) -> Result<Request<RequestBody>> {
    let method = Method::from_bytes(req.method.as_bytes()).map_err(|e| cx.not_connected(e))?;
    let mut builder = Request::builder()
        .method(method)
        .uri(req.path)
        .header(HOST, cx.peer.to_string());
    if let Some(content_type) = req.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    if let Some(key) = req.key {
        builder = builder.header(IDEMPOTENCY_KEY_HEADER, key);
    }
    builder
        .body(Full::new(req.body))
        .map_err(|e| cx.not_connected(e))
}
