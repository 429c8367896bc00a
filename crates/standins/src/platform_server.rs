//! HTTP server of the platform stand-in.

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
use crate::http_server::Disconnect;
use crate::http_server::Handler;
use crate::http_server::HttpServer;
use crate::json_body::json_response;
use crate::json_body::read_json;
use crate::json_body::text_response;
use crate::Platform;

/// Serves a [`Platform`] over HTTP.
#[derive(Debug)]
pub struct PlatformServer {
    server: HttpServer,
}

impl PlatformServer {
    /// Starts a server for `platform` on `address`; port 0 selects any free port.
    pub async fn start(address: SocketAddr, platform: Platform) -> io::Result<PlatformServer> {
        let handler = PlatformHandler { platform };
        let server = HttpServer::start(address, handler).await?;
        Ok(PlatformServer { server })
    }

    /// Returns the address that the server listens on.
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

type HandlerResult = Result<Response<Body>, Disconnect>;

impl Handler for PlatformHandler {
    fn handle(&self, req: Request<Incoming>) -> BoxFuture<'static, HandlerResult> {
        let platform = self.platform.clone();
        let request_path = req.uri().path().to_owned();
        async move {
            match request_path.as_str() {
                path::GET => handle_json(req, |m| get(platform, m)).await,
                path::LIST => handle_json(req, |m| list(platform, m)).await,
                path::COMPARE_AND_SWAP => handle_json(req, |m| compare_and_swap(platform, m)).await,
                path::DELETE => handle_json(req, |m| delete(platform, m)).await,
                path::GRANT => handle_json(req, |m| grant(platform, m)).await,
                path::RENEW => handle_json(req, |m| renew(platform, m)).await,
                path::WATCH => handle_json(req, |m| watch(platform, m)).await,
                path::MEMBERS => handle_json(req, |m| members(platform, m)).await,
                path::ANNOUNCE => handle_json(req, |m| announce(platform, m)).await,
                _ => Ok(text_response(StatusCode::NOT_FOUND, "unknown path")),
            }
        }
        .boxed()
    }
}

/// Parses the JSON body, passes it to `handler` and returns its result as JSON.
///
/// A lost response closes the connection; any other error gives status 503.
async fn handle_json<M, A, F, R>(req: Request<Incoming>, handler: F) -> HandlerResult
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
    match handler(message).await {
        Ok(response) => Ok(json_response(&response)),
        Err(Error::ResponseLost { .. }) => Err(Disconnect),
        Err(e) => Ok(text_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &e.to_string(),
        )),
    }
}

async fn get(platform: Platform, message: GetRequest) -> platform::Result<GetResponse> {
    let versioned = platform.get(&message.key).await?;
    Ok(GetResponse {
        held: versioned.as_ref().map(VersionedValue::from),
    })
}

async fn list(platform: Platform, message: ListRequest) -> platform::Result<ListResponse> {
    let stored = platform.list(&message.prefix).await?;
    let entries = stored.into_iter().map(|(key, versioned)| Entry {
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
