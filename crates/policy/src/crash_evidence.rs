//! Finds what crashes backend servers: requests that crash each server that runs them, and parts of
//! prompts that crash each engine that begins to answer them.
//!
//! Callers send such a request again with new ids, through any router; of prompts with such a part
//! no two are alike. All that was in flight at a backend server when it ended gets a strike. A
//! poison request is never run to its end, so that a complete response clears its suspects. A
//! suspect with several strikes is blocked, and tried again rarely, one request at a time.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use crate::Time;

use crate::message_room::MessageRoom;
use crate::recent_times::RecentTimes;
use crate::suspect_state::SuspectState;
use crate::suspect_state::SuspectUpdate;
use crate::Arrival;
use crate::SuspectKey;

/// Maximum number of suspects that are kept.
const MAX_SUSPECTS: usize = 4_096;

/// Number of messages that carry a new state of a suspect.
const SENDS: u32 = 4;

/// Time by which the number of routers that may try a blocked suspect doubles, in milliseconds.
const TURN_MS: u64 = 1_000;

/// A change that is due in the records of blocked suspects in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordChange {
    /// The suspect is blocked, and its record is to be written.
    Write(SuspectKey),
    /// The suspect is no longer blocked, and its record is to be deleted.
    Delete(SuspectKey),
}

/// Whether a request may be sent to a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It may.
    Free,
    /// It may, as the trial of a blocked suspect.
    Trial,
    /// It may not before this time.
    Blocked(Time),
}

/// What this router knows of the suspects.
#[derive(Clone, Debug, Default)]
pub struct CrashEvidence {
    suspects: HashMap<SuspectKey, SuspectState>,
    /// When a request of each suspect was last run to its end for this router.
    completed: RecentTimes,
}

impl CrashEvidence {
    /// Adds a strike against a suspect for the crash of a backend server, given by its instance
    /// hash. Returns the number of strikes that count now, or none if that is not new.
    pub fn add_strike(&mut self, now: Time, suspect: SuspectKey, server: u64) -> Option<usize> {
        let completed_at = self.completed.last(suspect.hash());
        let state = self.state_mut(now, suspect);
        if !state.add_strike(now, server) {
            return None;
        }
        if let Some(at) = completed_at {
            state.complete(now, at);
        }
        state.sends = 0;
        Some(state.counted(now))
    }

    /// Records that a request of a suspect was run to its end. Returns the number of strikes
    /// that counted until now.
    pub fn clear(&mut self, now: Time, suspect: SuspectKey) -> usize {
        self.completed.record(now, suspect.hash());
        let Some(state) = self.suspects.get_mut(&suspect) else {
            return 0;
        };
        let strikes = state.counted(now);
        if state.complete(now, now) {
            state.sends = 0;
        }
        strikes
    }

    /// Adds what another router knows of a suspect. What is new goes on to other routers if this
    /// one forwards, as hubs do, or if more than one strike counts. Returns whether the suspect is
    /// blocked by it.
    pub fn merge(&mut self, message: Arrival, update: &SuspectUpdate, forwards: bool) -> bool {
        let now = message.latest();
        let completed_at = self.completed.last(update.suspect.hash());
        let was_blocked = self.is_blocked(now, update.suspect);
        let is_known = self.suspects.contains_key(&update.suspect);
        let state = self.state_mut(now, update.suspect);
        if !is_known {
            state.sends = SENDS;
        }
        let mut is_new = state.merge(message, update);
        if let Some(at) = completed_at {
            is_new |= state.complete(now, at);
        }
        if is_new && (forwards || state.counted(now) > 1) {
            state.sends = 0;
        } else if state.is_unknown_to_sender(now, update) {
            state.sends = state.sends.min(SENDS - 1);
        }
        !was_blocked && self.is_blocked(now, update.suspect)
    }

    /// Returns whether a request with these suspects may be sent now. `rank` returns the number
    /// of routers whose turn to try a suspect comes before this one's, `is_registered` whether the
    /// backend server with an instance hash is still registered.
    pub fn admission<F, G>(
        &self,
        now: Time,
        suspects: &[SuspectKey],
        rank: F,
        is_registered: G,
    ) -> Admission
    where
        F: Fn(SuspectKey) -> usize,
        G: Fn(u64) -> bool,
    {
        let admissions = suspects
            .iter()
            .map(|suspect| self.admission_of(now, *suspect, &rank, &is_registered));
        admissions.fold(Admission::Free, Admission::stricter)
    }

    fn admission_of<F, G>(
        &self,
        now: Time,
        suspect: SuspectKey,
        rank: &F,
        is_registered: &G,
    ) -> Admission
    where
        F: Fn(SuspectKey) -> usize,
        G: Fn(u64) -> bool,
    {
        let Some(state) = self.blocked(now, suspect) else {
            return Admission::Free;
        };
        let trial_at = state.trial_at(now, is_registered);
        if now < trial_at {
            return Admission::Blocked(trial_at);
        }
        let turns = now.millis_since(trial_at) / TURN_MS;
        if has_turn(rank(suspect), turns) {
            Admission::Trial
        } else {
            Admission::Blocked(now.plus_millis(TURN_MS))
        }
    }

    /// Records that a request is sent as a trial of a suspect. Returns whether the suspect is
    /// blocked; otherwise nothing is recorded.
    pub fn begin_trial(&mut self, now: Time, suspect: SuspectKey) -> bool {
        if !self.is_blocked(now, suspect) {
            return false;
        }
        let state = self.state_mut(now, suspect);
        state.begin_trial(now);
        state.sends = 0;
        true
    }

