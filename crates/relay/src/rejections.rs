//! Rejections in a row by one backend server, and how long it gets no requests because of them.
//!
//! A server that rejects requests although it has free slots carries out an order or has no memory
//! left, and goes on rejecting for a while. Each further rejection in a row therefore doubles the
//! time without requests. Routers tell each other of the row, and each one waits a turn of its
//! own after that time, so that the server gets a few requests as a test and not one of each
//! router at once.

use policy::age_ms;
use policy::Arrival;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

/// Time without requests after the first rejection, and the longest such time, in milliseconds.
const BACK_OFF_RANGE_MS: (u64, u64) = (250, 2_000);

/// Time after which a rejection no longer counts if none followed, in milliseconds: longer than
/// the longest time without requests and all turns after it.
const REMEMBERED_MS: u64 = 6_000;

/// Time for which the end of a row is announced to other routers, in milliseconds.
const END_ANNOUNCED_MS: u64 = 1_500;

/// Time by which the turns of two routers differ, in milliseconds: a request to a server in another
/// region, its rejection, and the messages that tell of it.
const TURN_MS: u64 = 30;

/// Number of turns; among more routers, several share one.
const TURNS: u64 = 80;

/// Difference in milliseconds from which one event is later than another. Times in messages are
/// off by the delay of the messages.
const CLOCK_TOLERANCE_MS: u64 = 30;

/// Returns the time for which a router waits after a back-off, in milliseconds, if `rank` other
/// routers come before it.
pub fn turn_ms(rank: usize) -> u64 {
    rank as u64 % TURNS * TURN_MS
}

/// Latest event: a rejection, or a response that ended a row of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Latest {
    at: Time,
    /// Rejections in a row; 0 if a response ended the row.
    in_a_row: u32,
    /// Whether other routers are notified.
    is_shared: bool,
}

/// Rejections in a row by one incarnation of a backend server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Rejections {
    latest: Option<Latest>,
    until: Option<Time>,
}

/// Rejections in a row, in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectionsUpdate {
    /// Instance hash of the backend server.
    pub server: u64,
    /// Rejections in a row; 0 if a response ended the row.
    pub in_a_row: u32,
    /// Time since the last rejection, or since that response, in milliseconds.
    pub age_ms: u32,
}

/// A rejection by a backend server, as the router that got it sees it.
#[derive(Clone, Copy, Debug)]
pub struct Rejection {
    /// When the rejected request was sent.
    pub sent_at: Time,
    /// Whether the server would reject the requests of other routers too.
    pub is_shared: bool,
    /// Time for which this router waits after the back-off, in milliseconds.
    pub turn_ms: u64,
}

impl Rejections {
    /// Returns the number of rejections in a row; 0 if the last one is long past.
    pub fn in_a_row(&self, now: Time) -> u32 {
        self.recent(now).map_or(0, |latest| latest.in_a_row)
    }

    /// Returns the time until which the server gets no requests of this router.
    pub fn until(&self) -> Time {
        self.until.unwrap_or(Time(0))
    }

    /// Records a rejection. One of a request that was sent before the last rejection arrived, as
    /// those that waited at the server together, doesn't count again. Returns whether it is news.
    pub fn record(&mut self, now: Time, rejection: Rejection) -> bool {
        let before = self.recent(now).filter(|latest| latest.in_a_row > 0);
        let together = before.filter(|latest| rejection.sent_at <= latest.at);
        if let Some(latest) = together {
            return self.share(latest, rejection);
        }
        let latest = Latest {
            at: now,
            in_a_row: before.map_or(0, |latest| latest.in_a_row) + 1,
            is_shared: rejection.is_shared || before.is_some_and(|latest| latest.is_shared),
        };
        self.begin_back_off(latest, rejection.turn_ms);
        true
    }

    /// Lets other routers know of a known rejection if another one shows that it concerns them.
    /// Returns whether they didn't know.
    fn share(&mut self, latest: Latest, rejection: Rejection) -> bool {
        if latest.is_shared || !rejection.is_shared {
            return false;
        }
        let is_shared = true;
        self.begin_back_off(
            Latest {
                is_shared,
                ..latest
            },
            rejection.turn_ms,
        );
        true
    }

    /// Records a response of a request that ran and was sent at `sent_at`. It ends the row if it
    /// was sent after the last rejection. Returns whether it does.
    pub fn record_ran(&mut self, now: Time, sent_at: Time) -> bool {
        let Some(latest) = self.recent(now) else {
            return false;
        };
        if latest.in_a_row == 0 || sent_at <= latest.at {
            return false;
        }
        self.end(now, latest.is_shared);
        true
    }

    /// Merges what another router knows, and waits `turn_ms` after the back-off. Returns whether
    /// it is news. If the message may have waited, it counts as old, so that no row begins again.
    pub fn merge(&mut self, message: Arrival, update: RejectionsUpdate, turn_ms: u64) -> bool {
        let now = message.latest();
        let at = message.earliest_of(u64::from(update.age_ms));
        if now.millis_since(at) >= REMEMBERED_MS {
            return false;
        }
        let known = self.recent(now);
        let is_later = known.is_none_or(|known| at > known.at.plus_millis(CLOCK_TOLERANCE_MS));
        if update.in_a_row == 0 {
            let ends = is_later && known.is_some_and(|known| known.in_a_row > 0);
            if ends {
                self.end(at, true);
            }
            return ends;
        }
        let is_longer = known.is_some_and(|known| {
            known.in_a_row < update.in_a_row && at.plus_millis(CLOCK_TOLERANCE_MS) >= known.at
        });
        if !(is_later || is_longer) {
            return false;
        }
        let known_in_a_row = known.map_or(0, |known| known.in_a_row);
        let latest = Latest {
            at,
            in_a_row: update.in_a_row,
            is_shared: true,
        };
        self.begin_back_off(latest, turn_ms);
        update.in_a_row != known_in_a_row
    }

    /// Returns what other routers are to know; none if there is nothing.
    pub(crate) fn update(&self, now: Time, server: u64) -> Option<RejectionsUpdate> {
        let latest = self.recent(now).filter(|latest| latest.is_shared)?;
        let has_ended_long_ago =
            latest.in_a_row == 0 && now.millis_since(latest.at) >= END_ANNOUNCED_MS;
        (!has_ended_long_ago).then(|| RejectionsUpdate {
            server,
            in_a_row: latest.in_a_row,
            age_ms: age_ms(now, latest.at),
        })
    }

    fn recent(&self, now: Time) -> Option<Latest> {
        let is_recent = |latest: &Latest| now.millis_since(latest.at) < REMEMBERED_MS;
        self.latest.filter(is_recent)
    }

    fn begin_back_off(&mut self, latest: Latest, turn_ms: u64) {
        let doublings = latest.in_a_row.saturating_sub(1).min(8);
        let back_off_ms = (BACK_OFF_RANGE_MS.0 << doublings).min(BACK_OFF_RANGE_MS.1);
        self.until = Some(latest.at.plus_millis(back_off_ms + turn_ms));
        self.latest = Some(latest);
    }

    fn end(&mut self, at: Time, is_shared: bool) {
        self.latest = Some(Latest {
            at,
            in_a_row: 0,
            is_shared,
        });
        self.until = None;
    }
}
