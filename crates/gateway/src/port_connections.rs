//! Connections of one port, with what their callers make this router hold.
//!
//! [`PortUsage`] decides; here the decisions are carried out on the connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::rc::Rc;
use std::time::Duration;

use crate::clock::now;
use crate::close_reason::CloseReason;
use crate::close_request::CloseRequest;
use crate::connection_key::ConnectionKey;
use crate::connection_metrics::PortMetrics;
use crate::connection_stage::Stage;
use crate::connections_closed::ConnectionsClosed;
use crate::held_for::HeldFor;
use crate::log_event::LogEvent;
use crate::port_usage::PortUsage;
use crate::process_event::log_failure;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::progress_limits::ProgressLimits;
use crate::room::Opening;
use crate::room::Room;
use crate::service_key::ServiceKey;
use crate::unbounded::UnboundedPart;
use crate::usage_limits::UsageLimits;

/// Bytes that a request takes beside its body: heads, its state, and what its backend server has sent and
/// is not read yet.
pub const REQUEST_OVERHEAD_BYTES: u64 = 64 << 10;

/// Interval at which a response that waits for room checks for it.
pub const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the buffers that a page needs at most, in percent.
const MAX_PAGE_PERCENT: u64 = 25;

/// A connection that was opened.
pub struct OpenedConnection {
    /// Its key among those of its port.
    pub key: ConnectionKey,
    /// Made when it is to be closed.
    pub close_request: Rc<CloseRequest>,
}

/// The connections of one port; clones share them.
#[derive(Clone)]
pub struct PortConnections(Rc<State>);

struct State {
    /// Name of the port, for the log.
    port: &'static str,
    limits: UsageLimits,
    usage: RefCell<PortUsage>,
    close_requests: RefCell<HashMap<ConnectionKey, Rc<CloseRequest>>>,
    /// Bytes of unbounded parts of responses, by `UnboundedPart`.
    unbounded_bytes: [Cell<u64>; UnboundedPart::COUNT],
    /// Length of the last page, in bytes.
    page_bytes: Cell<u64>,
    /// Connections that were closed since the last line about it, by reason.
    closed: RefCell<HashMap<CloseReason, u64>>,
    /// Whether a connection could not be accepted since the last sweep.
    accept_failed: Cell<bool>,
    metrics: PortMetrics,
}

impl PortConnections {
    /// Returns the connections of a port that has none yet.
    pub fn new(port: &'static str, limits: UsageLimits, metrics: PortMetrics) -> PortConnections {
        PortConnections(Rc::new(State {
            port,
            limits,
            usage: RefCell::new(PortUsage::new(limits)),
            close_requests: RefCell::default(),
            unbounded_bytes: Default::default(),
            page_bytes: Cell::new(0),
            closed: RefCell::default(),
            accept_failed: Cell::new(false),
            metrics,
        }))
    }

    /// Returns how many bytes of requests and responses are held.
    pub fn buffered_bytes(&self) -> u64 {
        self.0.usage.borrow().buffered_bytes()
    }

    /// Returns how many connections are open.
    pub fn connections(&self) -> usize {
        self.0.usage.borrow().len()
    }

    /// Opens a connection if there is room for it; else evicts an idle one, if there is one.
    pub fn open(&self) -> Opening<OpenedConnection> {
        let room = self.0.usage.borrow_mut().connection_room(now());
        match room {
            Room::Free => {}
            Room::Closing(key) => {
                self.close(key, CloseReason::TooManyConnections);
                return Opening::Closing;
            }
            Room::At(at) => return Opening::At(at),
            Room::Full => {
                self.count_closed(CloseReason::TooManyConnections);
                return Opening::Full;
            }
        }
        let key = self.0.usage.borrow_mut().open(now());
        let close_request = Rc::<CloseRequest>::default();
        self.0
            .close_requests
            .borrow_mut()
            .insert(key, Rc::clone(&close_request));
        self.show();
        Opening::Open(OpenedConnection { key, close_request })
    }

    /// Logs that a connection could not be accepted, once until the next sweep.
    pub fn log_accept_failure(&self, e: &io::Error) {
        if !self.0.accept_failed.replace(true) {
            log_failure(Step::Accept, e);
        }
    }

    /// Forgets a connection that is closed.
    pub fn forget(&self, key: ConnectionKey) {
        self.0.usage.borrow_mut().close(key);
        self.0.close_requests.borrow_mut().remove(&key);
        self.show();
    }

    /// Returns what a connection does, none if it is closed.
    pub fn stage(&self, key: ConnectionKey) -> Option<Stage> {
        self.0.usage.borrow().stage(key)
    }

