//! Simulated key-value service.

use std::collections::BTreeMap;

use policy::StoreRequest;
use policy::StoreResult;

/// Keys with their versions and values.
#[derive(Clone, Debug, Default)]
pub struct Store {
    entries: BTreeMap<String, (u64, Vec<u8>)>,
}

impl Store {
    /// Executes a request and returns its result.
    pub fn handle(&mut self, request: StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get { key } => match self.entries.get(&key).cloned() {
                Some((version, value)) => StoreResult::Value { version, value },
                None => StoreResult::Absent,
            },
            StoreRequest::CompareAndSwap {
                key,
                expected,
                value,
                ..
            } => {
                let held = self.entries.get(&key).cloned();
                let version = held.as_ref().map_or(0, |(version, _)| *version);
                if version != expected {
                    return StoreResult::Conflict { held };
                }
                self.entries.insert(key, (version + 1, value));
                StoreResult::Written {
                    version: version + 1,
                }
            }
        }
    }
}
