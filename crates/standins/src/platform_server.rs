//! The platform stand-in over HTTP.

use std::future::Future;
use std::io;
use std::net::SocketAddr;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use platform::wire::path;
use platform::wire::CompareAndSwapRequest;
use platform::wire::DeleteRequest;
use platform::wire::EmptyResponse;
use platform::wire::Entry;
use platform::wire::GetRequest;
use platform::wire::GetResponse;
use platform::wire::GrantRequest;
use platform::wire::GrantResponse;
use platform::wire::ListRequest;
use platform::wire::ListResponse;
use platform::wire::MemberRecord;
use platform::wire::MembersRequest;
use platform::wire::MembersResponse;
use platform::wire::RenewRequest;
use platform::wire::RenewResponse;
use platform::wire::SwapResponse;
use platform::wire::VersionedValue;
use platform::wire::WatchRequest;
use platform::wire::WatchResponse;
use platform::Error;
use platform::KeyValue;
use platform::LeaseId;
use platform::MembershipList;
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::http_server::Body;
use crate::http_server::Handler;
use crate::http_server::Hangup;
use crate::http_server::HttpServer;
use crate::json_body::json;
use crate::json_body::read_json;
use crate::json_body::text;
use crate::Platform;

/// Serves a [`Platform`] over HTTP.
#[derive(Debug)]
pub struct PlatformServer {
    server: HttpServer,
}

impl PlatformServer {
    /// Serves `platform` on `address`, where port 0 takes any free port.
    pub async fn start(address: SocketAddr, platform: Platform) -> io::Result<PlatformServer> {
        let handler = PlatformHandler { platform };
        let server = HttpServer::start(address, handler).await?;
        Ok(PlatformServer { server })
    }

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Breaks all connections and returns once the port is free again.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}

#[derive(Clone)]
struct PlatformHandler {
    platform: Platform,
}

type Answered = Result<Response<Body>, Hangup>;

impl Handler for PlatformHandler {
    fn handle(&self, req: Request<Incoming>) -> BoxFuture<'static, Answered> {
        let platform = self.platform.clone();
        let called = req.uri().path().to_owned();
        async move {
            match called.as_str() {
                path::GET => call(req, |m| get(platform, m)).await,
                path::LIST => call(req, |m| list(platform, m)).await,
                path::COMPARE_AND_SWAP => call(req, |m| compare_and_swap(platform, m)).await,
                path::DELETE => call(req, |m| delete(platform, m)).await,
                path::GRANT => call(req, |m| grant(platform, m)).await,
                path::RENEW => call(req, |m| renew(platform, m)).await,
                path::WATCH => call(req, |m| watch(platform, m)).await,
                path::MEMBERS => call(req, |m| members(platform, m)).await,
                path::ANNOUNCE => call(req, |m| announce(platform, m)).await,
                _ => Ok(text(StatusCode::NOT_FOUND, "no such call")),
            }
        }
        .boxed()
    }
}

async fn call<M, A, F, R>(req: Request<Incoming>, run: F) -> Answered
where
    M: DeserializeOwned,
    A: Serialize,
    F: FnOnce(M) -> R,
    R: Future<Output = platform::Result<A>>,
{
    let message = match read_json(req).await {
        Ok(message) => message,
        Err(refusal) => return Ok(refusal),
    };
    match run(message).await {
        Ok(answer) => Ok(json(&answer)),
        Err(Error::ResponseLost { .. }) => Err(Hangup),
        Err(e) => Ok(text(StatusCode::SERVICE_UNAVAILABLE, &e.to_string())),
    }
}

async fn get(platform: Platform, message: GetRequest) -> platform::Result<GetResponse> {
    let held = platform.get(&message.key).await?;
    Ok(GetResponse {
        held: held.as_ref().map(VersionedValue::from),
    })
}

async fn list(platform: Platform, message: ListRequest) -> platform::Result<ListResponse> {
    let held = platform.list(&message.prefix).await?;
    let entries = held.into_iter().map(|(key, versioned)| Entry {
        key,
        held: VersionedValue::from(&versioned),
    });
    Ok(ListResponse {
        entries: entries.collect(),
    })
}

async fn compare_and_swap(
    platform: Platform,
    message: CompareAndSwapRequest,
) -> platform::Result<SwapResponse> {
    let value = Bytes::try_from(message.value).map_err(|reason| Error::InvalidResponse {
        step: "compare_and_swap",
        peer: "caller".to_owned(),
        reason,
    })?;
    let lease = message.lease.map(LeaseId);
    let swap = platform
        .compare_and_swap(&message.key, message.expected, value, lease)
        .await?;
    Ok(SwapResponse::from(&swap))
}

async fn delete(platform: Platform, message: DeleteRequest) -> platform::Result<SwapResponse> {
    let swap = platform.delete(&message.key, message.expected).await?;
    Ok(SwapResponse::from(&swap))
}

async fn grant(platform: Platform, message: GrantRequest) -> platform::Result<GrantResponse> {
    let lease = platform.grant(message.ttl_ms).await?;
    Ok(GrantResponse { lease: lease.0 })
}

async fn renew(platform: Platform, message: RenewRequest) -> platform::Result<RenewResponse> {
    let renewed = platform.renew(LeaseId(message.lease)).await?;
    Ok(RenewResponse { renewed })
}

async fn watch(platform: Platform, message: WatchRequest) -> platform::Result<WatchResponse> {
    let change = platform
        .watch(&message.key, message.seen, message.wait_ms)
        .await?;
    Ok(WatchResponse::from(&change))
}

async fn members(platform: Platform, message: MembersRequest) -> platform::Result<MembersResponse> {
    let members = platform.members(message.seen, message.wait_ms).await?;
    Ok(MembersResponse::from(members))
}

async fn announce(platform: Platform, message: MemberRecord) -> platform::Result<EmptyResponse> {
    platform.announce(message.into()).await?;
    Ok(EmptyResponse {})
}
