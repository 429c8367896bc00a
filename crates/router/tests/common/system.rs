//! Routers with all that they reach.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use config::sha256_hex;
use config::FileEntry;
use config::Manifest;
use config::FILE_PREFIX;
use config::HEAD_KEY;
use router::ExternalServices;
use router::Limits;
use router::Router;
use router::Settings;
use serde_json::json;
use serde_json::Value;

use super::caller::TOKEN;
use super::fake_engine::FakeEngines;
use super::fake_platform::FakePlatform;
use super::fake_service::FakeService;

/// Puts a system together.
pub struct SystemBuilder {
    engines: u16,
    routers: usize,
    limits: Limits,
    configured: bool,
    body_bytes: u64,
}

/// Routers with all that they reach.
pub struct System {
    pub platform: Arc<FakePlatform>,
    pub engines: Arc<FakeEngines>,
    pub service: Arc<FakeService>,
    pub routers: Vec<Router>,
    limits: Limits,
    config: Value,
}

pub fn a_system() -> SystemBuilder {
    SystemBuilder {
        engines: 1,
        routers: 1,
        limits: Limits {
            shutdown_notice_ms: 0,
            ..Limits::default()
        },
        configured: true,
        body_bytes: 4 << 20,
    }
}

impl SystemBuilder {
    pub fn with_engines(mut self, engines: u16) -> SystemBuilder {
        self.engines = engines;
        self
    }

    pub fn with_routers(mut self, routers: usize) -> SystemBuilder {
        self.routers = routers;
        self
    }

    pub fn with_limits(mut self, limits: Limits) -> SystemBuilder {
        self.limits = limits;
        self
    }

    pub fn with_body_limit(mut self, bytes: u64) -> SystemBuilder {
        self.body_bytes = bytes;
        self
    }

    pub fn without_configuration(mut self) -> SystemBuilder {
        self.configured = false;
        self
    }

    pub async fn start(self) -> System {
        let mut system = System {
            platform: Arc::new(FakePlatform::new()),
            engines: Arc::new(FakeEngines::new()),
            service: Arc::new(FakeService::new()),
            routers: Vec::new(),
            limits: self.limits,
            config: config(self.engines, self.body_bytes),
        };
        for number in 0..self.engines {
            system.engines.add(engine_address(number));
        }
        if self.configured {
            system.apply(1);
        }
        for _ in 0..self.routers {
            system.add_router().await;
        }
        if self.configured {
            for router in &system.routers {
                router.wait_for_config(1).await;
            }
        }
        system
    }
}

impl System {
    /// Puts a version of the configuration on the platform.
    pub fn apply(&self, version: u64) {
        let content = self.config.to_string();
        let sha256 = sha256_hex(content.as_bytes());
        let key = format!("{FILE_PREFIX}{sha256}");
        self.platform.put(&key, content.into_bytes());
        let entry = FileEntry {
            sha256,
            version,
            author: "test".to_owned(),
        };
        let manifest = Manifest {
            version,
            author: "test".to_owned(),
            files: BTreeMap::from([("all.json".to_owned(), entry)]),
            ..Manifest::default()
        };
        let head = serde_json::to_vec(&manifest).unwrap();
        self.platform.put(HEAD_KEY, head);
    }

    /// Starts one more router and returns its address.
    pub async fn add_router(&mut self) -> SocketAddr {
        let vm = format!("vm{}", self.routers.len());
        self.start_router(&vm).await
    }

    /// Starts a router on this VM and returns its address.
    pub async fn start_router(&mut self, vm: &str) -> SocketAddr {
        let settings = settings(vm, self.limits);
        let router = Router::start(settings, self.outside()).await.unwrap();
        let address = router.address();
        self.routers.push(router);
        address
    }

    /// Kills a router and starts it again on the same ports.
    pub async fn restart_router(&mut self, number: usize) {
        let router = self.routers.remove(number);
        let mut settings = settings(&format!("vm{number}"), self.limits);
        settings.listen = router.address();
        settings.peer_listen = router.peer_address();
        router.kill().await;
        let router = Router::start(settings, self.outside()).await.unwrap();
        self.routers.insert(number, router);
    }

    fn outside(&self) -> ExternalServices {
        ExternalServices {
            key_value: self.platform.clone(),
            membership: self.platform.clone(),
            engine: self.engines.clone(),
            service: self.service.clone(),
        }
    }

    pub fn address(&self, router: usize) -> SocketAddr {
        self.routers[router].address()
    }
}

pub fn settings(vm: &str, limits: Limits) -> Settings {
    Settings {
        vm: vm.to_owned(),
        region: "west".to_owned(),
        failure_domain: "west-1".to_owned(),
        listen: local(0),
        peer_listen: local(0),
        key_value: local(0),
        membership: local(0),
        peer_secret: b"a secret of all routers".to_vec(),
        event_secret: b"a secret of all streams".to_vec(),
        limits,
        log: "off".to_owned(),
    }
}

pub fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn engine_address(number: u16) -> SocketAddr {
    local(10_000 + number)
}

fn config(engines: u16, body_bytes: u64) -> Value {
    let engines: BTreeMap<String, Value> = (0..engines)
        .map(|number| {
            let engine = json!({
                "address": engine_address(number),
                "region": "west",
                "failure_domain": "west-1",
                "models": ["m"],
            });
            (format!("e{number}"), engine)
        })
        .collect();
    json!({
        "workspaces": {"w": {"token_sha256": sha256_hex(TOKEN.as_bytes())}},
        "models": {"m": {"weights_version": 1}},
        "priorities": {"high": {"rank": 9, "default_deadline_ms": 60_000}},
        "backend_servers": engines,
        "services": {"booking": {
            "replicas": {"b1": local(9_000)},
            "calls": [
                {"method": "POST", "path_prefix": "/book", "idempotent": false},
                {"method": "GET", "path_prefix": "/stock", "idempotent": true},
            ],
        }},
        "limits": {"body_bytes": body_bytes},
    })
}
