//! Room for a new connection or for more buffered bytes.

use policy::Time;

use crate::connection_key::ConnectionKey;

/// Whether there is room for a new connection, or for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Room {
    /// There is room.
    Free,
    /// There is, once this connection is closed.
    Closing(ConnectionKey),
    /// There may be at this time.
    At(Time),
    /// There is none.
    Full,
}

/// Outcome of opening a connection.
pub enum Opening<C> {
    /// It is open.
    Open(C),
    /// There is room once the task of another connection has run, which is being closed.
    Closing,
    /// There may be room for it at this time.
    At(Time),
    /// There is no room for it.
    Full,
}
