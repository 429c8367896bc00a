//! State of the key-value stand-in; time is handed in.

use std::collections::BTreeMap;
use std::collections::HashMap;

use bytes::Bytes;
use platform::LeaseId;
use platform::SwapOutcome;
use platform::Version;
use platform::Versioned;

/// Keys, versions and leases. All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct KeyValueStore {
    revision: Version,
    entries: BTreeMap<String, Entry>,
    leases: HashMap<LeaseId, Lease>,
    last_lease: u64,
}

#[derive(Clone, Debug)]
struct Entry {
    held: Versioned,
    lease: Option<LeaseId>,
}

#[derive(Clone, Copy, Debug)]
struct Lease {
    ttl_ms: u64,
    expires_at: u64,
}

impl KeyValueStore {
    /// Reads a key.
    pub fn get(&mut self, now: u64, key: &str) -> Option<Versioned> {
        self.expire(now);
        self.held(key)
    }

    /// Reads all keys that start with `prefix`, in their order.
    pub fn list(&mut self, now: u64, prefix: &str) -> Vec<(String, Versioned)> {
        self.expire(now);
        self.entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, entry)| (key.clone(), entry.held.clone()))
            .collect()
    }

    /// Writes a key if its version is `expected`; under a lapsed lease the key stays absent.
    pub fn compare_and_swap(
        &mut self,
        now: u64,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> SwapOutcome {
        self.expire(now);
        let held = self.held(key);
        if version_of(&held) != expected {
            return SwapOutcome::Conflict(held);
        }
        self.revision += 1;
        let version = self.revision;
        if lease.is_some_and(|lease| !self.leases.contains_key(&lease)) {
            self.entries.remove(key);
            return SwapOutcome::Written(version);
        }
        let held = Versioned { version, value };
        self.entries.insert(key.to_owned(), Entry { held, lease });
        SwapOutcome::Written(version)
    }

    /// Deletes a key if its version is `expected`.
    pub fn delete(&mut self, now: u64, key: &str, expected: Version) -> SwapOutcome {
        self.expire(now);
        let held = self.held(key);
        if version_of(&held) != expected {
            return SwapOutcome::Conflict(held);
        }
        self.entries.remove(key);
        SwapOutcome::Written(0)
    }

    /// Grants a lease.
    pub fn grant(&mut self, now: u64, ttl_ms: u64) -> LeaseId {
        self.expire(now);
        self.last_lease += 1;
        let lease = LeaseId(self.last_lease);
        let expires_at = now + ttl_ms;
        self.leases.insert(lease, Lease { ttl_ms, expires_at });
        lease
    }

    /// Renews a lease; `false` once it has lapsed.
    pub fn renew(&mut self, now: u64, lease: LeaseId) -> bool {
        self.expire(now);
        let Some(lease) = self.leases.get_mut(&lease) else {
            return false;
        };
        lease.expires_at = now + lease.ttl_ms;
        true
    }

    /// Returns the time at which the next lease lapses.
    pub fn next_expiry(&self) -> Option<u64> {
        self.leases.values().map(|lease| lease.expires_at).min()
    }

    fn held(&self, key: &str) -> Option<Versioned> {
        self.entries.get(key).map(|entry| entry.held.clone())
    }

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

fn version_of(held: &Option<Versioned>) -> Version {
    held.as_ref().map_or(0, |held| held.version)
}
