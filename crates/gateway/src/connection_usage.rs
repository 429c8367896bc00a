//! Accounting of what one connection of a caller holds, and of its progress.

use policy::Time;

use crate::buffer_limits::Shortage;
use crate::connection_stage::Stage;
use crate::held_for::HeldFor;
use crate::progress_limits::ProgressLimits;
use crate::service_key::ServiceKey;

/// Memory of an open connection without what is read from it, in bytes.
pub const CONNECTION_BYTES: u64 = 16 << 10;

/// Most bytes that the kernel holds of pipelined requests: those that a caller sends before it has the response
/// to the present one.
const KERNEL_PIPELINED_BYTES: u64 = 16 << 10;

/// Most bytes of a body that the http library has read and not passed on.
const READ_AHEAD_BYTES: u64 = 16 << 10;

/// Bytes that are added to those transferred when connections are compared by their rate, so that the rate of
/// a new response isn't that of its first few milliseconds.
const MOVED_AT_START_BYTES: u64 = 64 << 10;

/// What the next bytes that are read belong to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Reading {
    /// The head of a request.
    Head,
    /// The body of the present request, with its framing.
    Body,
    /// Pipelined requests.
    Pipelined,
}

/// What one connection holds.
///
/// The layer that serves the connection reports its stage and when a head, body or request ends. Bytes that are
/// read count for the part of a request that is being read, and are uncounted when that part ends, so that no
/// count remains after its request.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionUsage {
    stage: Stage,
    stage_since: Time,
    /// When bytes last moved over it.
    moved_at: Time,
    /// Bytes that have moved since bytes wait for the caller.
    moved_bytes: u64,
    /// Since when bytes wait for the caller.
    waiting_since: Time,
    /// Bytes of requests and responses.
    request_bytes: u64,
    response_bytes: u64,
    /// Service of the present request; none before it is known.
    service: Option<ServiceKey>,
    /// What the next bytes that are read belong to.
    reading: Reading,
    /// Bytes of a head that isn't whole.
    head_bytes: u64,
    /// Bytes that were read of the present request's body, with its framing.
    body_bytes: u64,
    /// Bytes that were read of pipelined requests.
    pipelined_bytes: u64,
    /// Whether it is being closed.
    is_closing: bool,
}

impl ConnectionUsage {
    /// Returns the usage of a connection that has just been opened.
    pub fn new(now: Time) -> ConnectionUsage {
        ConnectionUsage {
            stage: Stage::Idle,
            stage_since: now,
            moved_at: now,
            moved_bytes: 0,
            waiting_since: now,
            request_bytes: 0,
            response_bytes: 0,
            service: None,
            reading: Reading::Head,
            head_bytes: 0,
            body_bytes: 0,
            pipelined_bytes: 0,
            is_closing: false,
        }
    }

