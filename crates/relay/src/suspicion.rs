//! What is known of one suspect: something that requests have in common, and that may crash the
//! backend servers that run them.

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::age::age_ms;
use crate::age::time_of;
use crate::SuspectKey;

/// Number of crashed incarnations from which a suspect is blocked.
const BLOCKING_CRASHES: usize = 3;

/// The same for a part of prompts that had a complete response before. Prompts that crash engines
/// have sound parts too, whose requests are mostly run to their end.
const SOUND_PART_BLOCKING_CRASHES: usize = 5;

/// Maximum number of crashes that are kept for a suspect.
const MAX_CRASHES: usize = 12;

/// Time for which a crash counts, in milliseconds.
const CRASH_TTL_MS: u64 = 1_800_000;

/// Time after a complete response in which crashes don't count, in milliseconds. Whatever is in
/// flight at several servers that fail together was mostly run to its end elsewhere just before.
const EXCUSED_MS: u64 = 2_000;

/// Time from the block of a suspect to its first trial, in milliseconds.
const FIRST_TRIAL_MS: u64 = 30_000;

/// The same if a backend server that broke off is still registered by then. The registration of one
/// that has ended is removed sooner.
const EARLY_TRIAL_MS: u64 = 6_000;

/// Longest time between two trials, in milliseconds.
const MAX_TRIAL_MS: u64 = 600_000;

/// Time after a complete response for which an acquitted suspect is kept, in milliseconds: another
/// router may still accuse it.
const ACQUITTED_TTL_MS: u64 = 60_000;

/// End of an incarnation of a backend server that was running requests of a suspect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Crash {
    /// Instance hash of the backend server.
    server: u64,
    at: Time,
}

/// The evidence for and against one suspect. Merged from several routers in any order, it
/// becomes the same on all of them.
#[derive(Clone, Debug)]
pub(crate) struct Suspicion {
    /// Whether the suspect is a part of prompts.
    is_part: bool,
    /// Crashes of different incarnations, oldest first.
    crashes: Vec<Crash>,
    /// When a request of the suspect last had a complete response.
    completed_at: Option<Time>,
    /// Number of trials, and when the latest began.
    trials: u32,
    tried_at: Time,
    /// Era of the store in which the block was recorded.
    pub(crate) recorded_in: Option<u64>,
    /// Number of messages that have carried the present state.
    pub(crate) sends: u32,
}

impl Suspicion {
    /// Returns what is known of a suspect at first: nothing.
    pub(crate) fn new(suspect: SuspectKey) -> Suspicion {
        Suspicion {
            is_part: matches!(suspect, SuspectKey::Part(_)),
            crashes: Vec::new(),
            completed_at: None,
            trials: 0,
            tried_at: Time(0),
            recorded_in: None,
            sends: 0,
        }
    }

