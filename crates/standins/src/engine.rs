//! Stand-in for a model engine, with crashes and restarts.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use backend::HttpEngine;
use backend::Load;
use platform::Member;
use platform::MembershipList;
use platform::Role;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinHandle;
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::engine_handler::EngineHandler;
use crate::engine_incarnation::DurableState;
use crate::engine_incarnation::EngineIncarnation;
use crate::engine_worker;
use crate::http_server::HttpServer;
use crate::Announcer;
use crate::EngineRecord;
use crate::EngineSettings;
use crate::WeightStore;

/// Delay before the next attempt to bind the port after a restart, in milliseconds.
const REBIND_MS: u64 = 5;

/// A model engine that simulates prefill and decode times without computing anything.
///
/// Dropping it stops it.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    crashes: JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    settings: Arc<EngineSettings>,
    address: SocketAddr,
    incarnation: AtomicU64,
    durable: Arc<DurableState>,
    weight_store: WeightStore,
    /// Passes the incarnation that a prompt crashed to `handle_crashes`.
    crash: UnboundedSender<u64>,
    /// The current incarnation; `None` while the engine is down.
    running: Mutex<Option<RunningEngine>>,
}

/// Server and workers of one incarnation; a crash drops them.
#[derive(Debug)]
struct RunningEngine {
    server: HttpServer,
    engine: Arc<EngineIncarnation>,
    _workers: JoinSet<()>,
}

impl Engine {
    /// Starts an engine on `address`; port 0 selects any free port.
    pub async fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<Engine> {
        Engine::start_with(address, settings, WeightStore::new(0, 1)).await
    }

    /// Starts an engine on `address` that loads its weights from `weight_store`.
    pub async fn start_with(
        address: SocketAddr,
        settings: EngineSettings,
        weight_store: WeightStore,
    ) -> io::Result<Engine> {
        let settings = Arc::new(settings);
        let durable = Arc::new(DurableState::default());
        let (crash, crashes) = mpsc::unbounded_channel();
        let engine = EngineIncarnation::new(
            Arc::clone(&settings),
            FIRST_INCARNATION,
            Arc::clone(&durable),
            weight_store.clone(),
        );
        let running = start_incarnation(address, engine, crash.clone()).await?;
        let shared = Arc::new(Shared {
            settings,
            address: running.server.address(),
            incarnation: AtomicU64::new(FIRST_INCARNATION),
            durable,
            weight_store,
            crash,
            running: Mutex::new(Some(running)),
        });
        let crashes = tokio::spawn(handle_crashes(Arc::clone(&shared), crashes));
        Ok(Engine { shared, crashes })
    }

    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns the engine's incarnation; while it is down, that of the next start.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation.load(Ordering::Relaxed)
    }

    /// Simulates a crash: breaks all connections and loses the cache and all streams.
    pub async fn kill(&self) {
        self.shared.kill().await;
    }

    /// Restarts the engine after a crash with an empty cache and a higher incarnation.
    pub async fn restart(&self) {
        self.shared.restart().await;
    }

    /// Starts a graceful shutdown: running work is finished and new requests are refused.
    pub fn leave(&self) {
        if let Some(engine) = self.shared.current() {
            engine.leave();
        }
    }

    /// Pauses every stream before the token at `position`, also after restarts.
    pub fn hold_at(&self, position: u32) {
        *lock(&self.shared.durable.hold_at) = Some(position);
    }

    /// Resumes the streams that [`Engine::hold_at`] paused.
    pub fn release(&self) {
        *lock(&self.shared.durable.hold_at) = None;
    }

    /// Returns the engine's load, or `None` while it is down.
    pub fn load(&self) -> Option<Load> {
        self.shared.current().map(|engine| engine.load())
    }

    /// Returns the records of everything that the engine did, in all incarnations.
    pub fn ledger(&self) -> Vec<EngineRecord> {
        lock(&self.shared.durable.ledger).clone()
    }

    /// Announces the engine to a membership list while it is up, until the result is dropped.
    pub fn announce(&self, list: Arc<dyn MembershipList>) -> Announcer {
        let shared = Arc::downgrade(&self.shared);
        Announcer::start(list, move || shared.upgrade()?.member())
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.crashes.abort();
        lock(&self.shared.running).take();
    }
}

/// Incarnation after the first start.
const FIRST_INCARNATION: u64 = 1;

impl Shared {
    async fn kill(&self) {
        let running = lock(&self.running).take();
        if let Some(running) = running {
            self.incarnation.fetch_add(1, Ordering::Relaxed);
            running.server.stop().await;
        }
    }

    async fn restart(&self) {
        while lock(&self.running).is_none() {
            let engine = EngineIncarnation::new(
                Arc::clone(&self.settings),
                self.incarnation.load(Ordering::Relaxed),
                Arc::clone(&self.durable),
                self.weight_store.clone(),
            );
            match start_incarnation(self.address, engine, self.crash.clone()).await {
                Ok(running) => *lock(&self.running) = Some(running),
                Err(_) => sleep(Duration::from_millis(REBIND_MS)).await,
            }
        }
    }

    /// Returns the current incarnation, or `None` while the engine is down.
    fn current(&self) -> Option<Arc<EngineIncarnation>> {
        lock(&self.running)
            .as_ref()
            .map(|running| Arc::clone(&running.engine))
    }

    fn member(&self) -> Option<Member> {
        let load = self.current()?.load();
        Some(Member {
            name: self.settings.name.clone(),
            role: Role::BackendServer,
            address: self.address,
            region: self.settings.region.clone(),
            failure_domain: self.settings.failure_domain.clone(),
            incarnation: load.incarnation,
            leaving: load.leaving,
        })
    }
}

async fn start_incarnation(
    address: SocketAddr,
    engine: EngineIncarnation,
    crash: UnboundedSender<u64>,
) -> io::Result<RunningEngine> {
    let engine = Arc::new(engine);
    let handler = EngineHandler {
        engine: Arc::clone(&engine),
    };
    let server = HttpServer::start(address, handler).await?;
    let mut workers = JoinSet::new();
    workers.spawn(engine_worker::prefill(
        Arc::clone(&engine),
        HttpEngine::new(),
        crash,
    ));
    workers.spawn(engine_worker::decode(Arc::clone(&engine)));
    Ok(RunningEngine {
        server,
        engine,
        _workers: workers,
    })
}

/// Stops the engine when a prompt crashes it, and restarts it if the settings say so.
///
/// A message about an earlier incarnation is ignored.
async fn handle_crashes(shared: Arc<Shared>, mut crashes: UnboundedReceiver<u64>) {
    while let Some(incarnation) = crashes.recv().await {
        if incarnation != shared.incarnation.load(Ordering::Relaxed) {
            continue;
        }
        shared.kill().await;
        if let Some(ms) = shared.settings.restart_ms {
            sleep(Duration::from_millis(ms)).await;
            shared.restart().await;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
