//! Requests to the platform's key-value service.

use crate::Time;

/// A request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read a key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Write a key if its version is `expected` (0 if absent).
    CompareAndSwap {
        /// Key to write.
        key: String,
        /// Version that the key must have.
        expected: u64,
        /// Value to write.
        value: Vec<u8>,
        /// Time after which the service may drop the key; none to keep it.
        ///
        /// Only a few distinct times are used, so that all keys with the same
        /// time can share a lease that is granted once and never renewed.
        expires: Option<Time>,
    },
}

/// Result of a request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The key has this value.
    Value {
        /// Version of the key.
        version: u64,
        /// Value of the key.
        value: Vec<u8>,
    },
    /// The key is absent.
    Absent,
    /// The value was written.
    Written {
        /// New version of the key.
        version: u64,
    },
    /// The key has another version than expected.
    Conflict {
        /// Version and value of the key; none if it is absent.
        held: Option<(u64, Vec<u8>)>,
    },
    /// The request may have taken effect, but its response was lost.
    ResponseLost,
    /// The request did not take effect.
    Unavailable,
}
