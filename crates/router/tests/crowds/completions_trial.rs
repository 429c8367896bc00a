//! A process of the program without `forward`, with lowered limits, before stand-ins of the platform, an
//! engine and a plain service, and a crowd of callers.

use std::collections::BTreeMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use config::sha256_hex;
use platform::HttpMembershipList;
use serde_json::json;
use serde_json::Value;
use standins::publish;
use standins::token_of;
use standins::Announcer;
use standins::Engine;
use standins::EngineSettings;
use standins::Platform;
use standins::PlatformServer;
use standins::Service;
use standins::ServiceSettings;
use standins::WeightStore;
use standins::MODEL;
use standins::SERVICE;
use standins::WORKSPACES;
use tempfile::TempDir;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::runtime::Runtime;
use tokio::task::spawn_local;
use tokio::task::JoinHandle;
use tokio::time::sleep;

use crate::common::free_address;
use crate::common::http_message;
use crate::router_process::RouterProcess;
use crate::trial::check_router;
use crate::trial::MEMORY_MB;
use crate::trial::STOP_S;

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 4_000_000;

/// Size of a response of the plain service, in bytes.
const SERVICE_RESPONSE_BYTES: usize = 3_000_000;

/// Last bytes of it.
pub const SERVICE_RESPONSE_END: &[u8] = b"x.";

/// A router process, what it needs, and the tasks of the callers of a crowd.
pub struct CompletionsTrial {
    pub router: RouterProcess,
    callers: Vec<JoinHandle<()>>,
    /// Runs the stand-ins on threads of its own.
    runtime: Option<Runtime>,
    _standins: Standins,
    _dir: TempDir,
}

struct Standins {
    platform: PlatformServer,
    _engine: Engine,
    _announcers: Vec<Announcer>,
}

impl CompletionsTrial {
    /// Starts a router with the bounds of these tests, and waits until it serves.
    pub async fn start() -> CompletionsTrial {
        let runtime = Runtime::new().unwrap();
        let service = start_large_service().await;
        let standins = runtime.spawn(Standins::start(service)).await.unwrap();
        let dir = TempDir::new().unwrap();
        let settings = settings(standins.platform.address());
        let router = RouterProcess::start_without_forward(&dir, &settings);
        while ordinary_request(router.address).await != 200 {
            sleep(Duration::from_millis(50)).await;
        }
        CompletionsTrial {
            router,
            callers: Vec::new(),
            runtime: Some(runtime),
            _standins: standins,
            _dir: dir,
        }
    }

    /// Adds `count` callers, each of which does what `act` says.
    pub fn add_callers<F, A>(&mut self, count: usize, act: F)
    where
        F: Fn() -> A,
        A: Future<Output = ()> + 'static,
    {
        self.callers.extend((0..count).map(|_| spawn_local(act())));
    }

    /// Watches the router with the crowd, and checks memory, one ordinary request and the end of the
    /// process.
    pub async fn check(self) {
        check_router(&self.router, usize::MAX, ordinary_request).await;
    }
}

impl Drop for CompletionsTrial {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

impl Standins {
    async fn start(service: SocketAddr) -> Standins {
        let local = SocketAddr::from(([127, 0, 0, 1], 0));
        let platform = Platform::new();
        let server = PlatformServer::start(local, platform.clone())
            .await
            .unwrap();
        let engine_settings = EngineSettings {
            decode_ms: 0,
            ..EngineSettings::default()
        };
        let engine = Engine::start_with(local, engine_settings, WeightStore::new(0, 1));
        let engine = engine.await.unwrap();
        // The membership list names the service; its requests go to the address of the configuration.
        let listed = Service::start(local, ServiceSettings::default())
            .await
            .unwrap();
        let membership = Arc::new(HttpMembershipList::new(server.address()));
        let announcers = vec![
            engine.announce(membership.clone()),
            listed.announce(membership),
        ];
        let files = BTreeMap::from([(
            "all.json".to_owned(),
            configuration(engine.address(), service).to_string(),
        )]);
        publish(&platform, &files).await.unwrap();
        Standins {
            platform: server,
            _engine: engine,
            _announcers: announcers,
        }
    }
}

/// Starts a service that responds to each request with a large body, and returns its address.
async fn start_large_service() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    spawn_local(async move {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SERVICE_RESPONSE_BYTES}\r\n\r\n");
        let response = Arc::new(head + &"x".repeat(SERVICE_RESPONSE_BYTES - 1) + ".");
        while let Ok((mut stream, _)) = listener.accept().await {
            let response = Arc::clone(&response);
            spawn_local(async move {
                while http_message::read(&mut stream).await.is_some() {
                    // Fails if the router has closed the connection.
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            });
        }
    });
    address
}

fn configuration(engine: SocketAddr, service: SocketAddr) -> Value {
    let workspaces: BTreeMap<_, _> = WORKSPACES
        .iter()
        .map(|name| {
            (
                name,
                json!({ "token_sha256": sha256_hex(token_of(name).as_bytes()) }),
            )
        })
        .collect();
    json!({
        "workspaces": workspaces,
        "models": { MODEL: { "weights_version": 1 } },
        "priorities": { "counter": { "rank": 1, "default_deadline_ms": 60_000 } },
        "backend_servers": { "engine-1": {
            "address": engine, "region": "west", "failure_domain": "west-1", "models": [MODEL],
        } },
        "services": { SERVICE: {
            "replicas": { "service-1": service },
            "calls": [{ "method": "GET", "path_prefix": "/", "idempotent": true }],
        } },
        "limits": { "body_bytes": MAX_BODY_BYTES },
    })
}

fn settings(platform: SocketAddr) -> Value {
    json!({
        "vm": "router-1", "region": "west", "failure_domain": "west-1",
        "listen": free_address(), "peer_listen": free_address(),
        "key_value": platform, "membership": platform,
        "peer_secret": "a secret of all routers", "event_secret": "a secret of all streams",
        "limits": {
            "memory_mb": MEMORY_MB, "shutdown_notice_ms": 0, "shutdown_ms": STOP_S * 1_000,
        },
    })
}

/// Returns a workspace's request for a completion of `max_tokens` tokens.
pub fn completion(workspace: &str, max_tokens: u32, stream: bool) -> String {
    let body = json!({
        "model": MODEL, "prompt": "Which felt suits a wide brim?", "max_tokens": max_tokens,
        "stream": stream,
    });
    let body = body.to_string();
    format!(
        "{}{body}",
        head(workspace, "POST", "/v1/completions", body.len())
    )
}

/// Returns the head of a workspace's request with a body of `body_len` bytes.
pub fn head(workspace: &str, method: &str, path: &str, body_len: usize) -> String {
    let token = token_of(workspace);
    format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer {token}\r\n\
         Content-Length: {body_len}\r\n\r\n"
    )
}

/// Returns the status of the answer to a short completion of a workspace without a crowd; 0 if there was
/// none.
async fn ordinary_request(address: SocketAddr) -> u16 {
    let Ok(mut stream) = TcpStream::connect(address).await else {
        return 0;
    };
    let mut buf = [0; 1_024];
    // Fails if the router has closed the connection, which the read shows too.
    let _ = stream
        .write_all(completion(WORKSPACES[1], 4, false).as_bytes())
        .await;
    let len = stream.read(&mut buf).await.unwrap_or(0);
    let text = String::from_utf8_lossy(&buf[..len]).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    status.unwrap_or(0)
}
