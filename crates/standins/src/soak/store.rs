//! Simulated key-value service.

use std::collections::BTreeMap;

use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;

/// A stored value.
#[derive(Clone, Debug)]
struct Entry {
    /// Revision of the store that wrote the value.
    version: u64,
    value: Vec<u8>,
    /// Time at which the value is removed, `None` for never.
    expires: Option<Time>,
}

/// Key-value service with compare-and-swap, shared by all routers.
#[derive(Debug, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Entry>,
    /// Number of writes so far.
    revision: u64,
    /// Time until which the service and the configuration stored in it are unavailable.
    pub(crate) down_until: Time,
    /// Time until which requests and responses take up to 3 s each.
    pub(crate) slow_until: Time,
}

impl Store {
    /// Removes expired values, then executes a call.
    pub(crate) fn call(&mut self, now: Time, request: &StoreRequest) -> StoreResult {
        self.entries
            .retain(|_, e| e.expires.is_none_or(|at| at > now));
        match request {
            StoreRequest::Get { key } => match self.entries.get(key) {
                Some(entry) => StoreResult::Value {
                    version: entry.version,
                    value: entry.value.clone(),
                },
                None => StoreResult::Absent,
            },
            StoreRequest::CompareAndSwap {
                key,
                expected,
                value,
                expires,
            } => self.swap(key, *expected, value, *expires),
        }
    }

    fn swap(
        &mut self,
        key: &str,
        expected: u64,
        value: &[u8],
        expires: Option<Time>,
    ) -> StoreResult {
        let held = self.entries.get(key);
        if held.map_or(0, |e| e.version) != expected {
            let held = held.map(|e| (e.version, e.value.clone()));
            return StoreResult::Conflict { held };
        }
        self.revision += 1;
        let entry = Entry {
            version: self.revision,
            value: value.to_vec(),
            expires,
        };
        self.entries.insert(key.to_owned(), entry);
        StoreResult::Written {
            version: self.revision,
        }
    }
}
