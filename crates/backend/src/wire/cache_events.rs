//! Messages about changes of an engine's cache.

use serde::Deserialize;
use serde::Serialize;

use crate::CacheEvent;
use crate::CacheEvents;

/// Request of [`path::CACHE_EVENTS`](super::path::CACHE_EVENTS).
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
pub struct CacheEventsMessage {
    /// Last incarnation of the engine that the router has seen, 0 for none.
    pub incarnation: u64,
    /// Sequence number of the first event to return.
    pub sequence: u64,
    /// Maximum time to wait for an event, in milliseconds.
    pub wait_ms: u64,
}

/// Response of [`path::CACHE_EVENTS`](super::path::CACHE_EVENTS).
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct CacheEventsResponse {
    /// Incarnation of the engine.
    pub incarnation: u64,
    /// Sequence number of the first event.
    pub first_sequence: u64,
    /// Events in the order of their sequence numbers.
    pub events: Vec<CacheEventRecord>,
}

/// Wire form of [`CacheEvent`]; the number is the block's key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum CacheEventRecord {
    /// A block was added.
    Stored(u64),
    /// A block was removed.
    Evicted(u64),
}

impl From<CacheEvent> for CacheEventRecord {
    fn from(event: CacheEvent) -> CacheEventRecord {
        match event {
            CacheEvent::Stored(key) => CacheEventRecord::Stored(key),
            CacheEvent::Evicted(key) => CacheEventRecord::Evicted(key),
        }
    }
}

impl From<CacheEventRecord> for CacheEvent {
    fn from(record: CacheEventRecord) -> CacheEvent {
        match record {
            CacheEventRecord::Stored(key) => CacheEvent::Stored(key),
            CacheEventRecord::Evicted(key) => CacheEvent::Evicted(key),
        }
    }
}

impl From<CacheEvents> for CacheEventsResponse {
    fn from(events: CacheEvents) -> CacheEventsResponse {
        CacheEventsResponse {
            incarnation: events.incarnation,
            first_sequence: events.first_sequence,
            events: events.events.into_iter().map(Into::into).collect(),
        }
    }
}

impl From<CacheEventsResponse> for CacheEvents {
    fn from(response: CacheEventsResponse) -> CacheEvents {
        CacheEvents {
            incarnation: response.incarnation,
            first_sequence: response.first_sequence,
            events: response.events.into_iter().map(Into::into).collect(),
        }
    }
}
