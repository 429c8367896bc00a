//! What is known of one suspect: something that requests have in common, and that may crash the
//! backend servers that run them.

use crate::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::age::age_ms;
use crate::Arrival;
use crate::SuspectKey;

/// Number of strikes, each by another incarnation, from which a suspect is blocked.
const BLOCKING_STRIKES: usize = 3;

/// The same for a part of prompts that had a complete response before. Prompts that crash engines
/// have sound parts too, whose requests are mostly run to their end.
const SOUND_PART_BLOCKING_STRIKES: usize = 5;

/// Maximum number of strikes that are kept for a suspect.
const MAX_STRIKES: usize = 12;

/// Time for which a strike counts, in milliseconds.
const STRIKE_TTL_MS: u64 = 1_800_000;

/// Time after a complete response in which strikes don't count, in milliseconds. Whatever is in
/// flight at several servers that fail together was mostly run to its end elsewhere just before.
const UNCOUNTED_MS: u64 = 2_000;

/// Time from the block of a suspect to its first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 30_000;

/// The same if a backend server that broke off is still registered by then. The registration of one
/// that has ended is removed sooner.
const EARLY_TRIAL_MS: u64 = 6_000;

/// Longest time between two trials, in milliseconds.
const MAX_TRIAL_MS: u64 = 600_000;

/// Time after a complete response for which a cleared suspect is kept, in milliseconds: another
/// router may still count strikes against it.
const CLEARED_TTL_MS: u64 = 60_000;

/// End of an incarnation of a backend server that was running requests of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Strike {
    /// Instance hash of the backend server.
    server: u64,
    /// By when it had ended, as far as this router knows.
    at: Time,
}

/// The evidence for and against one suspect. Merged from several routers in any order, it
/// becomes the same on all of them.
#[derive(Clone, Debug)]
pub(crate) struct SuspectState {
    /// Whether the suspect is a part of prompts.
    is_part: bool,
    /// Strikes of different incarnations, oldest first.
    strikes: Vec<Strike>,
    /// Earliest time at which a request of the suspect can last have had a complete response.
    completed_at: Option<Time>,
    /// Number of trials, and when the latest began.
    trials: u32,
    tried_at: Time,
    /// Era of the store in which the block was recorded.
    pub(crate) recorded_in: Option<u64>,
    /// Number of messages that have carried the present state.
    pub(crate) sends: u32,
}

impl SuspectState {
    /// Returns what is known of a suspect at first: nothing.
    pub(crate) fn new(suspect: SuspectKey) -> SuspectState {
        SuspectState {
            is_part: matches!(suspect, SuspectKey::Part(_)),
            strikes: Vec::new(),
            completed_at: None,
            trials: 0,
            tried_at: Time(0),
            recorded_in: None,
            sends: 0,
        }
    }

    /// Adds a strike for a crash that this router has seen. Returns whether it is new.
    pub(crate) fn add_strike(&mut self, now: Time, server: u64) -> bool {
        if self.has_strike(server) {
            return false;
        }
        self.drop_uncounted_if_full(now);
        if self.strikes.len() >= MAX_STRIKES {
            self.strikes.remove(0);
        }
        self.insert(Strike { server, at: now });
        true
    }

    /// Adds a strike that another router sent, if it counts and there is room. Returns whether
    /// it was added.
    fn add_peer_strike(&mut self, now: Time, strike: Strike) -> bool {
        if self.has_strike(strike.server) || !self.counts(now, &strike) {
            return false;
        }
        self.drop_uncounted_if_full(now);
        // Routers that keep different strikes must not send them to each other without end.
        if self.strikes.len() >= MAX_STRIKES {
            return false;
        }
        self.insert(strike);
        true
    }

    fn has_strike(&self, server: u64) -> bool {
        self.strikes.iter().any(|strike| strike.server == server)
    }

