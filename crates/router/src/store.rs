//! The node's calls to the key-value service.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use bytes::Bytes;
use platform::Error;
use platform::KeyValue;
use platform::LeaseId;
use platform::Result;
use platform::SwapOutcome;
use platform::Versioned;
use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;

use crate::clock;

/// The node's calls to the key-value service.
pub struct Store {
    key_value: Arc<dyn KeyValue>,
    /// Leases under which keys are written, by the time at which they lapse.
    leases: Mutex<BTreeMap<Time, LeaseId>>,
}

impl Store {
    /// Calls `key_value`.
    pub fn new(key_value: Arc<dyn KeyValue>) -> Store {
        Store {
            key_value,
            leases: Mutex::default(),
        }
    }

    /// Runs one call and returns its result in the words of the node.
    pub async fn run(&self, request: StoreRequest) -> StoreResult {
        match request {
            StoreRequest::Get { key } => self.get(&key).await,
            StoreRequest::CompareAndSwap {
                key,
                expected,
                value,
                expires,
            } => self.swap(&key, expected, value, expires).await,
        }
    }

    async fn get(&self, key: &str) -> StoreResult {
        match self.key_value.get(key).await {
            Ok(Some(held)) => value(held),
            Ok(None) => StoreResult::Absent,
            Err(_) => StoreResult::Unavailable,
        }
    }

    async fn swap(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        expires: Option<Time>,
    ) -> StoreResult {
        let Ok(lease) = self.lease(expires).await else {
            return StoreResult::Unavailable;
        };
        let value = Bytes::from(value);
        match self
            .key_value
            .compare_and_swap(key, expected, value, lease)
            .await
        {
            Ok(SwapOutcome::Written(version)) => StoreResult::Written { version },
            Ok(SwapOutcome::Conflict(held)) => conflict(held),
            Err(e) => {
                self.forget(expires);
                failed_write(&e)
            }
        }
    }

    /// Returns the lease under which a key is written that expires then.
    async fn lease(&self, expires: Option<Time>) -> Result<Option<LeaseId>> {
        let Some(at) = expires else {
            return Ok(None);
        };
        let now = clock::now();
        let held = self.leases().get(&at).copied();
        if held.is_some() {
            return Ok(held);
        }
        let lease = self.key_value.grant(at.millis_since(now).max(1)).await?;
        let mut leases = self.leases();
        leases.retain(|lapses, _| *lapses > now);
        leases.insert(at, lease);
        Ok(Some(lease))
    }

    /// Forgets a lease, for it may be what the service refused.
    fn forget(&self, expires: Option<Time>) {
        if let Some(at) = expires {
            self.leases().remove(&at);
        }
    }

    fn leases(&self) -> std::sync::MutexGuard<'_, BTreeMap<Time, LeaseId>> {
        self.leases.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn value(held: Versioned) -> StoreResult {
    StoreResult::Value {
        version: held.version,
        value: held.value.into(),
    }
}

fn conflict(held: Option<Versioned>) -> StoreResult {
    StoreResult::Conflict {
        held: held.map(|held| (held.version, held.value.into())),
    }
}

fn failed_write(error: &Error) -> StoreResult {
    match error {
        Error::Unreachable { .. } | Error::Refused { .. } => StoreResult::Unavailable,
        Error::ResponseLost { .. } | Error::InvalidResponse { .. } => StoreResult::ResponseLost,
    }
}
