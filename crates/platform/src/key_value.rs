//! Interface of the key-value service.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::Result;

/// Version of a key, which increases with each write of the key; 0 means that the key is absent.
pub type Version = u64;

/// Id of a lease that the service granted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// Version of the key.
    pub version: Version,
    /// Value of the key.
    pub value: Bytes,
}

/// Outcome of a compare-and-swap.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SwapOutcome {
    /// The write or deletion took effect; holds the new version.
    Written(Version),
    /// The key's version differs from the expected one; holds the current value, none if absent.
    Conflict(Option<Versioned>),
}

/// Current state of a watched key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Watched key.
    pub key: String,
    /// Value of the key, none if it is absent.
    pub value: Option<Versioned>,
}

/// Client of the platform's key-value service.
pub trait KeyValue: Send + Sync {
    /// Reads a key; returns none if it is absent.
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>>;

    /// Reads all keys that start with `prefix`, in key order.
    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>>;

    /// Writes a key if its version is `expected` (0: absent). A key with a
    /// lease is deleted when the lease expires.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>>;

    /// Deletes a key if its version is `expected`.
    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>>;

    /// Grants a lease that expires unless renewed within `ttl_ms` milliseconds.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>>;

    /// Renews a lease; returns `false` if it has expired.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>>;

    /// Long poll: waits until the version of `key` differs from `seen`, at most
    /// `wait_ms` milliseconds, and returns the key's current state.
    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>>;
}
