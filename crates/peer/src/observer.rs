//! Counters of the traffic between routers.

/// Receives the counts of the traffic between routers, for metrics.
pub trait Observer: Send + Sync {
    /// Called after bytes were sent.
    fn on_sent(&self, bytes: u64);

    /// Called after bytes were received.
    fn on_received(&self, bytes: u64);

    /// Called when an incoming connection was refused: its handshake failed, or
    /// too many connections are open.
    fn on_refused(&self);

    /// Called with the number of messages dropped because the receiving router
    /// is unreachable or slow; it may be 0.
    fn on_dropped(&self, messages: u64);

    /// Called when a received message could not be decoded.
    fn on_bad_message(&self);
}
