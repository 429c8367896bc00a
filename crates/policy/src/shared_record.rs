//! A record in the key-value service that several routers change.
//!
//! The record changes only by compare-and-swap. A router works on the copy it
//! last read or wrote, and has at most one request for it in flight.

use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::OpId;
use crate::StoreRequest;
use crate::StoreResult;

/// A router's copy of the record.
#[derive(Debug)]
pub(crate) struct SharedRecord<R> {
    key: &'static str,
    /// Version and content as last read or written; none if they may be outdated.
    last_known: Option<(u64, R)>,
    pending: Option<Pending<R>>,
}

/// A request to the key-value service that has no result yet.
#[derive(Debug)]
enum Pending<R> {
    Read(OpId),
    Write(OpId, R),
}

/// Status of the copy after a result.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordStatus {
    /// The result does not belong to this record.
    Unrelated,
    /// The content is known.
    Known,
    /// The content must be read again.
    Stale,
    /// The service is unreachable.
    Unavailable,
}

impl<R> SharedRecord<R>
where
    R: Clone + Default + DeserializeOwned + PartialEq + Serialize,
{
    /// Creates a copy whose content is not known yet.
    pub(crate) fn new(key: &'static str) -> SharedRecord<R> {
        SharedRecord {
            key,
            last_known: None,
            pending: None,
        }
    }

    /// Returns the content, if it is known.
    pub(crate) fn content(&self) -> Option<&R> {
        self.last_known.as_ref().map(|(_, content)| content)
    }

    /// Returns whether a request has no result yet.
    pub(crate) fn is_pending(&self) -> bool {
        self.pending.is_some()
    }

    /// Drops the content, so that it is read again.
    pub(crate) fn invalidate(&mut self) {
        self.last_known = None;
    }

    /// Returns the request that reads the record.
    pub(crate) fn read(&mut self, op: OpId) -> StoreRequest {
        self.pending = Some(Pending::Read(op));
        StoreRequest::Get {
            key: self.key.to_owned(),
        }
    }

    /// Returns the request that writes `next` over the known content.
    pub(crate) fn write(&mut self, op: OpId, next: R) -> StoreRequest {
        let value = serde_json::to_vec(&next).expect("a record is serializable to JSON");
        self.pending = Some(Pending::Write(op, next));
        StoreRequest::CompareAndSwap {
            key: self.key.to_owned(),
            expected: self.last_known.as_ref().map_or(0, |(version, _)| *version),
            value,
            expires: None,
        }
    }

    /// Applies the result of a request.
    pub(crate) fn on_result(&mut self, op: OpId, result: &StoreResult) -> RecordStatus {
        let pending = match self.pending.take() {
            Some(Pending::Read(own)) if own == op => Pending::Read(own),
            Some(Pending::Write(own, next)) if own == op => Pending::Write(own, next),
            other => {
                self.pending = other;
                return RecordStatus::Unrelated;
            }
        };
        self.last_known = match (pending, result) {
            (Pending::Write(_, next), StoreResult::Written { version }) => Some((*version, next)),
            (_, StoreResult::Value { version, value }) => parse(*version, value),
            (_, StoreResult::Conflict { held: Some(held) }) => parse(held.0, &held.1),
            (Pending::Read(_), StoreResult::Absent) => Some((0, R::default())),
            (_, StoreResult::Unavailable) => {
                self.last_known = None;
                return RecordStatus::Unavailable;
            }
            _ => None,
        };
        match self.last_known {
            Some(_) => RecordStatus::Known,
            None => RecordStatus::Stale,
        }
    }
}

fn parse<R>(version: u64, value: &[u8]) -> Option<(u64, R)>
where
    R: DeserializeOwned,
{
    let content = serde_json::from_slice(value).ok()?;
    Some((version, content))
}
