//! Store client wrapper that measures the duration and outcome of each call.

use std::future::Future;
use std::rc::Rc;

use futures::future::LocalBoxFuture;
use futures::FutureExt;
use prometheus::HistogramVec;
use relay::Revision;

use crate::clock::now;
use crate::store::CommitOutcome;
use crate::store::LeaseId;
use crate::store::Listing;
use crate::store::RecordWrite;
use crate::store::Store;
use crate::store::StoreError;
use crate::store::Topic;
use crate::store::WatchResult;

/// Store client whose calls are measured.
pub struct MeasuredStore {
    store: Rc<dyn Store>,
    calls: HistogramVec,
}

impl MeasuredStore {
    /// Wraps `store`; `calls` receives durations in seconds, labelled by call and outcome.
    pub fn new(store: Rc<dyn Store>, calls: HistogramVec) -> MeasuredStore {
        MeasuredStore { store, calls }
    }

    async fn measure<F, T>(&self, call: &'static str, future: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let sent_at = now();
        let result = future.await;
        let outcome = match &result {
            Ok(_) => "ok",
            Err(StoreError::Refused { .. }) => "refused",
            Err(StoreError::TooLarge { .. }) => "too_large",
            Err(StoreError::Unanswered { .. }) => "unanswered",
        };
        let took = now().micros_since(sent_at) as f64 / 1_000_000.0;
        let calls = self.calls.with_label_values(&[call, outcome]);
        calls.observe(took);
        result
    }
}

impl Store for MeasuredStore {
    fn era(&self) -> Option<u64> {
        self.store.era()
    }

    fn list(&self, topic: Topic) -> LocalBoxFuture<'_, Result<Listing, StoreError>> {
        self.measure("list", self.store.list(topic)).boxed_local()
    }

    fn watch(
        &self,
        topic: Topic,
        after: Revision,
        wait_ms: u64,
    ) -> LocalBoxFuture<'_, Result<WatchResult, StoreError>> {
        let future = self.store.watch(topic, after, wait_ms);
        self.measure("watch", future).boxed_local()
    }

    fn commit(
        &self,
        writes: Vec<RecordWrite>,
    ) -> LocalBoxFuture<'_, Result<CommitOutcome, StoreError>> {
        let future = self.store.commit(writes);
        self.measure("commit", future).boxed_local()
    }

    fn grant(&self, ttl_ms: u64) -> LocalBoxFuture<'_, Result<LeaseId, StoreError>> {
        let future = self.store.grant(ttl_ms);
        self.measure("grant", future).boxed_local()
    }

    fn renew(&self, lease: LeaseId) -> LocalBoxFuture<'_, Result<bool, StoreError>> {
        self.measure("renew", self.store.renew(lease)).boxed_local()
    }
}