    /// Returns the memory of the open connections themselves, without what is buffered for them.
    pub fn connection_bytes(&self) -> u64 {
        self.0.usage.borrow().connection_bytes()
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is read from now on.
    pub fn begin_request(&self, key: ConnectionKey, head_bytes: u64) {
        let usage = &self.0.usage;
        usage.borrow_mut().begin_request(now(), key, head_bytes);
    }

    /// Records the service of a connection's request.
    pub fn set_service(&self, key: ConnectionKey, service: ServiceKey) {
        self.0.usage.borrow_mut().set_service(key, service);
    }

    /// Records that the body of a request was read to its end; `len` is the length that it names.
    pub fn end_request_body(&self, key: ConnectionKey, len: Option<u64>) {
        self.0.usage.borrow_mut().end_request_body(key, len);
    }

    /// Records that a request and its response are over.
    pub fn end_request(&self, key: ConnectionKey) {
        self.0.usage.borrow_mut().end_request(now(), key);
    }

    /// Records what a connection does from now on with its request.
    pub fn set_stage(&self, key: ConnectionKey, stage: Stage) {
        self.0.usage.borrow_mut().set_stage(now(), key, stage);
    }

    /// Records bytes that were read from a connection, and evicts one if there is no room for them.
    pub fn record_read(&self, key: ConnectionKey, bytes: u64) {
        self.0.usage.borrow_mut().record_read(now(), key, bytes);
        self.make_present_room();
    }

    /// Records bytes that were written to a connection.
    pub fn record_written(&self, key: ConnectionKey, bytes: u64) {
        self.0.usage.borrow_mut().record_written(now(), key, bytes);
    }

    /// Returns whether there is room for the connections and the requests on them.
    pub fn make_present_room(&self) -> bool {
        // Reading the clock costs more than this.
        while !self.0.usage.borrow().has_present_room() {
            let room = self.0.usage.borrow_mut().present_room(now());
            match room {
                Room::Free => return true,
                Room::Closing(key) => self.close(key, CloseReason::TooManyConnections),
                Room::At(_) | Room::Full => return false,
            }
        }
        true
    }

    /// Returns whether there is room for `bytes` more bytes of a connection, after evicting others if
    /// needed.
    pub fn make_buffer_room(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) -> bool {
        loop {
            let mut usage = self.0.usage.borrow_mut();
            if usage.has_buffer_room(key, bytes, held_for) {
                return true;
            }
            let room = usage.buffer_room(now(), key, bytes, held_for);
            drop(usage);
            match room {
                Room::Free => return true,
                Room::Closing(key) => self.close(key, CloseReason::NoMemory),
                Room::At(_) | Room::Full => return false,
            }
        }
    }

    /// Returns whether `bytes` bytes can never be held.
    pub fn is_too_large(&self, bytes: u64) -> bool {
        self.0.usage.borrow().is_too_large(bytes)
    }

    /// Returns the room that a page needs: that of the last one, or of a small part of the buffers if it was
    /// larger, so that a large page can always be sent alone.
    pub fn expected_page_bytes(&self) -> u64 {
        let most = self.0.limits.buffer_bytes / 100 * MAX_PAGE_PERCENT;
        self.0.page_bytes.get().min(most)
    }

    /// Records the length of a page.
    pub fn record_page(&self, bytes: u64) {
        self.0.page_bytes.set(bytes);
    }

    /// Counts bytes that are held for a connection.
    pub fn hold(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        self.0.usage.borrow_mut().hold(now(), key, bytes, held_for);
    }

    /// Uncounts bytes that were held for a connection.
    pub fn release(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        self.0.usage.borrow_mut().release(key, bytes, held_for);
    }

    /// Counts `bytes` more bytes of an unbounded part that has `held` bytes. Returns false, and counts none, if
    /// the share of such parts is used up and this one isn't small.
    pub fn try_grow_unbounded(&self, part: UnboundedPart, held: u64, bytes: u64) -> bool {
        let limit = self.0.limits.buffer_bytes / 100 * part.percent();
        let counted = &self.0.unbounded_bytes[part as usize];
        let sum = counted.get().saturating_add(bytes);
        let is_small = held.saturating_add(bytes) <= part.small_bytes();
        if !is_small && sum > limit {
            return false;
        }
        counted.set(sum);
        true
    }

    /// Uncounts bytes of an unbounded part.
    pub fn release_unbounded(&self, part: UnboundedPart, bytes: u64) {
        let counted = &self.0.unbounded_bytes[part as usize];
        counted.set(counted.get().saturating_sub(bytes));
    }

    /// Closes the connections without progress, and logs how many were closed since the last time.
    pub fn sweep(&self, limits: ProgressLimits) {
        let overdue = self.0.usage.borrow_mut().overdue(now(), limits);
        for key in overdue {
            self.close(key, CloseReason::NoProgress);
        }
        self.0.accept_failed.set(false);
        for (reason, count) in self.0.closed.borrow_mut().drain() {
            let closed = ConnectionsClosed {
                port: self.0.port,
                reason,
                count,
                open: self.connections(),
                buffered_bytes: self.buffered_bytes(),
            };
            ProcessEvent::ConnectionsClosed(closed).write();
        }
    }

    fn close(&self, key: ConnectionKey, reason: CloseReason) {
        if let Some(close_request) = self.0.close_requests.borrow().get(&key) {
            close_request.make(reason);
        }
        self.count_closed(reason);
    }

    fn count_closed(&self, reason: CloseReason) {
        *self.0.closed.borrow_mut().entry(reason).or_default() += 1;
        let labels = [self.0.port, reason.name()];
        self.0.metrics.closed.with_label_values(&labels).inc();
    }

    fn show(&self) {
        let usage = self.0.usage.borrow();
        let connections = i64::try_from(usage.len()).unwrap_or(i64::MAX);
        self.0.metrics.connections.set(connections);
    }
}
