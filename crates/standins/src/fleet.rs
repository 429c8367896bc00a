//! A whole path on loopback, in one process.

use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use backend::HttpEngine;
use backend::HttpPlainService;
use platform::HttpKeyValue;
use platform::HttpMembershipList;
use policy::Time;
use router::ExternalServices;
use router::Limits;
use router::Router;
use router::Settings;
use tokio::time::sleep;

use crate::fleet_settings::files;
use crate::publish;
use crate::token_of;
use crate::Announcer;
use crate::Caller;
use crate::Engine;
use crate::EngineRecord;
use crate::FleetSettings;
use crate::Platform;
use crate::PlatformServer;
use crate::Service;
use crate::ServiceSettings;
use crate::WeightStore;
use crate::WORKSPACES;

/// Time between two tries to take a port again, in milliseconds.
const REBIND_MS: u64 = 5;

/// A platform, engines, a plain service and routers, all on loopback and
/// reached through sockets. What is left of it is stopped when dropped.
pub struct Fleet {
    /// Platform.
    pub platform: Platform,
    /// Server of the platform, none while it is stopped.
    pub platform_server: Option<PlatformServer>,
    /// Engines.
    pub engines: Vec<Engine>,
    /// Plain service.
    pub service: Service,
    /// Store from which engines load weights.
    pub weight_store: WeightStore,
    settings: FleetSettings,
    version: u64,
    routers: Vec<Option<Router>>,
    _announcers: Vec<Announcer>,
}

impl Fleet {
    /// Starts all parts and waits until the configuration is in force on each router.
    pub async fn start(settings: FleetSettings) -> io::Result<Fleet> {
        let platform = Platform::new();
        let server = PlatformServer::start(loopback(), platform.clone()).await?;
        let membership = Arc::new(HttpMembershipList::new(server.address()));
        let weight_store = WeightStore::new(settings.load_ms, settings.limits.loads_at_once);
        let mut engines = Vec::new();
        for engine in &settings.engines {
            let store = weight_store.clone();
            engines.push(Engine::start_with(loopback(), engine.clone(), store).await?);
        }
        let service = Service::start(loopback(), ServiceSettings::default()).await?;
        let mut announcers = vec![service.announce(membership.clone())];
        announcers.extend(engines.iter().map(|e| e.announce(membership.clone())));
        let addresses: Vec<SocketAddr> = engines.iter().map(Engine::address).collect();
        let files = files(&settings, &addresses, service.address());
        let version = publish(&platform, &files).await.map_err(io::Error::other)?;
        let routers = settings.routers;
        let mut fleet = Fleet {
            platform,
            platform_server: Some(server),
            engines,
            service,
            weight_store,
            settings,
            version,
            routers: Vec::new(),
            _announcers: announcers,
        };
        for _ in 0..routers {
            fleet.start_router().await?;
        }
        Ok(fleet)
    }

    /// Starts one more router and returns its number.
    pub async fn start_router(&mut self) -> io::Result<usize> {
        let number = self.routers.len();
        let router = Router::start(self.router_settings(number), self.outside())
            .await
            .map_err(io::Error::other)?;
        router.wait_for_config(self.version).await;
        self.routers.push(Some(router));
        Ok(number)
    }

    /// Returns a caller of the first workspace at a router that was not stopped.
    pub fn caller(&self, router: usize) -> Caller {
        let address = self.router(router).address();
        Caller::new(address, &token_of(WORKSPACES[0]))
    }

    /// Returns a router that was not stopped.
    pub fn router(&self, router: usize) -> &Router {
        self.routers[router].as_ref().expect("the router runs")
    }

    /// Takes a router out, to kill it or to shut it down.
    pub fn take_router(&mut self, router: usize) -> Router {
        self.routers[router].take().expect("the router runs")
    }

    /// Returns how many prompts found a part of them in an engine's cache.
    pub fn cache_hits(&self) -> usize {
        let is_hit = |record: &EngineRecord| match record {
            EngineRecord::Ran { cached_tokens, .. } => *cached_tokens > 0,
            _ => false,
        };
        let ledgers = self.engines.iter().flat_map(Engine::ledger);
        ledgers.filter(is_hit).count()
    }

    /// Stops the platform's server, so that nobody reaches it.
    pub async fn stop_platform(&mut self) -> SocketAddr {
        let server = self.platform_server.take().expect("the platform runs");
        let address = server.address();
        server.stop().await;
        address
    }

    /// Starts the platform's server again, with what it held.
    pub async fn start_platform(&mut self, address: SocketAddr) {
        let server = loop {
            match PlatformServer::start(address, self.platform.clone()).await {
                Ok(server) => break server,
                Err(_) => sleep(Duration::from_millis(REBIND_MS)).await,
            }
        };
        self.platform_server = Some(server);
    }

    /// Publishes a configuration that asks for other weights, and returns its version.
    pub async fn publish_weights(&mut self, weights_version: u64) -> platform::Result<u64> {
        self.settings.weights_version = weights_version;
        let addresses: Vec<SocketAddr> = self.engines.iter().map(Engine::address).collect();
        let files = files(&self.settings, &addresses, self.service.address());
        self.version = publish(&self.platform, &files).await?;
        Ok(self.version)
    }

    fn router_settings(&self, number: usize) -> Settings {
        let platform = self.platform_server.as_ref().expect("the platform runs");
        Settings {
            vm: format!("router-{}", number + 1),
            region: "west".to_owned(),
            failure_domain: "west-1".to_owned(),
            listen: loopback(),
            peer_listen: loopback(),
            key_value: platform.address(),
            membership: platform.address(),
            peer_secret: SECRET.to_vec(),
            event_secret: SECRET.to_vec(),
            limits: Limits {
                shutdown_notice_ms: self.settings.shutdown_notice_ms,
                ..Limits::default()
            },
            log: "warn".to_owned(),
        }
    }

    fn outside(&self) -> ExternalServices {
        let platform = self.platform_server.as_ref().expect("the platform runs");
        ExternalServices {
            key_value: Arc::new(HttpKeyValue::new(platform.address())),
            membership: Arc::new(HttpMembershipList::new(platform.address())),
            engine: Arc::new(HttpEngine::new()),
            service: Arc::new(HttpPlainService::new()),
        }
    }
}

/// Secret of the routers among themselves.
const SECRET: &[u8] = b"secret of a fleet on loopback";

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns the time that lies this far ahead.
pub fn time_after(wait: Duration) -> Time {
    let at = SystemTime::now() + wait;
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
