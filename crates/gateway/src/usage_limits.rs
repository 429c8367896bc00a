//! Limits on the connections of one port, and the totals that they apply to.

/// Limits on all connections of one port together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UsageLimits {
    /// Bytes of requests and responses.
    pub buffer_bytes: u64,
    /// Bytes of connections without a whole head.
    pub connection_bytes: u64,
    /// Open connections.
    pub connections: u64,
    /// Descriptors of connections and of those to backend servers that their requests need.
    pub descriptors: u64,
    /// Time for which a connection is idle or has a part of a head before it may be evicted for a new
    /// one, in milliseconds.
    pub min_idle_ms: u64,
}

/// Number, memory and descriptors of connections, without what is buffered for them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Number of connections.
    pub connections: u64,
    /// Their memory.
    pub bytes: u64,
    /// Their descriptors, and those of the connections to backend servers that their requests need.
    pub descriptors: u64,
}

impl Totals {
    /// Returns these totals less others.
    pub fn without(self, other: Totals) -> Totals {
        Totals {
            connections: self.connections - other.connections,
            bytes: self.bytes - other.bytes,
            descriptors: self.descriptors - other.descriptors,
        }
    }

    /// Returns whether the limits hold for them.
    pub fn fit(self, limits: UsageLimits) -> bool {
        self.connections <= limits.connections
            && self.bytes <= limits.connection_bytes
            && self.descriptors <= limits.descriptors
    }
}
