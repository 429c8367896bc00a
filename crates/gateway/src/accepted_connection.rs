//! One connection of a caller: what it does, when it is to be closed, and whether its response was
//! delivered.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;

use crate::buffer_hold::BufferHold;
use crate::close_reason::CloseReason;
use crate::close_request::CloseRequest;
use crate::connection_key::ConnectionKey;
use crate::connection_stage::Stage;
use crate::held_for::HeldFor;
use crate::port_connections::OpenedConnection;
use crate::port_connections::PortConnections;
use crate::port_connections::REQUEST_OVERHEAD_BYTES;
use crate::service_key::ServiceKey;

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
    close_request: Rc<CloseRequest>,
    /// Whether the body of the present response has no more bytes for the http library.
    body_ended: Cell<bool>,
    /// Whether the connection has ended.
    has_ended: Cell<bool>,
    on_end: RefCell<Option<OnEnd>>,
}

impl AcceptedConnection {
    /// Returns a connection that was opened at a port.
    pub fn new(connections: PortConnections, opened: OpenedConnection) -> AcceptedConnection {
        AcceptedConnection {
            connections,
            key: opened.key,
            close_request: opened.close_request,
            body_ended: Cell::new(false),
            has_ended: Cell::new(false),
            on_end: RefCell::new(None),
        }
    }

    /// Completes when it is to be closed.
    pub async fn closing(&self) -> CloseReason {
        self.close_request.made().await
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
    pub fn begin_request(&self, head_bytes: u64) {
        self.connections.begin_request(self.key, head_bytes);
    }

    /// Records the service that serves the request.
    pub fn set_service(&self, service: &str) {
        let key = ServiceKey(policy::name_hash(service));
        self.connections.set_service(self.key, key);
    }

    /// Records that the body of the request was read to its end; `len` is the length that it names.
    pub fn end_request_body(&self, len: Option<u64>) {
        self.connections.end_request_body(self.key, len);
    }

    /// Records that it has no request from now on.
    pub fn mark_idle(&self) {
        self.connections.end_request(self.key);
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
    pub fn end_response_body(&self) {
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
        if self.close_request.is_made() {
            Delivery::Closed
        } else {
            Delivery::CallerLeft
        }
    }

    /// Records that the socket has taken all that the http library had.
    pub fn record_flushed(&self) {
        if !self.body_ended.replace(false) {
            return;
        }
        self.end_response(Delivery::Whole);
        // The next request may have begun before the socket has taken this response.
        if self.connections.stage(self.key) == Some(Stage::Flushing) {
            self.connections.end_request(self.key);
        }
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
    pub fn hold_request(&self) -> Option<BufferHold> {
        let mut hold = self.hold(0, HeldFor::Request);
        hold.try_grow(REQUEST_OVERHEAD_BYTES).then_some(hold)
    }

    /// Holds the bytes of a connection to a backend server for another router; none if too much is held
    /// already.
    pub fn hold_tunnel(&self) -> Option<BufferHold> {
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
