//! Counts calls of the key-value service.

use std::sync::Arc;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;
use platform::Change;
use platform::Error;
use platform::KeyValue;
use platform::LeaseId;
use platform::Result;
use platform::SwapOutcome;
use platform::Version;
use platform::Versioned;

use crate::Metrics;

/// A key-value service whose calls are counted by kind and result.
pub struct CountedKeyValue {
    inner: Arc<dyn KeyValue>,
    metrics: Arc<Metrics>,
}

impl CountedKeyValue {
    /// Counts the calls of `inner`.
    pub fn new(inner: Arc<dyn KeyValue>, metrics: Arc<Metrics>) -> CountedKeyValue {
        CountedKeyValue { inner, metrics }
    }

    fn count<'a, T>(
        &'a self,
        kind: &'static str,
        call: BoxFuture<'a, Result<T>>,
    ) -> BoxFuture<'a, Result<T>>
    where
        T: Send + 'a,
    {
        let metrics = &self.metrics;
        call.inspect(move |result| metrics.on_platform_call(kind, word(result)))
            .boxed()
    }
}

/// Returns the word for a result in counters.
pub fn word<T>(result: &Result<T>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(Error::Unreachable { .. }) => "unreached",
        Err(Error::ResponseLost { .. }) => "answer_lost",
        Err(Error::Refused { .. }) => "refused",
        Err(Error::InvalidResponse { .. }) => "bad_answer",
    }
}

impl KeyValue for CountedKeyValue {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        self.count("get", self.inner.get(key))
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        self.count("list", self.inner.list(prefix))
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>> {
        let call = self.inner.compare_and_swap(key, expected, value, lease);
        self.count("compare_and_swap", call)
    }

    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        self.count("delete", self.inner.delete(key, expected))
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>> {
        self.count("grant", self.inner.grant(ttl_ms))
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>> {
        self.count("renew", self.inner.renew(lease))
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        self.count("watch", self.inner.watch(key, seen, wait_ms))
    }
}
