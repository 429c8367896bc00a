//! The open connections of callers, of which idle ones are evicted for new ones.

use std::collections::HashMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gateway::ConnectionKey;
use gateway::Opening;
use gateway::PortUsage;
use gateway::Room;
use gateway::Stage;
use gateway::UsageLimits;
use tokio_util::sync::CancellationToken;

use crate::clock::now;

/// Time for which a connection is idle before it may be evicted for a new one, in milliseconds.
const MIN_IDLE_MS: u64 = 200;

/// The open connections of callers; clones share them.
#[derive(Clone)]
pub struct Connections(Arc<Mutex<State>>);

struct State {
    usage: PortUsage,
    /// Cancelled when a connection is to be closed.
    closers: HashMap<ConnectionKey, CancellationToken>,
}

impl Connections {
    /// Returns a set of up to `limit` connections.
    pub fn new(limit: usize) -> Connections {
        let limits = UsageLimits {
            buffer_bytes: u64::MAX,
            connection_bytes: u64::MAX,
            connections: limit as u64,
            descriptors: u64::MAX,
            min_idle_ms: MIN_IDLE_MS,
        };
        Connections(Arc::new(Mutex::new(State {
            usage: PortUsage::new(limits),
            closers: HashMap::new(),
        })))
    }

    /// Opens a connection if there is room for it, after evicting an idle one if needed.
    pub fn open(&self) -> Opening<Arc<OpenConnection>> {
        let mut state = self.state();
        match state.usage.connection_room(now()) {
            Room::Free => {}
            Room::Closing(key) => state.close(key),
            Room::At(at) => return Opening::At(at),
            Room::Full => return Opening::Full,
        }
        let key = state.usage.open(now());
        let closing = CancellationToken::new();
        state.closers.insert(key, closing.clone());
        Opening::Open(Arc::new(OpenConnection {
            connections: self.clone(),
            key,
            closing,
            body_ended: AtomicBool::new(false),
        }))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn close(&mut self, key: ConnectionKey) {
        if let Some(closing) = self.closers.get(&key) {
            closing.cancel();
        }
    }
}

/// An open connection; dropping it makes room for others.
pub struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    closing: CancellationToken,
    /// Whether the http library has all bytes of the present response.
    body_ended: AtomicBool,
}

impl OpenConnection {
    /// Completes when it is to be closed.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Records that a request is served from now on.
    pub fn begin_request(&self) {
        self.body_ended.store(false, Ordering::Relaxed);
        self.set_stage(Stage::Running);
    }

    /// Records that the http library has all bytes of the present response.
    pub fn end_body(&self) {
        self.body_ended.store(true, Ordering::Relaxed);
        self.set_stage(Stage::Flushing);
    }

    /// Records that the socket has taken all that the http library had.
    pub fn record_flushed(&self) {
        if self.body_ended.swap(false, Ordering::Relaxed) {
            self.set_stage(Stage::Idle);
        }
    }

    fn set_stage(&self, stage: Stage) {
        let mut state = self.connections.state();
        state.usage.set_stage(now(), self.key, stage);
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.usage.close(self.key);
        state.closers.remove(&self.key);
    }
}
