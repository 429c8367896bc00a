//! Logic of a stand-in key-value service.

use std::collections::BTreeMap;

use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;

/// A value with its version and expiry.
#[derive(Clone, Debug)]
struct Entry {
    version: u64,
    value: Vec<u8>,
    expires: Option<Time>,
}

/// A stand-in key-value service.
#[derive(Debug, Default)]
pub(crate) struct Store {
    entries: BTreeMap<String, Entry>,
    revision: u64,
    /// Time until which it answers nothing.
    pub(crate) down_until: Time,
    /// Time until which it is slow.
    pub(crate) slow_until: Time,
}

impl Store {
    /// Runs a call.
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
