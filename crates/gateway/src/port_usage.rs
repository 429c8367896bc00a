//! Accounting of what the connections of callers hold, and whether there is room for more.
//!
//! For each caller the router holds a descriptor, the received part of its request, and the part of its
//! response that the caller hasn't taken. All of it is counted for as long as it is held. When there is no
//! room left, a connection is evicted.

use std::collections::BTreeMap;

use policy::Time;

use crate::buffer_limits::BufferLimits;
use crate::buffer_limits::Buffered;
use crate::buffer_limits::Shortage;
use crate::connection_key::ConnectionKey;
use crate::connection_stage::Stage;
use crate::connection_usage::ConnectionUsage;
use crate::connection_usage::CONNECTION_BYTES;
use crate::eviction;
use crate::held_for::HeldFor;
use crate::progress_limits::ProgressLimits;
use crate::room::Room;
use crate::service_key::ServiceKey;
use crate::service_usage::Contribution;
use crate::service_usage::ServiceUsage;
use crate::usage_limits::Totals;
use crate::usage_limits::UsageLimits;

/// Time in which a connection is closed, in milliseconds.
const CLOSING_MS: u64 = 1;

/// Interval after which connections are searched again for one to evict if none was found, in
/// milliseconds.
const SEARCH_INTERVAL_MS: u64 = 20;

/// What all connections of one port hold.
#[derive(Debug)]
pub struct PortUsage {
    limits: UsageLimits,
    connections: BTreeMap<ConnectionKey, ConnectionUsage>,
    last_key: u64,
    /// Sums over the connections, and over what is held of closed ones.
    buffered_bytes: u64,
    request_bytes: u64,
    /// Sums over the open connections by the service of their requests.
    services: ServiceUsage,
    connection_bytes: u64,
    descriptors: u64,
    /// When connections are searched again for one to close.
    search_at: Time,
}

impl PortUsage {
    /// Returns the usage of a port without connections.
    pub fn new(limits: UsageLimits) -> PortUsage {
        PortUsage {
            limits,
            connections: BTreeMap::new(),
            last_key: 0,
            buffered_bytes: 0,
            request_bytes: 0,
            services: ServiceUsage::default(),
            connection_bytes: 0,
            descriptors: 0,
            search_at: Time::default(),
        }
    }

    /// Returns the bytes of requests and responses that are held.
    pub fn buffered_bytes(&self) -> u64 {
        self.buffered_bytes
    }