    /// Returns its present stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Begins a stage.
    pub fn begin(&mut self, now: Time, stage: Stage) {
        self.stage = stage;
        self.stage_since = now;
        self.waiting_since = now;
        self.moved_bytes = 0;
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is read from now on.
    pub fn begin_request(&mut self, now: Time, head_bytes: u64) {
        self.begin(now, Stage::Body);
        self.service = None;
        self.reading = Reading::Body;
        self.body_bytes = self.head_bytes.saturating_sub(head_bytes);
        self.head_bytes = 0;
    }

    /// Records the service of the present request.
    pub fn set_service(&mut self, service: ServiceKey) {
        self.service = Some(service);
    }

    /// Returns the service of the present request, none if it isn't known.
    pub fn service(&self) -> Option<ServiceKey> {
        self.service
    }

    /// Records that the body of the present request was read to its end; what is read from now on is
    /// pipelined. With a content length of `len`, bytes that were read beyond it are pipelined too. For a
    /// chunked body these aren't known; they are at most what the http library reads at once, which the
    /// memory of each request includes.
    pub fn end_request_body(&mut self, len: Option<u64>) {
        self.reading = Reading::Pipelined;
        self.pipelined_bytes = len.map_or(0, |len| self.body_bytes.saturating_sub(len));
        self.body_bytes = 0;
    }

    /// Records that the present request is over. Pipelined bytes become those of the next request.
    pub fn end_request(&mut self, now: Time) {
        self.begin(now, Stage::Idle);
        self.reading = Reading::Head;
        self.body_bytes = 0;
        self.head_bytes = std::mem::take(&mut self.pipelined_bytes);
    }

    /// Records bytes that were read from it.
    pub fn record_read(&mut self, now: Time, bytes: u64) {
        self.moved_at = now;
        match self.reading {
            Reading::Head => self.head_bytes += bytes,
            Reading::Body => self.body_bytes += bytes,
            Reading::Pipelined => self.pipelined_bytes += bytes,
        }
        match self.stage {
            Stage::Body => self.moved_bytes += bytes,
            Stage::Idle => {
                self.stage = Stage::Head;
                self.stage_since = now;
            }
            _ => {}
        }
    }

    /// Records bytes that were written to it.
    pub fn record_written(&mut self, now: Time, bytes: u64) {
        self.moved_at = now;
        self.moved_bytes += bytes;
    }

    /// Counts bytes that are held for it.
    pub fn hold(&mut self, now: Time, bytes: u64, held_for: HeldFor) {
        if self.waiting_bytes() == 0 {
            self.waiting_since = now;
            self.moved_bytes = 0;
        }
        let held = self.bytes_mut(held_for);
        *held = held.saturating_add(bytes);
    }

    /// Uncounts bytes that were held for it.
    pub fn release(&mut self, bytes: u64, held_for: HeldFor) {
        let held = self.bytes_mut(held_for);
        *held = held.saturating_sub(bytes);
    }

    /// Returns whether it is being closed.
    pub fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Records that it is being closed.
    pub fn set_closing(&mut self) {
        self.is_closing = true;
    }

    /// Returns the memory of the connection itself, with what the http library may hold of a body that is
    /// being read, and the kernel of pipelined requests.
    pub fn connection_bytes(&self) -> u64 {
        let in_kernel = if self.pipelined_bytes > 0 {
            KERNEL_PIPELINED_BYTES
        } else {
            0
        };
        let read_ahead = self.body_bytes.min(READ_AHEAD_BYTES);
        CONNECTION_BYTES + self.head_bytes + read_ahead + self.pipelined_bytes + in_kernel
    }

    /// Returns the bytes that were read of pipelined requests.
    pub fn pipelined_bytes(&self) -> u64 {
        self.pipelined_bytes
    }

    /// Returns whether its request is with a backend server, or waits for one, or has a response that isn't
    /// whole.
    fn has_request(&self) -> bool {
        matches!(self.stage, Stage::Running | Stage::Response)
    }

    /// Returns its descriptors, and those of the connections to backend servers that its request needs.
    pub fn descriptors(&self) -> u64 {
        1 + u64::from(self.has_request())
    }

    /// Returns the bytes that are held because the caller hasn't sent or taken the rest.
    pub fn waiting_bytes(&self) -> u64 {
        match self.stage {
            Stage::Body => self.buffered_bytes(),
            _ => self.response_bytes,
        }
    }

    /// Returns the bytes that are held of its request and response.
    pub fn buffered_bytes(&self) -> u64 {
        self.request_bytes + self.response_bytes
    }

    /// Returns the bytes of the request or the response unless it is small.
    pub fn large_bytes(&self, held_for: HeldFor) -> u64 {
        let bytes = self.bytes_for(held_for);
        if bytes > held_for.small_bytes() {
            bytes
        } else {
            0
        }
    }

    /// Returns the bytes that are held of its request or response.
    pub fn bytes_for(&self, held_for: HeldFor) -> u64 {
        match held_for {
            HeldFor::Request => self.request_bytes,
            HeldFor::Response => self.response_bytes,
        }
    }

    fn bytes_mut(&mut self, held_for: HeldFor) -> &mut u64 {
        match held_for {
            HeldFor::Request => &mut self.request_bytes,
            HeldFor::Response => &mut self.response_bytes,
        }
    }

    /// Returns whether closing it frees what there is a shortage of.
    pub fn eases(&self, shortage: Shortage) -> bool {
        match shortage {
            Shortage::Sum => true,
            Shortage::Service(service) => self.service == Some(service),
            Shortage::Large(held_for) => self.large_bytes(held_for) > 0,
        }
    }

    /// Returns the cost by which a slow connection to evict is chosen: the bytes that wait for its caller
    /// times the milliseconds for which they do, per byte that was transferred meanwhile.
    pub fn waiting_cost(&self, now: Time) -> u128 {
        let ms = u128::from(now.millis_since(self.waiting_since));
        u128::from(self.waiting_bytes()) * ms / u128::from(self.moved_bytes + MOVED_AT_START_BYTES)
    }

    /// Returns whether it may be evicted for another connection: it has no request that a backend server
    /// may run.
    pub fn is_idle(&self) -> bool {
        !self.is_closing && !self.has_request()
    }

    /// Returns whether it may be evicted as its caller has not sent or taken `bytes` bytes for `ms`
    /// milliseconds.
    pub fn is_slow(&self, now: Time, bytes: u64, ms: u64) -> bool {
        let has_waited = self.waiting_since.plus_millis(ms) <= now;
        !self.is_closing && has_waited && self.waiting_bytes() >= bytes
    }

    /// Returns the cost by which an idle connection to evict is chosen: its bytes times the microseconds for
    /// which it has been idle.
    pub fn idle_cost(&self, now: Time) -> u128 {
        let bytes = self.connection_bytes() + self.request_bytes;
        u128::from(bytes) * u128::from(now.micros_since(self.stage_since))
    }

    /// Returns when its present stage began.
    pub fn stage_since(&self) -> Time {
        self.stage_since
    }

    /// Returns whether it has made no progress for too long.
    pub fn is_overdue(&self, now: Time, limits: ProgressLimits) -> bool {
        let idle_ms = now.millis_since(self.moved_at.max(self.stage_since));
        match self.stage {
            Stage::Head => now.millis_since(self.stage_since) > limits.head_ms,
            Stage::Idle | Stage::Body | Stage::Flushing => idle_ms > limits.idle_ms,
            Stage::Running => false,
            Stage::Response => {
                let waited_ms = now.millis_since(self.waiting_since.max(self.moved_at));
                self.response_bytes > 0 && waited_ms > limits.idle_ms
            }
        }
    }
}
