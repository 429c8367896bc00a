//! [`Engine`] over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;
use http::header::CONTENT_TYPE;
use http::header::HOST;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use serde::de::DeserializeOwned;
use serde::Serialize;
use tokio::time::timeout;

use crate::call_context::CallContext;
use crate::connection_pool::ConnectionPool;
use crate::connection_pool::Exchange;
use crate::connection_pool::RequestBody;
use crate::token_stream::TokenStream;
use crate::wire::path;
use crate::wire::CacheEventsMessage;
use crate::wire::CacheEventsResponse;
use crate::wire::CancelMessage;
use crate::wire::EmptyMessage;
use crate::wire::EmptyResponse;
use crate::wire::ExportMessage;
use crate::wire::ExportResponse;
use crate::wire::GenerateMessage;
use crate::wire::LoadResponse;
use crate::wire::OrderMessage;
use crate::wire::OrderResponseRecord;
use crate::wire::ResumeMessage;
use crate::wire::REFUSED_HEADER;
use crate::CacheEvents;
use crate::Engine;
use crate::GenerateRequest;
use crate::Generation;
use crate::Load;
use crate::Order;
use crate::OrderResponse;
use crate::Result;

/// Response timeout of a call that returns a single JSON object.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of a response body that is read whole, in bytes.
pub(crate) const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Client of model engines over HTTP, with a connection pool.
#[derive(Clone, Debug, Default)]
pub struct HttpEngine {
    pool: ConnectionPool,
}

impl HttpEngine {
    /// Creates a client that connects on its first call.
    pub fn new() -> HttpEngine {
        HttpEngine::default()
    }

    /// Requests KV-cache blocks from an engine on behalf of another engine.
    pub async fn export(&self, peer: SocketAddr, message: ExportMessage) -> Result<ExportResponse> {
        let cx = CallContext {
            step: "export",
            peer,
        };
        self.call(cx, path::EXPORT, &message, RESPONSE_TIMEOUT)
            .await
    }

    async fn call<M, R>(
        &self,
        cx: CallContext,
        path: &'static str,
        message: &M,
        wait: Duration,
    ) -> Result<R>
    where
        M: Serialize,
        R: DeserializeOwned,
    {
        let req = request(cx, path, message)?;
        match timeout(wait, self.exchange(cx, req)).await {
            Ok(response) => response,
            Err(_) => Err(cx.broken("timeout")),
        }
    }

    async fn exchange<R>(&self, cx: CallContext, req: Request<RequestBody>) -> Result<R>
    where
        R: DeserializeOwned,
    {
        let exchange = self.pool.send(cx, req).await?;
        let exchange = check_status(cx, exchange).await?;
        let body = read_body(cx, exchange).await?;
        serde_json::from_slice(&body).map_err(|e| cx.broken(e))
    }

    async fn open_stream<M>(
        &self,
        cx: CallContext,
        path: &'static str,
        message: &M,
    ) -> Result<Generation>
    where
        M: Serialize,
    {
        let req = request(cx, path, message)?;
        let exchange = self.pool.send(cx, req).await?;
        let exchange = check_status(cx, exchange).await?;
        TokenStream::new(cx, exchange).start().await
    }
}

impl Engine for HttpEngine {
    fn generate(
        &self,
        peer: SocketAddr,
        req: GenerateRequest,
    ) -> BoxFuture<'_, Result<Generation>> {
        let cx = CallContext {
            step: "generate",
            peer,
        };
        async move {
            let message = GenerateMessage::from(req);
            self.open_stream(cx, path::GENERATE, &message).await
        }
        .boxed()
    }

    fn resume(
        &self,
        peer: SocketAddr,
        stream: &str,
        incarnation: u64,
        position: u32,
    ) -> BoxFuture<'_, Result<Generation>> {
        let cx = CallContext {
            step: "resume",
            peer,
        };
        let message = ResumeMessage {
            stream: stream.to_owned(),
            incarnation,
            position,
        };
        async move { self.open_stream(cx, path::RESUME, &message).await }.boxed()
    }

    fn cancel(&self, peer: SocketAddr, stream: &str) -> BoxFuture<'_, Result<()>> {
        let cx = CallContext {
            step: "cancel",
            peer,
        };
        let message = CancelMessage {
            stream: stream.to_owned(),
        };
        async move {
            let _: EmptyResponse = self
                .call(cx, path::CANCEL, &message, RESPONSE_TIMEOUT)
                .await?;
            Ok(())
        }
        .boxed()
    }

    fn load(&self, peer: SocketAddr) -> BoxFuture<'_, Result<Load>> {
        let cx = CallContext { step: "load", peer };
        async move {
            let response: LoadResponse = self
                .call(cx, path::LOAD, &EmptyMessage {}, RESPONSE_TIMEOUT)
                .await?;
            Ok(response.into())
        }
        .boxed()
    }

    fn cache_events(
        &self,
        peer: SocketAddr,
        incarnation: u64,
        sequence: u64,
        wait_ms: u64,
    ) -> BoxFuture<'_, Result<CacheEvents>> {
        let cx = CallContext {
            step: "cache_events",
            peer,
        };
        let message = CacheEventsMessage {
            incarnation,
            sequence,
            wait_ms,
        };
        let wait = RESPONSE_TIMEOUT + Duration::from_millis(wait_ms);
        async move {
            let response: CacheEventsResponse =
                self.call(cx, path::CACHE_EVENTS, &message, wait).await?;
            Ok(response.into())
        }
        .boxed()
    }

    fn order(&self, peer: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderResponse>> {
        let cx = CallContext {
            step: "order",
            peer,
        };
        async move {
            let message = OrderMessage::from(order);
            let response: OrderResponseRecord = self
                .call(cx, path::ORDER, &message, RESPONSE_TIMEOUT)
                .await?;
            Ok(response.into())
        }
        .boxed()
    }
}

fn request<M>(cx: CallContext, path: &'static str, message: &M) -> Result<Request<RequestBody>>
where
    M: Serialize,
{
    let body = serde_json::to_vec(message).map_err(|e| cx.not_connected(e))?;
    Request::post(path)
        .header(HOST, cx.peer.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| cx.not_connected(e))
}

/// Returns the exchange if its status is 200, else an error. Only a response that
/// names its reason in the header counts as a refusal: any other error response may
/// have been sent after a part of the request had run.
async fn check_status(cx: CallContext, exchange: Exchange) -> Result<Exchange> {
    let status = exchange.response.status();
    if status == StatusCode::OK {
        return Ok(exchange);
    }
    let error = match refusal_reason(&exchange) {
        Some(reason) => cx.refused(status.as_u16(), &reason),
        None => cx.broken(format!("status {status} without a reason")),
    };
    // Reading the body only lets the connection be reused.
    let _ = read_body(cx, exchange).await;
    Err(error)
}

/// Returns the reason that the response gives for a refusal, `None` if it is no refusal.
pub(crate) fn refusal_reason(exchange: &Exchange) -> Option<String> {
    let reason = exchange.response.headers().get(REFUSED_HEADER)?;
    reason.to_str().ok().map(str::to_owned)
}

/// Reads the whole body and returns the connection to the pool.
async fn read_body(cx: CallContext, exchange: Exchange) -> Result<Bytes> {
    let body = Limited::new(exchange.response.into_body(), MAX_RESPONSE_BYTES);
    let body = body.collect().await.map_err(|e| cx.broken(e))?;
    exchange.connection.return_to_pool();
    Ok(body.to_bytes())
}
