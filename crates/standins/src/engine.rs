//! The engine stand-in.

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

/// Time between two tries to take the port again, in milliseconds.
const REBIND_MS: u64 = 5;

/// A model engine that computes nothing but takes the time for it.
///
/// It is stopped when dropped.
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
    crash: UnboundedSender<u64>,
    running: Mutex<Option<RunningEngine>>,
}

/// What a crash ends.
#[derive(Debug)]
struct RunningEngine {
    server: HttpServer,
    engine: Arc<EngineIncarnation>,
    _workers: JoinSet<()>,
}

impl Engine {
    /// Starts an engine on `address`, where port 0 takes any free port.
    pub async fn start(address: SocketAddr, settings: EngineSettings) -> io::Result<Engine> {
        Engine::start_with(address, settings, WeightStore::new(0, 1)).await
    }

    /// Starts an engine that loads its weights from `weight_store`.
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

    /// Returns the address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.shared.address
    }

    /// Returns its incarnation, the next one while it is down.
    pub fn incarnation(&self) -> u64 {
        self.shared.incarnation.load(Ordering::Relaxed)
    }

    /// Kills it: all connections break, its cache and its streams are gone.
    pub async fn kill(&self) {
        self.shared.kill().await;
    }

    /// Starts it again after a kill, empty and under a higher incarnation.
    pub async fn restart(&self) {
        self.shared.restart().await;
    }

    /// Makes it leave: it finishes what it has and takes nothing new.
    pub fn leave(&self) {
        if let Some(engine) = self.shared.current() {
            engine.leave();
        }
    }

    /// Makes all streams wait before the token at `position`, through all incarnations.
    pub fn hold_at(&self, position: u32) {
        *lock(&self.shared.durable.hold_at) = Some(position);
    }

    /// Lets streams that wait go on.
    pub fn release(&self) {
        *lock(&self.shared.durable.hold_at) = None;
    }

    /// Returns its load, none while it is down.
    pub fn load(&self) -> Option<Load> {
        self.shared.current().map(|engine| engine.load())
    }

    /// Returns what it really did, through all incarnations.
    pub fn ledger(&self) -> Vec<EngineRecord> {
        lock(&self.shared.durable.ledger).clone()
    }

    /// Keeps it on the membership list while it is up.
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

/// Incarnation of the first start.
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
