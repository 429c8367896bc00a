//! Notices that this process was paused, by a signal or with its VM.

use std::cell::Cell;
use std::time::Duration;

use policy::Arrival;
use policy::Time;
use tokio::time::sleep;

use crate::clock::now;
use crate::log_event::LogEvent;
use crate::process_event::ProcessEvent;

/// Interval at which a process notes that it runs.
const NOTE_INTERVAL: Duration = Duration::from_millis(50);

/// Time within which a signal to stop is handled after a pause, in milliseconds. A stop ends earlier by up
/// to twice this time.
const SIGNAL_DELAY_MS: u64 = 250;

/// Time without a note after which the process counts as paused, in milliseconds.
const MAX_GAP_MS: u64 = 300;

/// Time without a note after which what is read may have waited for as long, in milliseconds. With the
/// time for which requests may wait at engines it stays below the margin of the weights' due time.
const MAX_WAIT_GAP_MS: u64 = 150;

/// Longest time after a gap in which what has waited is read, in milliseconds.
const MAX_BACKLOG_MS: u64 = 1_000;

/// A time without a note, after which what is read may have waited.
#[derive(Clone, Copy)]
struct Gap {
    /// The process certainly ran then.
    begun_at: Time,
    /// All that has waited is read by then.
    read_until: Time,
}

/// Notices that this process was paused.
pub struct PauseWatch {
    /// When the process last noted that it runs.
    noted_at: Cell<Time>,
    /// A note some time ago, and one before that, at which no signal to stop had come.
    marked_at: Cell<Time>,
    alive_at: Cell<Time>,
    /// When the latest pause ended; none if there was none.
    resumed_at: Cell<Option<Time>>,
    /// The latest gap, or several with less time between than it takes to read what has waited.
    gap: Cell<Option<Gap>>,
}

impl PauseWatch {
    /// Returns the watch of a process that runs.
    pub fn new(now: Time) -> PauseWatch {
        PauseWatch {
            noted_at: Cell::new(now),
            marked_at: Cell::new(now),
            alive_at: Cell::new(now),
            resumed_at: Cell::new(None),
            gap: Cell::new(None),
        }
    }

    /// Notes that the process runs, at an interval, and logs pauses.
    pub async fn run(&self) {
        loop {
            if let Some(paused_ms) = self.note(now()) {
                ProcessEvent::Resumed { paused_ms }.write();
            }
            sleep(NOTE_INTERVAL).await;
        }
    }

    /// Notes that the process runs. Returns the length in milliseconds of the pause that ends, if it was
    /// paused. After a pause this may come before a signal is handled, so `alive_at` is late.
    pub fn note(&self, now: Time) -> Option<u64> {
        let noted_at = self.noted_at.replace(now);
        if now.millis_since(self.marked_at.get()) >= SIGNAL_DELAY_MS {
            self.alive_at.set(self.marked_at.replace(now));
        }
        let gap_ms = now.millis_since(noted_at);
        if gap_ms > MAX_WAIT_GAP_MS {
            self.gap.set(Some(Gap {
                begun_at: self.unread_since(noted_at).unwrap_or(noted_at),
                read_until: now.plus_millis(gap_ms.min(MAX_BACKLOG_MS)),
            }));
        }
        if gap_ms <= MAX_GAP_MS {
            return None;
        }
        self.resumed_at.set(Some(now));
        Some(gap_ms)
    }

    /// Returns when what is read at `now` arrived.
    pub fn arrival(&self, now: Time) -> Arrival {
        let noted_at = self.noted_at.get();
        let is_in_gap = now.millis_since(noted_at) > MAX_WAIT_GAP_MS;
        let read_from = if is_in_gap { noted_at } else { now };
        Arrival::between(self.unread_since(read_from).unwrap_or(read_from), now)
    }

    /// Returns since when messages may wait unread at `at`, if some may have waited in a gap before.
    fn unread_since(&self, at: Time) -> Option<Time> {
        let gap = self.gap.get()?;
        (at < gap.read_until).then_some(gap.begun_at)
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
