//! The open connections of callers, and which of them is evicted when there is no room.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use gateway::CloseReason;
use gateway::ConnectionKey;
use gateway::HeldFor;
use gateway::Opening;
use gateway::PortUsage;
use gateway::Room;
use gateway::Stage;
use gateway::UsageLimits;
use policy::Time;
use tokio_util::sync::CancellationToken;

use crate::clock::now;
use crate::open_connection::OpenConnection;
use crate::Metrics;

/// Interval between two lines about evicted connections, in milliseconds.
const LOG_INTERVAL_MS: u64 = 1_000;

/// The open connections of callers; clones share them.
#[derive(Clone)]
pub struct Connections {
    state: Arc<Mutex<State>>,
    metrics: Arc<Metrics>,
}

struct State {
    usage: PortUsage,
    /// Cancelled when a connection is to be closed.
    closers: HashMap<ConnectionKey, CancellationToken>,
    /// Evictions since the last line about them, and when the next one may be written.
    evictions: u64,
    log_at: Time,
}

impl Connections {
    /// Returns an empty set with limits on what its connections hold.
    pub fn new(limits: UsageLimits, metrics: Arc<Metrics>) -> Connections {
        let state = State {
            usage: PortUsage::new(limits),
            closers: HashMap::new(),
            evictions: 0,
            log_at: Time::default(),
        };
        Connections {
            state: Arc::new(Mutex::new(state)),
            metrics,
        }
    }

    /// Opens a connection if there is room for it; else evicts an idle one, if there is one.
    pub fn open(&self) -> Opening<Arc<OpenConnection>> {
        let mut state = self.state();
        match state.usage.connection_room(now()) {
            Room::Free => {}
            Room::Closing(key) => {
                self.evict(&mut state, key, CloseReason::TooManyConnections);
                return Opening::Closing;
            }
            Room::At(at) => return Opening::At(at),
            Room::Full => return Opening::Full,
        }
        let key = state.usage.open(now());
        let closing = CancellationToken::new();
        state.closers.insert(key, closing.clone());
        drop(state);
        Opening::Open(Arc::new(OpenConnection::new(self.clone(), key, closing)))
    }

    /// Removes a connection that is closed.
    pub fn remove(&self, key: ConnectionKey) {
        let mut state = self.state();
        state.usage.close(key);
        state.closers.remove(&key);
    }

    /// Records what a connection does from now on.
    pub fn set_stage(&self, key: ConnectionKey, stage: Stage) {
        self.state().usage.set_stage(now(), key, stage);
    }

    /// Returns what a connection does, none if it is closed.
    pub fn stage(&self, key: ConnectionKey) -> Option<Stage> {
        self.state().usage.stage(key)
    }

    /// Returns whether a connection may read more. One that has no request waits until evicted ones have
    /// given their memory back.
    pub fn has_read_room(&self, key: ConnectionKey) -> bool {
        let mut state = self.state();
        let has_request = !matches!(state.usage.stage(key), Some(Stage::Idle | Stage::Head));
        if has_request || state.usage.has_present_room() {
            return true;
        }
        self.make_present_room(&mut state);
        false
    }

    /// Records bytes that were read from a connection, and evicts others if there is no room for them.
    pub fn record_read(&self, key: ConnectionKey, bytes: u64) {
        let mut state = self.state();
        state.usage.record_read(now(), key, bytes);
        self.make_present_room(&mut state);
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is read from now on.
    pub fn begin_request(&self, key: ConnectionKey, head_bytes: u64) {
        self.state().usage.begin_request(now(), key, head_bytes);
    }

    /// Records that the body of a request was read to its end; `len` is the length that it names.
    pub fn end_request_body(&self, key: ConnectionKey, len: Option<u64>) {
        self.state().usage.end_request_body(key, len);
    }

    /// Records that a request and its response are over, unless the next request has begun.
    pub fn end_request(&self, key: ConnectionKey) {
        let mut state = self.state();
        if state.usage.stage(key) == Some(Stage::Flushing) {
            state.usage.end_request(now(), key);
        }
    }

    /// Records bytes that were written to a connection.
    pub fn record_written(&self, key: ConnectionKey, bytes: u64) {
        self.state().usage.record_written(now(), key, bytes);
    }

    /// Records that the request of a connection is served from now on. Returns false if there are no
    /// descriptors for that.
    pub fn begin_running(&self, key: ConnectionKey) -> bool {
        let mut state = self.state();
        state.usage.set_stage(now(), key, Stage::Running);
        self.make_present_room(&mut state)
    }

    /// Counts bytes that are held for a connection. Returns false, and counts none, if there is no room for
    /// them after evicting others.
    pub fn try_hold(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) -> bool {
        let mut state = self.state();
        loop {
            match state.usage.buffer_room(now(), key, bytes, held_for) {
                Room::Free => break,
                Room::Closing(slow) => self.evict(&mut state, slow, CloseReason::NoMemory),
                Room::At(_) | Room::Full => return false,
            }
        }
        self.add_held(&mut state, key, bytes, held_for);
        true
    }

    /// Counts bytes that are held for a connection, whatever the limit.
    pub fn hold(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        self.add_held(&mut self.state(), key, bytes, held_for);
    }

    /// Uncounts bytes that were held for a connection.
    pub fn release(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        let mut state = self.state();
        state.usage.release(key, bytes, held_for);
        self.metrics
            .set_buffered_bytes(state.usage.buffered_bytes());
    }

    fn add_held(&self, state: &mut State, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        state.usage.hold(now(), key, bytes, held_for);
        self.metrics
            .set_buffered_bytes(state.usage.buffered_bytes());
    }

    /// Evicts connections until the limits hold for the open ones; returns false if none may be evicted.
    fn make_present_room(&self, state: &mut State) -> bool {
        while !state.usage.has_present_room() {
            match state.usage.present_room(now()) {
                Room::Free => return true,
                Room::Closing(idle) => self.evict(state, idle, CloseReason::TooManyConnections),
                Room::At(_) | Room::Full => return false,
            }
        }
        true
    }

    fn evict(&self, state: &mut State, key: ConnectionKey, reason: CloseReason) {
        if let Some(closing) = state.closers.get(&key) {
            closing.cancel();
        }
        self.metrics.on_connection_closed(reason.name());
        state.evictions += 1;
        if now() < state.log_at {
            return;
        }
        log::warn!(
            "event=connections_closed count={} open={} buffered_bytes={}",
            state.evictions,
            state.usage.len(),
            state.usage.buffered_bytes()
        );
        state.evictions = 0;
        state.log_at = now().plus_millis(LOG_INTERVAL_MS);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