    /// Moves a known strike to an earlier time, as messages of it that waited gave it too late a one.
    fn narrow_strike(&mut self, strike: Strike) {
        let is_later = |known: &Strike| known.server == strike.server && known.at > strike.at;
        if let Some(index) = self.strikes.iter().position(is_later) {
            self.strikes.remove(index);
            self.insert(strike);
        }
    }

    fn drop_uncounted_if_full(&mut self, now: Time) {
        if self.strikes.len() >= MAX_STRIKES {
            self.strikes = self.counted_strikes(now).copied().collect();
        }
    }

    fn insert(&mut self, strike: Strike) {
        let index = self.strikes.partition_point(|other| other.at <= strike.at);
        self.strikes.insert(index, strike);
    }

    /// Records a complete response. Returns whether strikes count no longer because of it.
    pub(crate) fn complete(&mut self, now: Time, at: Time) -> bool {
        let before = self.counted(now);
        self.completed_at = self.completed_at.max(Some(at));
        self.counted(now) < before
    }

    /// Records that a trial begins.
    pub(crate) fn begin_trial(&mut self, now: Time) {
        self.trials += 1;
        self.tried_at = now;
    }

    /// Returns the number of strikes that are kept, whether they count or not.
    pub(crate) fn strike_count(&self) -> usize {
        self.strikes.len()
    }

    /// Returns the number of strikes that count.
    pub(crate) fn counted(&self, now: Time) -> usize {
        self.counted_strikes(now).count()
    }

    /// Returns whether enough strikes count to block the suspect, if no other suspect explains them.
    pub(crate) fn has_enough_strikes(&self, now: Time) -> bool {
        self.is_enough(self.counted(now))
    }

    /// Returns whether the suspect is to be blocked, given which crashes of backend servers another
    /// suspect explains.
    pub(crate) fn is_blocked<F>(&self, now: Time, is_explained: F) -> bool
    where
        F: Fn(u64) -> bool,
    {
        let strikes = self.counted_strikes(now);
        let unexplained = strikes.filter(|strike| !is_explained(strike.server));
        self.is_enough(unexplained.count())
    }

    /// Returns whether a strike by the crash of a backend server counts.
    pub(crate) fn has_counted_strike(&self, now: Time, server: u64) -> bool {
        let mut strikes = self.counted_strikes(now);
        strikes.any(|strike| strike.server == server)
    }

    fn is_enough(&self, strikes: usize) -> bool {
        let is_sound_part = self.is_part && self.completed_at.is_some();
        let blocking_strikes = if is_sound_part {
            SOUND_PART_BLOCKING_STRIKES
        } else {
            BLOCKING_STRIKES
        };
        strikes >= blocking_strikes
    }

    /// Returns from when one request of a blocked suspect may be tried. The first trial is early if
    /// one of the backend servers is still registered, and so has not ended.
    pub(crate) fn trial_at<F>(&self, now: Time, is_registered: F) -> Time
    where
        F: Fn(u64) -> bool,
    {
        let crashed_at = self.last_strike(now).unwrap_or_default();
        let early_at = crashed_at.plus_millis(EARLY_TRIAL_MS);
        let mut strikes = self.counted_strikes(now);
        let is_early = self.trials == 0
            && early_at <= now
            && strikes.any(|strike| is_registered(strike.server));
        if is_early {
            return early_at;
        }
        let pause_ms = FIRST_TRIAL_MS << (2 * self.trials.min(4));
        let since = crashed_at.max(self.tried_at);
        since.plus_millis(pause_ms.min(MAX_TRIAL_MS))
    }

    /// Returns the time of the latest strike that counts.
    pub(crate) fn last_strike(&self, now: Time) -> Option<Time> {
        self.counted_strikes(now).map(|strike| strike.at).last()
    }

    fn counted_strikes(&self, now: Time) -> impl Iterator<Item = &Strike> {
        self.strikes
            .iter()
            .filter(move |strike| self.counts(now, strike))
    }

