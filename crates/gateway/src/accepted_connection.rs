//! One connection of a caller: what it does, when it is to be closed, and whether its response was
//! delivered.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::buffer_hold::BufferHold;
use crate::close_reason::CloseReason;
use crate::connection_usage::HeldFor;
use crate::connection_usage::Stage;
use crate::port_connections::PortConnections;
use crate::port_connections::REQUEST_OVERHEAD_BYTES;
use crate::port_usage::ConnectionKey;

/// Bytes of a connection to a backend server for another router, without the connections themselves: a buffer
/// in each direction.
const TUNNEL_BYTES: u64 = 32 << 10;

/// How the sending of a response ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The socket has taken all of it.
    Whole,
    /// The caller has left before that.
    CallerLeft,
    /// This router has closed the connection before that.
    Closed,
}

/// What follows the end of a response.
type OnEnd = Box<dyn FnOnce(Delivery)>;

/// One connection of a caller.
pub struct AcceptedConnection {
    connections: PortConnections,
    key: ConnectionKey,
    /// Why it is to be closed.
    closing: Cell<Option<CloseReason>>,
    close_requested: Notify,
    /// Whether the body of the present response has no more bytes for the http library.
    body_ended: Cell<bool>,
    /// Whether the connection has ended.
    has_ended: Cell<bool>,
    on_end: RefCell<Option<OnEnd>>,
}

impl AcceptedConnection {
    /// Returns a connection that has just been opened.
    pub fn new(connections: PortConnections, key: ConnectionKey) -> AcceptedConnection {
        AcceptedConnection {
            connections,
            key,
            closing: Cell::new(None),
            close_requested: Notify::new(),
            body_ended: Cell::new(false),
            has_ended: Cell::new(false),
            on_end: RefCell::new(None),
        }
    }

    /// Has it closed, for a reason that is kept if there is one already.
    pub fn close(&self, reason: CloseReason) {
        if self.closing.get().is_none() {
            self.closing.set(Some(reason));
        }
        self.close_requested.notify_one();
    }

    /// Completes when it is to be closed.
    pub async fn closing(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.closing.get() {
                return reason;
            }
            self.close_requested.notified().await;
        }
    }

    /// Returns whether it may be closed with a refusal: a request has begun, and none of it was
    /// passed on.
    pub fn has_unread_request(&self) -> bool {
        matches!(
            self.connections.stage(self.key),
            Some(Stage::Head | Stage::Body)
        )
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is being read.
    pub fn begin_body(&self, head_bytes: u64) {
        self.connections.record_parsed(self.key, head_bytes);
        self.connections.set_stage(self.key, Stage::Body);
    }

    /// Records that bytes which were read belong to the body.
    pub fn record_body(&self, bytes: u64) {
        self.connections.record_parsed(self.key, bytes);
    }

    /// Records that it is idle from now on.
    pub fn mark_idle(&self) {
        self.connections.set_stage(self.key, Stage::Idle);
    }

    /// Records that the request is served from now on. Returns false if there are no descriptors
    /// for that.
    pub fn begin_running(&self) -> bool {
        self.connections.set_stage(self.key, Stage::Running);
        self.connections.make_present_room()
    }

    /// Records that the response is sent from now on.
    pub fn begin_response(&self) {
        self.body_ended.set(false);
        self.connections.set_stage(self.key, Stage::Response);
    }

    /// Records that the http library has all bytes of the present response's body.
    pub fn end_body(&self) {
        self.body_ended.set(true);
        self.connections.set_stage(self.key, Stage::Flushing);
    }

    /// Sets what follows the end of the present response.
    pub fn set_on_end<F>(&self, on_end: F)
    where
        F: FnOnce(Delivery) + 'static,
    {
        if self.has_ended.get() {
            return on_end(self.broken_delivery());
        }
        *self.on_end.borrow_mut() = Some(Box::new(on_end));
    }

    /// Returns how the sending of a response ended whose caller takes no more of it.
    pub fn broken_delivery(&self) -> Delivery {
        match self.closing.get() {
            Some(_) => Delivery::Closed,
            None => Delivery::CallerLeft,
        }
    }

    /// Records that the socket has taken all that the http library had.
    pub fn record_flushed(&self) {
        if !self.body_ended.replace(false) {
            return;
        }
        self.end_response(Delivery::Whole);
        self.connections.set_stage(self.key, Stage::Idle);
    }

    /// Records the end of the connection.
    pub fn end(&self) {
        self.has_ended.set(true);
        self.end_response(self.broken_delivery());
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

    /// Holds the first bytes of a new request; none if too much is held already.
    pub fn begin_request(&self) -> Option<BufferHold> {
        let mut hold = self.hold(0, HeldFor::Request);
        hold.try_grow(REQUEST_OVERHEAD_BYTES).then_some(hold)
    }

    /// Holds the bytes of a connection to a backend server for another router; none if too much is held
    /// already.
    pub fn begin_tunnel(&self) -> Option<BufferHold> {
        let mut hold = self.hold(0, HeldFor::Request);
        hold.try_grow(TUNNEL_BYTES).then_some(hold)
    }

    /// Returns whether there is room for a page as large as the last one.
    pub fn has_page_room(&self) -> bool {
        self.has_response_room(self.connections.expected_page_bytes())
    }

    /// Holds a page of `bytes` bytes whatever the limit.
    pub fn hold_page(&self, bytes: u64) -> BufferHold {
        self.connections.record_page(bytes);
        self.hold_response(bytes)
    }

    /// Holds `bytes` bytes of a response whatever the limit.
    pub fn hold_response(&self, bytes: u64) -> BufferHold {
        self.hold(bytes, HeldFor::Response)
    }

    /// Returns whether a response of `bytes` bytes can never be held.
    pub fn is_too_large(&self, bytes: u64) -> bool {
        self.connections.is_too_large(bytes)
    }

    /// Returns whether there is room for `bytes` bytes of a response.
    pub fn has_response_room(&self, bytes: u64) -> bool {
        self.connections
            .make_buffer_room(self.key, bytes, HeldFor::Response)
    }

    fn hold(&self, bytes: u64, held_for: HeldFor) -> BufferHold {
        BufferHold::new(self.connections.clone(), self.key, held_for, bytes)
    }

    fn end_response(&self, delivery: Delivery) {
        let on_end = self.on_end.borrow_mut().take();
        if let Some(on_end) = on_end {
            on_end(delivery);
        }
    }
}

impl Drop for AcceptedConnection {
    fn drop(&mut self) {
        self.connections.forget(self.key);
    }
}

/// Records the end of a connection when it is dropped.
pub struct ConnectionEnd(pub Rc<AcceptedConnection>);

impl Drop for ConnectionEnd {
    fn drop(&mut self) {
        self.0.end();
    }
}
