//! State of the key-value stand-in, which reads no clock: the current time is passed as an argument.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;
use platform::LeaseId;
use platform::SwapOutcome;
use platform::Version;
use platform::Versioned;

/// Keys with versions, values and leases. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct KeyValueStore {
    revision: Version,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    last_lease_id: u64,
}

/// The value of a key, with the lease under which it was written.
#[derive(Clone, Debug)]
struct Entry {
    stored: Versioned,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at: u64,
}

impl KeyValueStore {
    /// Returns the value of a key with its version.
    pub fn get(&mut self, now: u64, key: &str) -> Option<Versioned> {
        self.expire(now);
        self.stored(key)
    }

    /// Returns all keys that start with `prefix`, in ascending order.
    pub fn list(&mut self, now: u64, prefix: &str) -> Vec<(String, Versioned)> {
        self.expire(now);
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.clone(), entry.stored.clone()))
            .collect()
    }

    /// Writes a key if its version is `expected`, where 0 stands for an absent key.
    ///
    /// A write under an expired lease succeeds and removes the key at once.
    pub fn compare_and_swap(
        &mut self,
        now: u64,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> SwapOutcome {
        self.expire(now);
        let stored = self.stored(key);
        if version_of(&stored) != expected {
            return SwapOutcome::Conflict(stored);
        }
        self.revision += 1;
        let version = self.revision;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            self.entries.remove(key);
            return SwapOutcome::Written(version);
        }
        let stored = Versioned { version, value };
        self.entries.insert(key.to_owned(), Entry { stored, lease });
        SwapOutcome::Written(version)
    }

    /// Deletes a key if its version is `expected`.
    pub fn delete(&mut self, now: u64, key: &str, expected: Version) -> SwapOutcome {
        self.expire(now);
        let stored = self.stored(key);
        if version_of(&stored) != expected {
            return SwapOutcome::Conflict(stored);
        }
        self.entries.remove(key);
        SwapOutcome::Written(0)
    }

    /// Grants a lease that expires after `ttl_ms` unless it is renewed.
    pub fn grant(&mut self, now: u64, ttl_ms: u64) -> LeaseId {
        self.expire(now);
        self.last_lease_id += 1;
        let lease = LeaseId(self.last_lease_id);
        let expires_at = now + ttl_ms;
        self.leases.insert(lease, Lease { ttl_ms, expires_at });
        lease
    }

    /// Renews a lease; returns `false` if it has expired.
    pub fn renew(&mut self, now: u64, lease: LeaseId) -> bool {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl_ms;
        true
    }

    /// Returns the time at which the next lease expires.
    pub fn next_expiry(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    fn stored(&self, key: &str) -> Option<Versioned> {
        self.entries.get(key).map(|entry| entry.stored.clone())
    }

    /// Removes expired leases and the keys written under them.
    fn expire(&mut self, now: u64) {
        if self.next_expiry().is_none_or(|at| at > now) {
            return;
        }
        self.leases.retain(|_, lease| lease.expires_at > now);
        let leases = &self.leases;
        self.entries
            .retain(|_, entry| entry.lease.is_none_or(|lease| leases.contains_key(&lease)));
    }
}

/// Returns the version of a value, or 0 for an absent key.
fn version_of(stored: &Option<Versioned>) -> Version {
    stored.as_ref().map_or(0, |stored| stored.version)
}
