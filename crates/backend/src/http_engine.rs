//! Model engines over HTTP.

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

use crate::connections::Connections;
use crate::connections::Exchange;
use crate::connections::RequestBody;
use crate::peer_step::PeerStep;
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

/// Time within which a short call must be answered.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Largest answer of a short call, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// Model engines over HTTP.
#[derive(Clone, Debug, Default)]
pub struct HttpEngine {
    connections: Connections,
}

impl HttpEngine {
    /// Creates an adapter that connects when first used.
    pub fn new() -> HttpEngine {
        HttpEngine::default()
    }

    /// Asks an engine for pieces of its KV cache, on behalf of another one.
    pub async fn export(&self, peer: SocketAddr, message: ExportMessage) -> Result<ExportResponse> {
        let at = PeerStep {
            step: "export",
            peer,
        };
        self.call(at, path::EXPORT, &message, ANSWER_TIMEOUT).await
    }

    async fn call<M, A>(
        &self,
        at: PeerStep,
        path: &'static str,
        message: &M,
        wait: Duration,
    ) -> Result<A>
    where
        M: Serialize,
        A: DeserializeOwned,
    {
        let req = request(at, path, message)?;
        match timeout(wait, self.exchange(at, req)).await {
            Ok(answer) => answer,
            Err(_) => Err(at.broken("timeout")),
        }
    }

    async fn exchange<A>(&self, at: PeerStep, req: Request<RequestBody>) -> Result<A>
    where
        A: DeserializeOwned,
    {
        let exchange = self.connections.send(at, req).await?;
        let exchange = check_status(at, exchange).await?;
        let body = read_body(at, exchange).await?;
        serde_json::from_slice(&body).map_err(|e| at.broken(e))
    }

    async fn open<M>(&self, at: PeerStep, path: &'static str, message: &M) -> Result<Generation>
    where
        M: Serialize,
    {
        let req = request(at, path, message)?;
        let exchange = self.connections.send(at, req).await?;
        let exchange = check_status(at, exchange).await?;
        TokenStream::new(at, exchange).start().await
    }
}

impl Engine for HttpEngine {
    fn generate(
        &self,
        peer: SocketAddr,
        req: GenerateRequest,
    ) -> BoxFuture<'_, Result<Generation>> {
        let at = PeerStep {
            step: "generate",
            peer,
        };
        async move {
            let message = GenerateMessage::from(req);
            self.open(at, path::GENERATE, &message).await
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
        let at = PeerStep {
            step: "resume",
            peer,
        };
        let message = ResumeMessage {
            stream: stream.to_owned(),
            incarnation,
            position,
        };
        async move { self.open(at, path::RESUME, &message).await }.boxed()
    }

    fn cancel(&self, peer: SocketAddr, stream: &str) -> BoxFuture<'_, Result<()>> {
        let at = PeerStep {
            step: "cancel",
            peer,
        };
        let message = CancelMessage {
            stream: stream.to_owned(),
        };
        async move {
            let _: EmptyResponse = self
                .call(at, path::CANCEL, &message, ANSWER_TIMEOUT)
                .await?;
            Ok(())
        }
        .boxed()
    }

    fn load(&self, peer: SocketAddr) -> BoxFuture<'_, Result<Load>> {
        let at = PeerStep { step: "load", peer };
        async move {
            let answer: LoadResponse = self
                .call(at, path::LOAD, &EmptyMessage {}, ANSWER_TIMEOUT)
                .await?;
            Ok(answer.into())
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
        let at = PeerStep {
            step: "cache_events",
            peer,
        };
        let message = CacheEventsMessage {
            incarnation,
            sequence,
            wait_ms,
        };
        let wait = ANSWER_TIMEOUT + Duration::from_millis(wait_ms);
        async move {
            let answer: CacheEventsResponse =
                self.call(at, path::CACHE_EVENTS, &message, wait).await?;
            Ok(answer.into())
        }
        .boxed()
    }

    fn order(&self, peer: SocketAddr, order: Order) -> BoxFuture<'_, Result<OrderResponse>> {
        let at = PeerStep {
            step: "order",
            peer,
        };
        async move {
            let message = OrderMessage::from(order);
            let reply: OrderResponseRecord =
                self.call(at, path::ORDER, &message, ANSWER_TIMEOUT).await?;
            Ok(reply.into())
        }
        .boxed()
    }
}

fn request<M>(at: PeerStep, path: &'static str, message: &M) -> Result<Request<RequestBody>>
where
    M: Serialize,
{
    let body = serde_json::to_vec(message).map_err(|e| at.not_connected(e))?;
    Request::post(path)
        .header(HOST, at.peer.to_string())
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body)))
        .map_err(|e| at.not_connected(e))
}

/// Passes a success on. Only an answer that names its reason in the header
/// counts as a refusal; any other may have come after a part of the work.
async fn check_status(at: PeerStep, exchange: Exchange) -> Result<Exchange> {
    let status = exchange.answer.status();
    if status == StatusCode::OK {
        return Ok(exchange);
    }
    let error = match refusal_reason(&exchange) {
        Some(reason) => at.refused(status.as_u16(), &reason),
        None => at.broken(format!("status {status} without a reason")),
    };
    // The rest of the answer matters only to the connection's reuse.
    let _ = read_body(at, exchange).await;
    Err(error)
}

/// Returns the reason for which a backend server ran nothing, if it says so.
pub(crate) fn refusal_reason(exchange: &Exchange) -> Option<String> {
    let reason = exchange.answer.headers().get(REFUSED_HEADER)?;
    reason.to_str().ok().map(str::to_owned)
}

/// Reads a whole answer and gives its connection back.
pub(crate) async fn read_body(at: PeerStep, exchange: Exchange) -> Result<Bytes> {
    let body = Limited::new(exchange.answer.into_body(), MAX_ANSWER_BYTES);
    let body = body.collect().await.map_err(|e| at.broken(e))?;
    exchange.lease.give_back();
    Ok(body.to_bytes())
}
