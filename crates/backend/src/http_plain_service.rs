//! [`PlainService`] over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::BoxFuture;
use futures::FutureExt;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::Method;
use http::Request;
use http_body_util::Full;
use tokio::time::timeout;

use crate::call_context::CallContext;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::RequestBody;
use crate::http_engine::read_body;
use crate::http_engine::refusal_reason;
use crate::PlainService;
use crate::Result;
use crate::ServiceRequest;
use crate::ServiceResponse;

/// Response timeout of a call.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

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
        let body = read_body(cx, exchange).await;
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
    ) -> BoxFuture<'_, Result<ServiceResponse>> {
        let cx = CallContext {
            step: "service_call",
            peer,
        };
        async move {
            let req = request(cx, req)?;
            match timeout(RESPONSE_TIMEOUT, self.exchange(cx, req)).await {
                Ok(response) => response,
                Err(_) => Err(cx.broken("timeout")),
            }
        }
        .boxed()
    }
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
