//! Stand-in for the store from which engines load weights.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use tokio::time::sleep;

/// A weight store that slows down when too many engines load at the same time.
///
/// Clones share its state.
#[derive(Clone, Debug)]
pub struct WeightStore {
    load_ms: u64,
    loads_at_once: u32,
    loads: Arc<Mutex<LoadCounts>>,
}

/// Number of loads in progress: now, and the maximum so far.
#[derive(Debug, Default)]
struct LoadCounts {
    current: u32,
    highest: u32,
}

impl WeightStore {
    /// Creates a store from which a load takes `load_ms`.
    ///
    /// It takes proportionally longer when more than `loads_at_once` engines load.
    pub fn new(load_ms: u64, loads_at_once: u32) -> WeightStore {
        WeightStore {
            load_ms,
            loads_at_once: loads_at_once.max(1),
            loads: Arc::default(),
        }
    }

    /// Returns the largest number of engines that were loading at the same time.
    pub fn highest_loads(&self) -> u32 {
        self.loads().highest
    }

    /// Sleeps for the time that a load takes.
    pub(crate) async fn load(&self) {
        let load = LoadGuard::begin(self);
        let slowdown = load.current.div_ceil(self.loads_at_once);
        sleep(Duration::from_millis(self.load_ms * u64::from(slowdown))).await;
    }

    fn loads(&self) -> MutexGuard<'_, LoadCounts> {
        self.loads.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A load in progress; dropping it ends the load.
struct LoadGuard<'a> {
    store: &'a WeightStore,
    current: u32,
}

impl LoadGuard<'_> {
    fn begin(store: &WeightStore) -> LoadGuard<'_> {
        let mut loads = store.loads();
        loads.current += 1;
        loads.highest = loads.highest.max(loads.current);
        LoadGuard {
            store,
            current: loads.current,
        }
    }
}

impl Drop for LoadGuard<'_> {
    fn drop(&mut self) {
        self.store.loads().current -= 1;
    }
}
