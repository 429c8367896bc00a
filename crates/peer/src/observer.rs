//! What the protocol has counted.

/// Counts what passes between routers.
pub trait Observer: Send + Sync {
    /// Bytes were sent.
    fn on_sent(&self, bytes: u64);

    /// Bytes were received.
    fn on_received(&self, bytes: u64);

    /// A stranger's connection was refused.
    fn on_refused(&self);

    /// Messages were dropped, because their router can't be reached or is slow.
    fn on_dropped(&self, messages: u64);

    /// A message was received that is not well formed.
    fn on_bad_message(&self);
}