    /// Adds a crash that this router has seen. Returns whether it is new.
    pub(crate) fn add_crash(&mut self, now: Time, server: u64) -> bool {
        if self.knows_crash(server) {
            return false;
        }
        self.drop_uncounted_if_full(now);
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.remove(0);
        }
        self.insert(Crash { server, at: now });
        true
    }

    /// Adds a crash that another router tells of, if it counts and there is room. Returns whether
    /// it was added.
    fn add_told_crash(&mut self, now: Time, crash: Crash) -> bool {
        if self.knows_crash(crash.server) || !self.counts(now, &crash) {
            return false;
        }
        self.drop_uncounted_if_full(now);
        // Routers that keep different crashes must not tell each other of them without end.
        if self.crashes.len() >= MAX_CRASHES {
            return false;
        }
        self.insert(crash);
        true
    }

    fn knows_crash(&self, server: u64) -> bool {
        self.crashes.iter().any(|crash| crash.server == server)
    }

    fn drop_uncounted_if_full(&mut self, now: Time) {
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes = self.counted_crashes(now).copied().collect();
        }
    }

    fn insert(&mut self, crash: Crash) {
        let index = self.crashes.partition_point(|other| other.at <= crash.at);
        self.crashes.insert(index, crash);
    }

    /// Records a complete response. Returns whether crashes count no longer because of it.
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

    /// Returns the number of crashes that are kept, whether they count or not.
    pub(crate) fn crash_count(&self) -> usize {
        self.crashes.len()
    }

    /// Returns the number of crashes that count.
    pub(crate) fn counted(&self, now: Time) -> usize {
        self.counted_crashes(now).count()
    }

    /// Returns whether enough crashes count to block the suspect, if nothing else explains them.
    pub(crate) fn has_case(&self, now: Time) -> bool {
        self.is_enough(self.counted(now))
    }

    /// Returns whether the suspect is to be blocked, given which crashes of backend servers another
    /// suspect explains.
    pub(crate) fn is_blocked<F>(&self, now: Time, is_explained: F) -> bool
    where
        F: Fn(u64) -> bool,
    {
        let crashes = self.counted_crashes(now);
        let unexplained = crashes.filter(|crash| !is_explained(crash.server));
        self.is_enough(unexplained.count())
    }

    /// Returns whether a crash of a backend server counts against the suspect.
    pub(crate) fn is_accused_of(&self, now: Time, server: u64) -> bool {
        let mut crashes = self.counted_crashes(now);
        crashes.any(|crash| crash.server == server)
    }

    fn is_enough(&self, crashes: usize) -> bool {
        let is_sound_part = self.is_part && self.completed_at.is_some();
        let blocking_crashes = if is_sound_part {
            SOUND_PART_BLOCKING_CRASHES
        } else {
            BLOCKING_CRASHES
        };
        crashes >= blocking_crashes
    }

    /// Returns from when one request of a blocked suspect may be tried. The first trial is early if
    /// one of the backend servers is still registered, and so has not ended.
    pub(crate) fn trial_at<F>(&self, now: Time, is_registered: F) -> Time
    where
        F: Fn(u64) -> bool,
    {
        let crashed_at = self.last_crash(now).unwrap_or_default();
        let early_at = crashed_at.plus_millis(EARLY_TRIAL_MS);
        let mut crashes = self.counted_crashes(now);
        let is_early =
            self.trials == 0 && early_at <= now && crashes.any(|crash| is_registered(crash.server));
        if is_early {
            return early_at;
        }
        let pause_ms = FIRST_TRIAL_MS << (2 * self.trials.min(4));
        let since = crashed_at.max(self.tried_at);
        since.plus_millis(pause_ms.min(MAX_TRIAL_MS))
    }

    /// Returns when the latest crash that counts happened.
    pub(crate) fn last_crash(&self, now: Time) -> Option<Time> {
        self.counted_crashes(now).map(|crash| crash.at).last()
    }

    fn counted_crashes(&self, now: Time) -> impl Iterator<Item = &Crash> {
        self.crashes
            .iter()
            .filter(move |crash| self.counts(now, crash))
    }

    fn counts(&self, now: Time, crash: &Crash) -> bool {
        let excused_until = self.completed_at.map(|at| at.plus_millis(EXCUSED_MS));
        Some(crash.at) > excused_until && now.millis_since(crash.at) < CRASH_TTL_MS
    }

    /// Adds what another router knows. Returns whether any of it is new.
    pub(crate) fn merge(&mut self, now: Time, update: &SuspicionUpdate) -> bool {
        let before = self.counted(now);
        if let Some(age_ms) = update.completed_age_ms {
            self.complete(now, time_of(now, age_ms));
        }
        let mut is_new = false;
        for crash in &update.crashes {
            let at = time_of(now, crash.age_ms);
            let server = crash.server;
            is_new |= self.add_told_crash(now, Crash { server, at });
        }
        if update.trials > self.trials {
            self.trials = update.trials;
            self.tried_at = time_of(now, update.tried_age_ms);
            is_new = true;
        }
        if self.has_case(now) {
            self.recorded_in = self.recorded_in.max(update.recorded_in);
        }
        is_new || self.counted(now) != before
    }

    /// Returns whether the router that sent `update` counts several crashes, and does not know that
    /// the suspect is sound, or that some of them don't count.
    pub(crate) fn is_news_for(&self, now: Time, update: &SuspicionUpdate) -> bool {
        let mut other = Suspicion::new(update.suspect);
        other.merge(now, update);
        let is_sound_here = self.completed_at.is_some() && other.completed_at.is_none();
        let is_accused_more = other.counted(now) > self.counted(now);
        other.counted(now) > 1 && (is_sound_here || is_accused_more)
    }

    /// Returns whether it is still of use: accused, or acquitted lately.
    pub(crate) fn is_kept(&self, now: Time) -> bool {
        let completed_at = self.completed_at.unwrap_or_default();
        let is_acquitted_lately = now.millis_since(completed_at) < ACQUITTED_TTL_MS;
        self.counted(now) > 0 || is_acquitted_lately || self.may_have_record(now)
    }

    /// Returns whether a record of its block may still stand in the store.
    fn may_have_record(&self, now: Time) -> bool {
        let crashed_at = self.crashes.last().map(|crash| crash.at);
        let kept_ms = CRASH_TTL_MS + ACQUITTED_TTL_MS;
        self.recorded_in.is_some() && crashed_at.is_some_and(|at| now.millis_since(at) < kept_ms)
    }

    /// Returns the state in the form of a message.
    pub(crate) fn update(&self, now: Time, suspect: SuspectKey) -> SuspicionUpdate {
        let crashes = self.crashes.iter().map(|crash| CrashUpdate {
            server: crash.server,
            age_ms: age_ms(now, crash.at),
        });
        SuspicionUpdate {
            suspect,
            crashes: crashes.collect(),
            completed_age_ms: self.completed_at.map(|at| age_ms(now, at)),
            trials: self.trials,
            tried_age_ms: age_ms(now, self.tried_at),
            recorded_in: self.recorded_in,
        }
    }
}

/// Update: a crash of which a suspect is accused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Instance hash of the backend server.
    pub server: u64,
    /// Time since the crash, in milliseconds.
    pub age_ms: u32,
}

/// Update: all that a router knows of one suspect. Times are ages, as clocks of routers differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionUpdate {
    /// The suspect.
    pub suspect: SuspectKey,
    /// Crashes that it is accused of.
    pub crashes: Vec<CrashUpdate>,
    /// Time since the latest complete response, in milliseconds.
    pub completed_age_ms: Option<u32>,
    /// Number of trials.
    pub trials: u32,
    /// Time since the latest trial, in milliseconds.
    pub tried_age_ms: u32,
    /// Era of the store in which the block was recorded.
    pub recorded_in: Option<u64>,
}
