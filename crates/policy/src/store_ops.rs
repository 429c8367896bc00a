//! Calls to the key-value service that have no result yet.

use std::collections::BTreeMap;

use crate::idempotency_record::Claim;
use crate::idempotency_record::RecordState;
use crate::CallId;
use crate::OpId;
use crate::StoreRequest;
use crate::Time;

/// What a call to the key-value service is for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum OpKind {
    /// Claim a record over this version, 0 for an absent one.
    Claim { expected_version: u64 },
    /// Settle a claim whose answer was lost.
    ReadBack,
    /// Write what became of the call.
    Finish(RecordState),
}

/// A call to the key-value service that has no result yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct StoreOp {
    pub(crate) call: CallId,
    pub(crate) claim: Claim,
    pub(crate) kind: OpKind,
    pub(crate) tries: u32,
    /// Time after which it isn't tried again.
    pub(crate) give_up_at: Time,
}

/// All calls to the key-value service that have no result yet.
#[derive(Debug, Default)]
pub(crate) struct StoreOps {
    next: u64,
    ops: BTreeMap<OpId, StoreOp>,
}

impl StoreOps {
    /// Returns a name for a call that is kept elsewhere.
    pub(crate) fn next_id(&mut self) -> OpId {
        self.next += 1;
        OpId(self.next)
    }

    /// Adds a call and gives it a name.
    pub(crate) fn add(&mut self, op: StoreOp) -> OpId {
        let id = self.next_id();
        self.ops.insert(id, op);
        id
    }

    /// Takes a call out.
    pub(crate) fn take(&mut self, id: OpId) -> Option<StoreOp> {
        self.ops.remove(&id)
    }

    /// Tells whether nothing is outstanding.
    pub(crate) fn is_empty(&self) -> bool {
        self.ops.is_empty()
    }
}

impl StoreOp {
    /// Returns the request to the key-value service.
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
