//! Polls engines for their load and for their cache events.

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

/// Mean time between two load polls of an engine, and before a failed request for cache events is
/// repeated, in milliseconds.
const LOAD_POLL_MS: u64 = 500;

/// Timeout of a load poll.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Time for which an engine holds a request for cache events while there are none, in milliseconds.
const CACHE_LONG_POLL_MS: u64 = 10_000;

/// Timeout of a request for cache events; longer than the time for which the engine holds it.
const CACHE_TIMEOUT: Duration = Duration::from_secs(15);

/// Minimum time between two requests for cache events, so that events arrive in batches.
const CACHE_POLL_PAUSE: Duration = Duration::from_millis(100);

/// An engine that is polled.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct WatchedEngine {
    /// Name of the backend server.
    pub name: String,
    /// Address of the engine.
    pub address: SocketAddr,
}

/// Polls a set of engines for their load and for their cache events, with one task per engine.
pub struct EngineWatches {
    engine: Arc<dyn Engine>,
    running: HashMap<WatchedEngine, DropGuard>,
}

impl EngineWatches {
    /// Creates an empty set, polled through the client `engine`.
    pub fn new(engine: Arc<dyn Engine>) -> EngineWatches {
        EngineWatches {
            engine,
            running: HashMap::new(),
        }
    }

    /// Replaces the set of polled engines: starts tasks for new ones and stops those of engines
    /// that are not in `engines`.
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
                () = watch.poll_load() => {}
                () = watch.poll_cache_events() => {}
            }
        });
        stop.drop_guard()
    }
}

/// Polls one engine and sends its reports to the node.
struct EngineWatch {
    watched: WatchedEngine,
    engine: Arc<dyn Engine>,
    node: NodeHandle,
}

impl EngineWatch {
    async fn poll_load(&self) {
        loop {
            let at = clock::now();
            let load = self.engine.load(self.watched.address);
            if let Ok(Ok(load)) = timeout(LOAD_TIMEOUT, load).await {
                let report = self.load_report(at, load);
                self.node.send_event(Event::Load(report));
            }
            sleep(jitter::around(LOAD_POLL_MS)).await;
        }
    }

    async fn poll_cache_events(&self) {
        let mut incarnation = 0;
        let mut sequence = 0;
        loop {
            let events = self.engine.cache_events(
                self.watched.address,
                incarnation,
                sequence,
                CACHE_LONG_POLL_MS,
            );
            match timeout(CACHE_TIMEOUT, events).await {
                Ok(Ok(events)) => {
                    incarnation = events.incarnation;
                    sequence = next_sequence(&events);
                    self.send_cache_report(events);
                    sleep(CACHE_POLL_PAUSE).await;
                }
                _ => sleep(jitter::around(LOAD_POLL_MS)).await,
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
            weights: load
                .weights
                .map(|all| all.into_iter().map(to_held_weights).collect()),
        }
    }

    fn send_cache_report(&self, events: CacheEvents) {
        if events.events.is_empty() {
            return;
        }
        self.node.send_event(Event::Cache(CacheReport {
            server: self.watched.name.clone(),
            incarnation: Incarnation(events.incarnation),
            first_sequence: events.first_sequence,
            changes: events.events.into_iter().map(to_cache_change).collect(),
        }));
    }
}

fn to_held_weights(held: backend::HeldWeights) -> HeldWeights {
    HeldWeights {
        model: held.model,
        version: held.version,
    }
}

fn next_sequence(events: &CacheEvents) -> u64 {
    let count = u64::try_from(events.events.len()).unwrap_or(u64::MAX);
    events.first_sequence.saturating_add(count)
}

fn to_cache_change(event: CacheEvent) -> CacheChange {
    match event {
        CacheEvent::Stored(block) => CacheChange::Stored(BlockKey(block)),
        CacheEvent::Evicted(block) => CacheChange::Evicted(BlockKey(block)),
    }
}
