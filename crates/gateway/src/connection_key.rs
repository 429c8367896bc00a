//! Keys of connections.

/// Key of an open connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionKey(pub(crate) u64);