    fn counts(&self, now: Time, strike: &Strike) -> bool {
        let uncounted_until = self.completed_at.map(|at| at.plus_millis(UNCOUNTED_MS));
        Some(strike.at) > uncounted_until && now.millis_since(strike.at) < STRIKE_TTL_MS
    }

    /// Adds what another router knows. Returns whether any of it is new. If the message may have waited,
    /// strikes rather count than not: a complete response is taken as early, a strike as late.
    pub(crate) fn merge(&mut self, message: Arrival, update: &SuspectUpdate) -> bool {
        let now = message.latest();
        let before = self.counted(now);
        if let Some(age_ms) = update.completed_age_ms {
            self.complete(now, message.earliest_of(u64::from(age_ms)));
        }
        let mut is_new = false;
        for strike in &update.strikes {
            let strike = Strike {
                server: strike.server,
                at: message.latest_of(u64::from(strike.age_ms)),
            };
            self.narrow_strike(strike);
            is_new |= self.add_peer_strike(now, strike);
        }
        if update.trials > self.trials {
            self.trials = update.trials;
            self.tried_at = message.latest_of(u64::from(update.tried_age_ms));
            is_new = true;
        }
        if self.has_enough_strikes(now) {
            self.recorded_in = self.recorded_in.max(update.recorded_in);
        }
        is_new || self.counted(now) != before
    }

    /// Returns whether the router that sent `update` counts several strikes, and does not know that
    /// the suspect is sound, or that some of them don't count.
    pub(crate) fn is_unknown_to_sender(&self, now: Time, update: &SuspectUpdate) -> bool {
        let mut other = SuspectState::new(update.suspect);
        other.merge(Arrival::at(now), update);
        let is_cleared_here = self.completed_at.is_some() && other.completed_at.is_none();
        let sender_counts_more = other.counted(now) > self.counted(now);
        other.counted(now) > 1 && (is_cleared_here || sender_counts_more)
    }

    /// Returns whether it is still of use: with strikes that count, or cleared lately.
    pub(crate) fn is_kept(&self, now: Time) -> bool {
        let completed_at = self.completed_at.unwrap_or_default();
        let was_cleared_lately = now.millis_since(completed_at) < CLEARED_TTL_MS;
        self.counted(now) > 0 || was_cleared_lately || self.may_have_record(now)
    }

    /// Returns whether a record of its block may still stand in the store.
    fn may_have_record(&self, now: Time) -> bool {
        let crashed_at = self.strikes.last().map(|strike| strike.at);
        let kept_ms = STRIKE_TTL_MS + CLEARED_TTL_MS;
        self.recorded_in.is_some() && crashed_at.is_some_and(|at| now.millis_since(at) < kept_ms)
    }

    /// Returns the state in the form of a message.
    pub(crate) fn update(&self, now: Time, suspect: SuspectKey) -> SuspectUpdate {
        let strikes = self.strikes.iter().map(|strike| StrikeUpdate {
            server: strike.server,
            age_ms: age_ms(now, strike.at),
        });
        SuspectUpdate {
            suspect,
            strikes: strikes.collect(),
            completed_age_ms: self.completed_at.map(|at| age_ms(now, at)),
            trials: self.trials,
            tried_age_ms: age_ms(now, self.tried_at),
            recorded_in: self.recorded_in,
        }
    }
}

/// Update: a strike against a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StrikeUpdate {
    /// Instance hash of the backend server.
    pub server: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// Update: all that a router knows of one suspect. Times are ages, as clocks of routers differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The suspect.
    pub suspect: SuspectKey,
    /// Strikes against it.
    pub strikes: Vec<StrikeUpdate>,
    /// Time since the latest complete response, in milliseconds.
    pub completed_age_ms: Option<u32>,
    /// Number of trials.
    pub trials: u32,
    /// Time since the latest trial, in milliseconds.
    pub tried_age_ms: u32,
    /// Era of the store in which the block was recorded.
    pub recorded_in: Option<u64>,
}
