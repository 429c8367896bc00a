//! Platform, engines, service and routers on loopback in one process.

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

/// Delay before the next attempt to bind the port of a restarted server, in milliseconds.
const REBIND_MS: u64 = 5;

/// A platform, engines, a plain service and routers that communicate over loopback sockets.
///
/// Dropping it stops everything that still runs.
pub struct Fleet {
    /// State of the platform, which survives a restart of its server.
    pub platform: Platform,
    /// HTTP server of the platform; `None` while it is stopped.
    pub platform_server: Option<PlatformServer>,
    /// Engines, in the order of the settings.
    pub engines: Vec<Engine>,
    /// The plain service.
    pub service: Service,
    /// Store from which engines load weights.
    pub weight_store: WeightStore,
    settings: FleetSettings,
    version: u64,
    routers: Vec<Option<Router>>,
    _announcers: Vec<Announcer>,
}

impl Fleet {
    /// Starts all components and waits until each router has applied the configuration.
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

    /// Starts another router and returns its index.
    pub async fn start_router(&mut self) -> io::Result<usize> {
        let number = self.routers.len();
        let router = Router::start(self.router_settings(number), self.external_services())
            .await
            .map_err(io::Error::other)?;
        router.wait_for_config(self.version).await;
        self.routers.push(Some(router));
        Ok(number)
    }

    /// Returns a client with the token of the first workspace; panics if the router was taken.
    pub fn caller(&self, router: usize) -> Caller {
        let address = self.router(router).address();
        Caller::new(address, &token_of(WORKSPACES[0]))
    }

    /// Returns a router; panics if it was taken.
    pub fn router(&self, router: usize) -> &Router {
        self.routers[router]
            .as_ref()
            .expect("the router is running")
    }

    /// Removes a router and returns it, to be killed or shut down.
    pub fn take_router(&mut self, router: usize) -> Router {
        self.routers[router].take().expect("the router is running")
    }

    /// Returns the number of prompts of which at least one block was in an engine's cache.
    pub fn cache_hits(&self) -> usize {
        let is_hit = |record: &EngineRecord| match record {
            EngineRecord::Ran { cached_tokens, .. } => *cached_tokens > 0,
            _ => false,
        };
        let ledgers = self.engines.iter().flat_map(Engine::ledger);
        ledgers.filter(is_hit).count()
    }

    /// Stops the platform's server, which makes the platform unreachable, and returns its address.
    pub async fn stop_platform(&mut self) -> SocketAddr {
        let server = self
            .platform_server
            .take()
            .expect("the platform is running");
        let address = server.address();
        server.stop().await;
        address
    }

    /// Restarts the platform's server with the state that it had.
    pub async fn start_platform(&mut self, address: SocketAddr) {
        let server = loop {
            match PlatformServer::start(address, self.platform.clone()).await {
                Ok(server) => break server,
                Err(_) => sleep(Duration::from_millis(REBIND_MS)).await,
            }
        };
        self.platform_server = Some(server);
    }

    /// Publishes a configuration with another version of the weights and returns the version of
    /// the configuration.
    pub async fn publish_weights(&mut self, weights_version: u64) -> platform::Result<u64> {
        self.settings.weights_version = weights_version;
        let addresses: Vec<SocketAddr> = self.engines.iter().map(Engine::address).collect();
        let files = files(&self.settings, &addresses, self.service.address());
        self.version = publish(&self.platform, &files).await?;
        Ok(self.version)
    }

    fn router_settings(&self, number: usize) -> Settings {
        let platform = self
            .platform_server
            .as_ref()
            .expect("the platform is running");
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

    fn external_services(&self) -> ExternalServices {
        let platform = self
            .platform_server
            .as_ref()
            .expect("the platform is running");
        ExternalServices {
            key_value: Arc::new(HttpKeyValue::new(platform.address())),
            membership: Arc::new(HttpMembershipList::new(platform.address())),
            engine: Arc::new(HttpEngine::new()),
            service: Arc::new(HttpPlainService::new()),
        }
    }
}

/// Shared secret of the routers.
const SECRET: &[u8] = b"secret of a fleet on loopback";

/// Returns a loopback address with port 0, which selects any free port.
fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Returns the wall-clock time `wait` from now.
pub fn time_after(wait: Duration) -> Time {
    let at = SystemTime::now() + wait;
    let since_epoch = at.duration_since(UNIX_EPOCH).unwrap_or_default();
    Time::from_millis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
