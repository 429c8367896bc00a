//! Watches of engines' load and caches.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use backend::CacheEvent;
use backend::CacheEvents;
use backend::Engine;
use backend::Load;
use policy::BlockKey;
use policy::CacheChange;
use policy::CacheReport;
use policy::Event;
use policy::HeldWeights;
use policy::Incarnation;
use policy::LoadReport;
use tokio::time::sleep;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

use crate::clock;
use crate::jitter;
use crate::NodeHandle;
use crate::Tasks;

/// Mean time between two load reports of an engine, in milliseconds.
const LOAD_EVERY_MS: u64 = 500;

/// Time after which a load report is given up.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an engine holds a request for cache events, in milliseconds.
const CACHE_WAIT_MS: u64 = 10_000;

/// Time after which a request for cache events is given up.
const CACHE_TIMEOUT: Duration = Duration::from_secs(15);

/// Least time between two requests for cache events, so that events come in batches.
const CACHE_PAUSE: Duration = Duration::from_millis(100);

/// An engine that is watched.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WatchedEngine {
    /// Name of the backend server.
    pub name: String,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Watches of engines' load and caches, one for each engine.
pub struct EngineWatches {
    engine: Arc<dyn Engine>,
    running: HashMap<WatchedEngine, DropGuard>,
}

impl EngineWatches {
    /// Creates watches of no engine.
    pub fn new(engine: Arc<dyn Engine>) -> EngineWatches {
        EngineWatches {
            engine,
            running: HashMap::new(),
        }
    }

    /// Watches these engines and no others.
    pub fn set(&mut self, engines: Vec<WatchedEngine>, node: &NodeHandle, tasks: &Tasks) {
        self.running.retain(|watched, _| engines.contains(watched));
        for watched in engines {
            if !self.running.contains_key(&watched) {
                let guard = self.start(watched.clone(), node, tasks);
                self.running.insert(watched, guard);
            }
        }
    }

    fn start(&self, watched: WatchedEngine, node: &NodeHandle, tasks: &Tasks) -> DropGuard {
        let stop = CancellationToken::new();
        let watch = EngineWatch {
            watched,
            engine: Arc::clone(&self.engine),
            node: node.clone(),
        };
        let stopped = stop.clone();
        tasks.spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = watch.follow_load() => {}
                () = watch.follow_cache() => {}
            }
        });
        stop.drop_guard()
    }
}

struct EngineWatch {
    watched: WatchedEngine,
    engine: Arc<dyn Engine>,
    node: NodeHandle,
}

impl EngineWatch {
    async fn follow_load(&self) {
        loop {
            let at = clock::now();
            let load = self.engine.load(self.watched.address);
            if let Ok(Ok(load)) = timeout(LOAD_TIMEOUT, load).await {
                let report = self.load_report(at, load);
                self.node.event(Event::Load(report));
            }
            sleep(jitter::around(LOAD_EVERY_MS)).await;
        }
    }

    async fn follow_cache(&self) {
        let mut incarnation = 0;
        let mut sequence = 0;
        loop {
            let events = self.engine.cache_events(
                self.watched.address,
                incarnation,
                sequence,
                CACHE_WAIT_MS,
            );
            match timeout(CACHE_TIMEOUT, events).await {
                Ok(Ok(events)) => {
                    incarnation = events.incarnation;
                    sequence = next_sequence(&events);
                    self.hand_in(events);
                    sleep(CACHE_PAUSE).await;
                }
                _ => sleep(jitter::around(LOAD_EVERY_MS)).await,
            }
        }
    }

    fn load_report(&self, at: policy::Time, load: Load) -> LoadReport {
        LoadReport {
            server: self.watched.name.clone(),
            incarnation: Incarnation(load.incarnation),
            at,
            queued_tokens: load.queued_tokens,
            running: load.running,
            leaving: load.leaving,
            weights: load.weights.map(|all| all.into_iter().map(held).collect()),
        }
    }

    fn hand_in(&self, events: CacheEvents) {
        if events.events.is_empty() {
            return;
        }
        self.node.event(Event::Cache(CacheReport {
            server: self.watched.name.clone(),
            incarnation: Incarnation(events.incarnation),
            first_sequence: events.first_sequence,
            changes: events.events.into_iter().map(change).collect(),
        }));
    }
}

fn held(held: backend::HeldWeights) -> HeldWeights {
    HeldWeights {
        model: held.model,
        version: held.version,
    }
}

fn next_sequence(events: &CacheEvents) -> u64 {
    let count = u64::try_from(events.events.len()).unwrap_or(u64::MAX);
    events.first_sequence.saturating_add(count)
}

fn change(event: CacheEvent) -> CacheChange {
    match event {
        CacheEvent::Stored(piece) => CacheChange::Stored(BlockKey(piece)),
        CacheEvent::Evicted(piece) => CacheChange::Evicted(BlockKey(piece)),
    }
}