    /// Returns whether requests of a suspect are refused.
    pub fn is_blocked(&self, now: Time, suspect: SuspectKey) -> bool {
        self.blocked(now, suspect).is_some()
    }

    /// Returns the number of blocked suspects.
    pub fn count_blocked(&self, now: Time) -> usize {
        self.blocked_suspects(now).len()
    }

    /// Returns the state of a suspect if it is blocked: if it has enough strikes that no other suspect
    /// explains, one that has them and more.
    fn blocked(&self, now: Time, suspect: SuspectKey) -> Option<&SuspectState> {
        let state = self.suspects.get(&suspect)?;
        if !state.has_enough_strikes(now) {
            return None;
        }
        let strikes = state.counted(now);
        let others = self.suspects.values();
        let stronger: Vec<_> = others
            .filter(|other| other.counted(now) > strikes && other.has_enough_strikes(now))
            .collect();
        let is_explained = |server| stronger.iter().any(|s| s.has_counted_strike(now, server));
        let is_blocked = state.is_blocked(now, is_explained);
        is_blocked.then_some(state)
    }

    /// Returns the states of suspects for the next message to other routers: new ones in several
    /// messages, blocked suspects in each, and all others in turn, for routers that were cut off
    /// or have just started.
    pub fn next_updates(&mut self, now: Time) -> Vec<SuspectUpdate> {
        self.suspects
            .retain(|_, state| state.sends < SENDS || state.is_kept(now));
        let blocked = self.blocked_suspects(now);
        let mut order: Vec<_> = self
            .suspects
            .iter_mut()
            .map(|(key, state)| (Reverse(state.counted(now)), *key, state))
            .collect();
        order.sort_by_key(|(counted, key, state)| (state.sends, *counted, *key));
        let mut room = MessageRoom::default();
        let mut updates = Vec::new();
        for (Reverse(counted), key, state) in order {
            let is_new = state.sends < SENDS;
            if !is_new && counted == 0 {
                continue;
            }
            let is_blocked = blocked.contains(&key);
            if room.take(is_new, is_blocked, state.strike_count()) {
                state.sends = state.sends.saturating_add(1);
                updates.push(state.update(now, key));
            }
        }
        updates
    }

    fn blocked_suspects(&self, now: Time) -> HashSet<SuspectKey> {
        let suspects = self.suspects.keys().copied();
        suspects
            .filter(|suspect| self.is_blocked(now, *suspect))
            .collect()
    }

    /// Returns the next change of the records in an era of the store that this router is to make.
    /// `rank` returns the number of routers whose turn for a suspect comes before this one's.
    pub fn record_change<F>(&self, now: Time, era: u64, rank: F) -> Option<RecordChange>
    where
        F: Fn(SuspectKey) -> usize,
    {
        self.suspects.iter().find_map(|(key, state)| {
            if self.is_blocked(now, *key) {
                let crashed_at = state.last_strike(now).unwrap_or_default();
                let turns = now.millis_since(crashed_at) / TURN_MS;
                let is_due = state.recorded_in < Some(era) && has_turn(rank(*key), turns);
                is_due.then_some(RecordChange::Write(*key))
            } else {
                let is_due = state.recorded_in.is_some() && rank(*key) == 0;
                is_due.then_some(RecordChange::Delete(*key))
            }
        })
    }

    /// Records that a suspect's record stands in the store in this era, or in none.
    pub fn set_recorded(&mut self, suspect: SuspectKey, era: Option<u64>) {
        if let Some(state) = self.suspects.get_mut(&suspect) {
            state.recorded_in = era;
            state.sends = 0;
        }
    }

    /// Returns what is known of a suspect; none if it isn't one.
    pub fn update(&self, now: Time, suspect: SuspectKey) -> Option<SuspectUpdate> {
        let state = self.suspects.get(&suspect)?;
        Some(state.update(now, suspect))
    }

    fn state_mut(&mut self, now: Time, suspect: SuspectKey) -> &mut SuspectState {
        if self.suspects.len() >= MAX_SUSPECTS && !self.suspects.contains_key(&suspect) {
            self.drop_least_suspected(now);
        }
        self.suspects
            .entry(suspect)
            .or_insert_with(|| SuspectState::new(suspect))
    }

    /// Drops the cleared ones, and then a quarter of the others: those with the fewest strikes, the
    /// earliest ones first.
    fn drop_least_suspected(&mut self, now: Time) {
        self.suspects.retain(|_, state| state.counted(now) > 0);
        let excess = self.suspects.len().saturating_sub(MAX_SUSPECTS * 3 / 4);
        let mut order: Vec<_> = self
            .suspects
            .iter()
            .map(|(key, state)| (state.counted(now), state.last_strike(now), *key))
            .collect();
        order.sort_unstable();
        for (_, _, key) in order.into_iter().take(excess) {
            self.suspects.remove(&key);
        }
    }
}

impl Admission {
    fn stricter(self, other: Admission) -> Admission {
        match (self, other) {
            (Admission::Blocked(a), Admission::Blocked(b)) => Admission::Blocked(a.max(b)),
            (Admission::Blocked(at), _) | (_, Admission::Blocked(at)) => Admission::Blocked(at),
            (Admission::Trial, _) | (_, Admission::Trial) => Admission::Trial,
            (Admission::Free, Admission::Free) => Admission::Free,
        }
    }
}

/// Returns whether it is the turn of the router of a rank: that of the first one at once, and of
/// twice as many after each further turn.
fn has_turn(rank: usize, turns: u64) -> bool {
    let shift = u32::try_from(turns.min(20)).unwrap_or(20);
    rank < 1 << shift
}
