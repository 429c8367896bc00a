//! Requests to the key-value service for idempotency records, until their result.

use std::collections::BTreeMap;

use crate::idempotency_record::Claim;
use crate::idempotency_record::RecordState;
use crate::CallId;
use crate::OpId;
use crate::StoreRequest;
use crate::Time;

/// Purpose of a request to the key-value service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OpKind {
    /// Claim a record that has this version, 0 if it is absent.
    Claim { expected_version: u64 },
    /// Read a claim back after the response to its write was lost.
    ReadBack,
    /// Write the result of the call.
    Finish(RecordState),
}

/// A request to the key-value service that has no result yet, or waits for a retry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoreOp {
    pub(crate) call: CallId,
    pub(crate) claim: Claim,
    pub(crate) kind: OpKind,
    /// Number of retries so far.
    pub(crate) tries: u32,
    /// Time after which it is not retried.
    pub(crate) give_up_at: Time,
}

/// All requests for idempotency records without a final result.
#[derive(Debug, Default)]
pub(crate) struct StoreOps {
    next: u64,
    ops: BTreeMap<OpId, StoreOp>,
}

impl StoreOps {
    /// Returns a new id, for a request that is tracked here or elsewhere.
    pub(crate) fn next_id(&mut self) -> OpId {
        self.next += 1;
        OpId(self.next)
    }

    /// Adds a request and returns its id.
    pub(crate) fn add(&mut self, op: StoreOp) -> OpId {
        let id = self.next_id();
        self.ops.insert(id, op);
        id
    }

    /// Removes and returns the request with this id.
    pub(crate) fn take(&mut self, id: OpId) -> Option<StoreOp> {
        self.ops.remove(&id)
    }

    /// Returns whether there are no requests.
    pub(crate) fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }
}

impl StoreOp {
    /// Builds the request to the key-value service.
    pub(crate) fn request(&self) -> StoreRequest {
        let key = self.claim.key.clone();
        match &self.kind {
            OpKind::ReadBack => StoreRequest::Get { key },
            OpKind::Claim { expected_version } => {
                self.swap(key, *expected_version, RecordState::Claimed)
            }
            OpKind::Finish(state) => self.swap(key, self.claim.version, state.clone()),
        }
    }

    fn swap(&self, key: String, expected: u64, state: RecordState) -> StoreRequest {
        StoreRequest::CompareAndSwap {
            key,
            expected,
            value: self.claim.encode(state),
            expires: Some(self.claim.expires),
        }
    }
}
