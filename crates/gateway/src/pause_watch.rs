//! Notices that this process was paused, by a signal or with its VM.

use std::cell::Cell;
use std::time::Duration;

use policy::Time;
use tokio::time::sleep;

use crate::clock::now;

/// Interval at which a process notes that it runs. A stop ends earlier by up to twice this time.
const ALIVE_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a note after which the process counts as paused, in milliseconds.
const MAX_GAP_MS: u64 = 500;

/// Notices that this process was paused.
pub struct PauseWatch {
    /// When the process last noted that it runs.
    noted_at: Cell<Time>,
    /// The time noted before, at which no signal to stop had come.
    alive_at: Cell<Time>,
    /// When the latest pause ended; none if there was none.
    resumed_at: Cell<Option<Time>>,
}

impl PauseWatch {
    /// Returns the watch of a process that runs.
    pub fn new(now: Time) -> PauseWatch {
        PauseWatch {
            noted_at: Cell::new(now),
            alive_at: Cell::new(now),
            resumed_at: Cell::new(None),
        }
    }

    /// Notes that the process runs, at an interval.
    pub async fn run(&self) {
        loop {
            self.note(now());
            sleep(ALIVE_INTERVAL).await;
        }
    }

    /// Notes that the process runs. `alive_at` is a note late: after a pause this may come before the
    /// signal is handled.
    pub fn note(&self, now: Time) {
        let noted_at = self.noted_at.replace(now);
        self.alive_at.set(noted_at);
        if now.millis_since(noted_at) > MAX_GAP_MS {
            self.resumed_at.set(Some(now));
        }
    }

    /// Returns when the process was last seen to run without a signal to stop.
    pub fn alive_at(&self) -> Time {
        self.alive_at.get()
    }

    /// Returns whether the process was paused at some time between `since` and `now`. What came over
    /// its connections meanwhile, and how they were closed and opened, isn't known then.
    pub fn was_paused(&self, since: Time, now: Time) -> bool {
        let has_resumed = self.resumed_at.get().is_some_and(|at| at >= since);
        has_resumed || now.millis_since(self.noted_at.get()) > MAX_GAP_MS
    }
}
