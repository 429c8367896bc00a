//! Calls to the platform's key-value service.

use crate::Time;

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreRequest {
    /// Read a key.
    Get {
        /// Key.
        key: String,
    },
    /// Write a key if its version is `expected` (0: absent).
    CompareAndSwap {
        /// Key.
        key: String,
        /// Version that the key must have.
        expected: u64,
        /// Value to write.
        value: Vec<u8>,
        /// Time after which the service may drop the key; none to keep it.
        ///
        /// Few distinct times are asked for, so that all keys of one time can
        /// hang on one lease that is granted once and never renewed.
        expires: Option<Time>,
    },
}

/// Result of a call to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreResult {
    /// The key holds this.
    Value {
        /// Version of the key.
        version: u64,
        /// Value of the key.
        value: Vec<u8>,
    },
    /// The key is absent.
    Absent,
    /// The value was written under this version.
    Written {
        /// Version of the key.
        version: u64,
    },
    /// The key had another version; this is what it holds, none if absent.
    Conflict {
        /// Version and value of the key.
        held: Option<(u64, Vec<u8>)>,
    },
    /// The call may have taken effect, but its answer was lost.
    ResponseLost,
    /// The call did not take effect.
    Unavailable,
}
