//! One open connection of a caller: what it does, and what is held of its present request.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::task::Context;
use std::task::Poll;

use futures::task::AtomicWaker;
use gateway::ConnectionKey;
use gateway::HeldFor;
use gateway::Stage;
use tokio_util::sync::CancellationToken;

use crate::connections::Connections;
use crate::request_hold::RequestHold;
use crate::Rejection;

/// Memory of a request without its body: its heads, its state, and what its backend server has sent and
/// is not read yet, in bytes.
const REQUEST_OVERHEAD_BYTES: u64 = 96 << 10;

/// Bytes of a response that the http library may have before the socket has taken them.
const MAX_UNFLUSHED_BYTES: u64 = 16 << 10;

/// An open connection; dropping it makes room for others.
pub struct OpenConnection {
    connections: Connections,
    key: ConnectionKey,
    closing: CancellationToken,
    /// Whether the response to the present request is being sent.
    is_responding: AtomicBool,
    /// Whether the http library has all bytes of the present response.
    body_ended: AtomicBool,
    /// Bytes of the present response that the http library has and the socket has not taken.
    unflushed: AtomicU64,
    flushed: AtomicWaker,
    hold: Mutex<Option<Arc<RequestHold>>>,
}

impl OpenConnection {
    /// Returns a connection that has just been opened, and is closed once `closing` is cancelled.
    pub fn new(
        connections: Connections,
        key: ConnectionKey,
        closing: CancellationToken,
    ) -> OpenConnection {
        OpenConnection {
            connections,
            key,
            closing,
            is_responding: AtomicBool::new(false),
            body_ended: AtomicBool::new(false),
            unflushed: AtomicU64::new(0),
            flushed: AtomicWaker::new(),
            hold: Mutex::default(),
        }
    }

    /// Completes when it is to be closed.
    pub async fn closing(&self) {
        self.closing.cancelled().await;
    }

    /// Returns whether it has a request whose response is not being sent yet.
    pub fn has_unanswered_request(&self) -> bool {
        self.hold().is_some() && !self.is_responding.load(Ordering::Relaxed)
    }

    /// Returns whether the present request was not read whole, and so can't have run.
    pub fn has_unread_request(&self) -> bool {
        self.connections.stage(self.key) == Some(Stage::Body)
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is read from now on.
    pub fn begin_request(&self, head_bytes: u64) {
        self.is_responding.store(false, Ordering::Relaxed);
        self.body_ended.store(false, Ordering::Relaxed);
        self.connections.begin_request(self.key, head_bytes);
        let hold = RequestHold::new(self.connections.clone(), self.key);
        *self.hold() = Some(Arc::new(hold));
    }

    /// Returns the hold of the present request, with the memory that each request takes.
    pub fn hold_request(&self) -> Result<Arc<RequestHold>, Rejection> {
        let hold = self.hold().clone();
        let hold = hold.filter(|hold| hold.try_grow(REQUEST_OVERHEAD_BYTES, HeldFor::Request));
        hold.ok_or(Rejection::NoMemory)
    }

    /// Records that the body of the request was read to its end; `len` is the length that it names.
    pub fn end_request_body(&self, len: Option<u64>) {
        self.connections.end_request_body(self.key, len);
    }

    /// Records that the present request is whole and is served from now on.
    pub fn begin_running(&self) -> Result<(), Rejection> {
        match self.connections.begin_running(self.key) {
            true => Ok(()),
            false => Err(Rejection::NoMemory),
        }
    }

    /// Records that the response is sent from now on.
    pub fn begin_response(&self) {
        self.is_responding.store(true, Ordering::Relaxed);
        self.connections.set_stage(self.key, Stage::Response);
    }

    /// Completes when the http library may have more bytes of the response.
    pub fn poll_writable(&self, cx: &mut Context<'_>) -> Poll<()> {
        self.flushed.register(cx.waker());
        match self.unflushed.load(Ordering::Acquire) < MAX_UNFLUSHED_BYTES {
            true => Poll::Ready(()),
            false => Poll::Pending,
        }
    }

    /// Counts bytes of the response that the http library has from now on.
    pub fn record_unflushed(&self, bytes: u64) {
        self.unflushed.fetch_add(bytes, Ordering::AcqRel);
        if let Some(hold) = &*self.hold() {
            hold.grow(bytes, HeldFor::Response);
        }
    }

    /// Records that the http library has all bytes of the present response.
    pub fn end_response_body(&self) {
        self.body_ended.store(true, Ordering::Relaxed);
        self.connections.set_stage(self.key, Stage::Flushing);
    }

    /// Records that the socket has taken all that the http library had.
    pub fn record_flushed(&self) {
        let bytes = self.unflushed.swap(0, Ordering::AcqRel);
        let mut hold = self.hold();
        if let Some(hold) = hold.as_ref().filter(|_| bytes > 0) {
            hold.shrink(bytes, HeldFor::Response);
        }
        self.flushed.wake();
        if self.body_ended.swap(false, Ordering::Relaxed) {
            hold.take();
            self.connections.end_request(self.key);
        }
    }

    /// Returns whether more of a head may be read from it, after evicting others if needed.
    pub fn has_read_room(&self) -> bool {
        self.connections.has_read_room(self.key)
    }

    /// Records bytes that were read from it.
    pub fn record_read(&self, bytes: usize) {
        if bytes > 0 {
            self.connections.record_read(self.key, bytes as u64);
        }
    }

    /// Records bytes that were written to it.
    pub fn record_written(&self, bytes: usize) {
        self.connections.record_written(self.key, bytes as u64);
    }

    fn hold(&self) -> MutexGuard<'_, Option<Arc<RequestHold>>> {
        self.hold.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.connections.remove(self.key);
    }
}
