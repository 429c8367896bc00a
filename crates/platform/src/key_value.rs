//! The key-value service.

use bytes::Bytes;
use futures::future::BoxFuture;

use crate::Result;

/// Version of a key; grows with each write of the key, 0 for an absent key.
pub type Version = u64;

/// Name of a lease that the service granted.
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
    /// The value was written under this version.
    Written(Version),
    /// The key had another version; this is what it holds.
    Conflict(Option<Versioned>),
}

/// What a watch saw: the key's value after the change, or its absence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Change {
    /// Key that changed.
    pub key: String,
    /// Its value, none once deleted.
    pub value: Option<Versioned>,
}

/// The platform's key-value service.
pub trait KeyValue: Send + Sync {
    /// Reads a key.
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>>;

    /// Reads all keys that start with `prefix`, in their order.
    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>>;

    /// Writes a key if its version is `expected` (0: absent). A key with a
    /// lease is deleted once the lease has lapsed.
    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>>;

    /// Deletes a key if its version is `expected`.
    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>>;

    /// Grants a lease that lapses unless renewed within `ttl_ms`.
    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>>;

    /// Renews a lease; `false` once it has lapsed.
    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>>;

    /// Waits until `key` has a version other than `seen`, or until `wait_ms`
    /// have gone by, and returns what it holds then.
    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>>;
}