    /// Returns how many connections are open.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether no connection is open.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Time) -> ConnectionKey {
        self.last_key += 1;
        let key = ConnectionKey(self.last_key);
        let usage = ConnectionUsage::new(now);
        self.connection_bytes += usage.connection_bytes();
        self.descriptors += usage.descriptors();
        self.connections.insert(key, usage);
        key
    }

    /// Removes a connection. What is held for it stays counted until it is released.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(usage) = self.connections.remove(&key) {
            self.services.replace(Contribution::of(&usage), None);
            self.connection_bytes -= usage.connection_bytes();
            self.descriptors -= usage.descriptors();
        }
    }

    /// Returns what a connection does, none if it is closed.
    pub fn stage(&self, key: ConnectionKey) -> Option<Stage> {
        self.connections.get(&key).map(ConnectionUsage::stage)
    }

    /// Returns the memory of the open connections themselves, without what is buffered for them.
    pub fn connection_bytes(&self) -> u64 {
        self.connection_bytes
    }

    /// Records that a head of `head_bytes` bytes is whole, and that its body is read from now on.
    pub fn begin_request(&mut self, now: Time, key: ConnectionKey, head_bytes: u64) {
        self.update(key, |usage| usage.begin_request(now, head_bytes));
    }

    /// Records the service of a connection's request.
    pub fn set_service(&mut self, key: ConnectionKey, service: ServiceKey) {
        self.update(key, |usage| usage.set_service(service));
    }

    /// Records that the body of a request was read to its end; `len` is the length that it names.
    pub fn end_request_body(&mut self, key: ConnectionKey, len: Option<u64>) {
        self.update(key, |usage| usage.end_request_body(len));
    }

    /// Records that a request and its response are over.
    pub fn end_request(&mut self, now: Time, key: ConnectionKey) {
        self.update(key, |usage| usage.end_request(now));
    }

    /// Records what a connection does from now on with its request.
    pub fn set_stage(&mut self, now: Time, key: ConnectionKey, stage: Stage) {
        self.update(key, |usage| usage.begin(now, stage));
    }

    /// Records bytes that were read from a connection.
    pub fn record_read(&mut self, now: Time, key: ConnectionKey, bytes: u64) {
        self.update(key, |usage| usage.record_read(now, bytes));
    }

    /// Records bytes that were written to a connection.
    pub fn record_written(&mut self, now: Time, key: ConnectionKey, bytes: u64) {
        self.update(key, |usage| usage.record_written(now, bytes));
    }

    /// Counts bytes that are held for a connection.
    pub fn hold(&mut self, now: Time, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        self.buffered_bytes = self.buffered_bytes.saturating_add(bytes);
        if held_for == HeldFor::Request {
            self.request_bytes = self.request_bytes.saturating_add(bytes);
        }
        self.update(key, |usage| usage.hold(now, bytes, held_for));
    }

    /// Uncounts bytes that were held for a connection.
    pub fn release(&mut self, key: ConnectionKey, bytes: u64, held_for: HeldFor) {
        self.buffered_bytes = self.buffered_bytes.saturating_sub(bytes);
        if held_for == HeldFor::Request {
            self.request_bytes = self.request_bytes.saturating_sub(bytes);
        }
        self.update(key, |usage| usage.release(bytes, held_for));
    }

    /// Returns the room for one more connection. One that is being closed counts until it is gone.
    pub fn connection_room(&mut self, now: Time) -> Room {
        if self.wanted(1).fit(self.limits) {
            return Room::Free;
        }
        if self.has_room_for(1) {
            return Room::At(now.plus_millis(CLOSING_MS));
        }
        self.evict_idle(now, self.limits.min_idle_ms)
    }

    /// Returns the room for what the open connections hold already: a head may have grown, and a request
    /// needs a connection to a backend server.
    pub fn present_room(&mut self, now: Time) -> Room {
        if self.has_room_for(0) {
            return Room::Free;
        }
        // Connections that are open already have priority over new ones.
        match self.evict_idle(now, 0) {
            Room::Full => self.evict_busy(now),
            room => room,
        }
    }

    /// Returns the room for `bytes` more bytes of a connection's request or response.
    pub fn buffer_room(
        &mut self,
        now: Time,
        key: ConnectionKey,
        bytes: u64,
        held_for: HeldFor,
    ) -> Room {
        let shortage = self
            .shortage(key, bytes, held_for, false)
            .and_then(|_| self.shortage(key, bytes, held_for, true));
        match shortage {
            None => Room::Free,
            Some(shortage) => self.evict_slow(now, key, shortage),
        }
    }

    /// Returns whether there is room for `bytes` more bytes without an eviction.
    pub fn has_buffer_room(&self, key: ConnectionKey, bytes: u64, held_for: HeldFor) -> bool {
        self.shortage(key, bytes, held_for, false).is_none()
    }

    /// Returns whether the limits hold for the open connections.
    pub fn has_present_room(&self) -> bool {
        self.connection_bytes <= self.limits.connection_bytes
            && self.descriptors <= self.limits.descriptors
    }

    /// Returns whether a response of `bytes` bytes can never be held, whatever is closed.
    pub fn is_too_large(&self, bytes: u64) -> bool {
        self.buffer_limits().is_too_large(bytes)
    }

    /// Returns the connections whose time is over, and marks them as closing.
    pub fn overdue(&mut self, now: Time, limits: ProgressLimits) -> Vec<ConnectionKey> {
        let connections = self.connections.iter_mut();
        let overdue = connections
            .filter(|(_, usage)| !usage.is_closing() && usage.is_overdue(now, limits))
            .map(|(key, usage)| {
                usage.set_closing();
                *key
            });
        overdue.collect()
    }

    /// Returns which limit `bytes` more bytes would exceed, none if they fit. `without_closing` leaves out what
    /// connections hold that are being closed.
    fn shortage(
        &self,
        key: ConnectionKey,
        bytes: u64,
        held_for: HeldFor,
        without_closing: bool,
    ) -> Option<Shortage> {
        let own = self.connections.get(&key);
        let service = own.and_then(ConnectionUsage::service);
        let mut buffered = Buffered {
            sum: self.buffered_bytes,
            requests: self.request_bytes,
            service: service.map(|service| (service, self.services.of(service))),
            own: own.map_or(0, |usage| usage.bytes_for(held_for)),
        };
        if without_closing {
            self.subtract_closing(&mut buffered);
        }
        self.buffer_limits()
            .shortage(buffered, bytes, held_for, || {
                let others = self.connections.iter().filter(|(other, usage)| {
                    **other != key && !(without_closing && usage.is_closing())
                });
                others.map(|(_, usage)| usage.large_bytes(held_for)).sum()
            })
    }

    /// Subtracts what is buffered for connections that are being closed.
    fn subtract_closing(&self, buffered: &mut Buffered) {
        for usage in self.connections.values().filter(|usage| usage.is_closing()) {
            let requests = usage.bytes_for(HeldFor::Request);
            buffered.sum = buffered.sum.saturating_sub(usage.buffered_bytes());
            buffered.requests = buffered.requests.saturating_sub(requests);
            let of_service = buffered.service.as_mut();
            let of_service = of_service.filter(|(service, _)| usage.service() == Some(*service));
            if let Some((_, bytes)) = of_service {
                bytes.sum = bytes.sum.saturating_sub(usage.buffered_bytes());
                bytes.requests = bytes.requests.saturating_sub(requests);
            }
        }
    }

    /// Returns whether there is room for `more` connections, now or once those are closed that are being
    /// closed.
    fn has_room_for(&self, more: u64) -> bool {
        let wanted = self.wanted(more);
        wanted.fit(self.limits) || wanted.without(self.closing_totals()).fit(self.limits)
    }

    /// Returns the totals with `more` connections.
    fn wanted(&self, more: u64) -> Totals {
        Totals {
            connections: self.connections.len() as u64 + more,
            bytes: self.connection_bytes + more * CONNECTION_BYTES,
            descriptors: self.descriptors + more,
        }
    }

    fn buffer_limits(&self) -> BufferLimits {
        BufferLimits {
            bytes: self.limits.buffer_bytes,
        }
    }

    /// Returns the totals of the connections that are being closed.
    fn closing_totals(&self) -> Totals {
        let closing = self.connections.values().filter(|usage| usage.is_closing());
        closing.fold(Totals::default(), |totals, usage| Totals {
            connections: totals.connections + 1,
            bytes: totals.bytes + usage.connection_bytes(),
            descriptors: totals.descriptors + usage.descriptors(),
        })
    }

    /// Chooses an idle connection to evict, `min_idle_ms` after it became idle at the earliest.
    fn evict_idle(&mut self, now: Time, min_idle_ms: u64) -> Room {
        let Some((key, usage)) = eviction::idle(self.connections.iter_mut(), now) else {
            return Room::Full;
        };
        let from = usage.stage_since().plus_millis(min_idle_ms);
        if from > now {
            return Room::At(from);
        }
        usage.set_closing();
        Room::Closing(key)
    }

    /// Chooses a connection with a request to evict: one whose caller doesn't take its response, or else one
    /// with pipelined requests.
    fn evict_busy(&mut self, now: Time) -> Room {
        let chosen = match eviction::slow(self.connections.iter_mut(), now) {
            Some((key, _)) => Some(key),
            None => eviction::pipelining(self.connections.iter_mut()).map(|(key, _)| key),
        };
        let Some(key) = chosen else {
            return Room::Full;
        };
        self.update(key, ConnectionUsage::set_closing);
        Room::Closing(key)
    }

    /// Chooses a connection to evict whose caller doesn't send or take what is buffered for it, and of which
    /// there is a shortage.
    fn evict_slow(&mut self, now: Time, asking: ConnectionKey, shortage: Shortage) -> Room {
        if now < self.search_at {
            return Room::Full;
        }
        let others = self.connections.iter_mut();
        let others = others.filter(|(key, usage)| **key != asking && usage.eases(shortage));
        let Some((key, usage)) = eviction::slow(others, now) else {
            self.search_at = now.plus_millis(SEARCH_INTERVAL_MS);
            return Room::Full;
        };
        usage.set_closing();
        Room::Closing(key)
    }

    /// Changes a connection, and the sums with it.
    fn update<F>(&mut self, key: ConnectionKey, change: F)
    where
        F: FnOnce(&mut ConnectionUsage),
    {
        let Some(usage) = self.connections.get_mut(&key) else {
            return;
        };
        let before = Contribution::of(usage);
        self.connection_bytes -= usage.connection_bytes();
        self.descriptors -= usage.descriptors();
        change(usage);
        self.services.replace(before, Contribution::of(usage));
        self.connection_bytes += usage.connection_bytes();
        self.descriptors += usage.descriptors();
    }
}
