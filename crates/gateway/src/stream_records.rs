//! What a router keeps for the records of streams in the store.

use std::cell::Cell;
use std::cell::RefCell;

use policy::Time;
use relay::StoredStreams;
use relay::StreamBatches;
use tokio::sync::Mutex;
use tokio::sync::Notify;

/// What a router keeps for the records of streams.
#[derive(Default)]
pub struct StreamRecords {
    /// Streams that this router is to write.
    pub batches: RefCell<StreamBatches>,
    /// Wakes the task that writes them.
    pub added: Notify,
    /// Streams that the store had at the last reading.
    pub stored: RefCell<StoredStreams>,
    /// When that reading began.
    pub read_at: Cell<Option<Time>>,
    /// Held while the records are read.
    pub reading: Mutex<()>,
}
