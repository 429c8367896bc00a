//! Finds what crashes backend servers: requests that crash each server that runs them, and parts of
//! prompts that crash each engine that begins to answer them.
//!
//! Callers send such a request again with new ids, through any router; of prompts with such a part
//! no two are alike. All that was in flight at a backend server when it ended is accused of it.
//! Only what is guilty is never run to its end, so that a complete response acquits. What stays
//! accused of several crashes is blocked, and tried again rarely, one request at a time.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::collections::HashSet;

use policy::Time;

use crate::message_room::MessageRoom;
use crate::recent_times::RecentTimes;
use crate::suspicion::Suspicion;
use crate::suspicion::SuspicionUpdate;
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
    suspicions: HashMap<SuspectKey, Suspicion>,
    /// When a request of each suspect was last run to its end for this router.
    completed: RecentTimes,
}

impl CrashEvidence {
    /// Accuses a suspect of the crash of a backend server, given by its instance hash. Returns
    /// the number of crashes that it is accused of now, or none if that is not new.
    pub fn accuse(&mut self, now: Time, suspect: SuspectKey, server: u64) -> Option<usize> {
        let completed_at = self.completed.last(suspect.hash());
        let suspicion = self.suspicion_mut(now, suspect);
        if !suspicion.add_crash(now, server) {
            return None;
        }
        if let Some(at) = completed_at {
            suspicion.complete(now, at);
        }
        suspicion.sends = 0;
        Some(suspicion.counted(now))
    }

    /// Records that a request of a suspect was run to its end. Returns the number of crashes
    /// that it was accused of until now.
    pub fn acquit(&mut self, now: Time, suspect: SuspectKey) -> usize {
        self.completed.record(now, suspect.hash());
        let Some(suspicion) = self.suspicions.get_mut(&suspect) else {
            return 0;
        };
        let crashes = suspicion.counted(now);
        if suspicion.complete(now, now) {
            suspicion.sends = 0;
        }
        crashes
    }

    /// Adds what another router knows of a suspect. What is new goes on to other routers if this
    /// one forwards, as hubs do, or if more than one crash counts. Returns whether the suspect is
    /// blocked by it.
    pub fn merge(&mut self, now: Time, update: &SuspicionUpdate, forwards: bool) -> bool {
        let completed_at = self.completed.last(update.suspect.hash());
        let was_blocked = self.is_blocked(now, update.suspect);
        let is_known = self.suspicions.contains_key(&update.suspect);
        let suspicion = self.suspicion_mut(now, update.suspect);
        if !is_known {
            suspicion.sends = SENDS;
        }
        let mut is_new = suspicion.merge(now, update);
        if let Some(at) = completed_at {
            is_new |= suspicion.complete(now, at);
        }
        if is_new && (forwards || suspicion.counted(now) > 1) {
            suspicion.sends = 0;
        } else if suspicion.is_news_for(now, update) {
            suspicion.sends = suspicion.sends.min(SENDS - 1);
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
        let Some(suspicion) = self.blocked(now, suspect) else {
            return Admission::Free;
        };
        let trial_at = suspicion.trial_at(now, is_registered);
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
        let suspicion = self.suspicion_mut(now, suspect);
        suspicion.begin_trial(now);
        suspicion.sends = 0;
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

    /// Returns what is known of a suspect if it is blocked: if it is accused of enough crashes that
    /// no other suspect explains, one that is accused of them and of more.
    fn blocked(&self, now: Time, suspect: SuspectKey) -> Option<&Suspicion> {
        let suspicion = self.suspicions.get(&suspect)?;
        if !suspicion.has_case(now) {
            return None;
        }
        let crashes = suspicion.counted(now);
        let others = self.suspicions.values();
        let stronger: Vec<_> = others
            .filter(|other| other.counted(now) > crashes && other.has_case(now))
            .collect();
        let is_explained = |server| stronger.iter().any(|s| s.is_accused_of(now, server));
        let is_blocked = suspicion.is_blocked(now, is_explained);
        is_blocked.then_some(suspicion)
    }

    /// Returns what the next message to other routers tells of suspects: new states in several
    /// messages, blocked suspects in each, and all others in turn, for routers that were cut off
    /// or have just started.
    pub fn next_updates(&mut self, now: Time) -> Vec<SuspicionUpdate> {
        self.suspicions
            .retain(|_, suspicion| suspicion.sends < SENDS || suspicion.is_kept(now));
        let blocked = self.blocked_suspects(now);
        let mut order: Vec<_> = self
            .suspicions
            .iter_mut()
            .map(|(key, suspicion)| (Reverse(suspicion.counted(now)), *key, suspicion))
            .collect();
        order.sort_by_key(|(counted, key, suspicion)| (suspicion.sends, *counted, *key));
        let mut room = MessageRoom::default();
        let mut updates = Vec::new();
        for (Reverse(counted), key, suspicion) in order {
            let is_new = suspicion.sends < SENDS;
            if !is_new && counted == 0 {
                continue;
            }
            let is_blocked = blocked.contains(&key);
            if room.take(is_new, is_blocked, suspicion.crash_count()) {
                suspicion.sends = suspicion.sends.saturating_add(1);
                updates.push(suspicion.update(now, key));
            }
        }
        updates
    }

    fn blocked_suspects(&self, now: Time) -> HashSet<SuspectKey> {
        let suspects = self.suspicions.keys().copied();
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
        self.suspicions.iter().find_map(|(key, suspicion)| {
            if self.is_blocked(now, *key) {
                let crashed_at = suspicion.last_crash(now).unwrap_or_default();
                let turns = now.millis_since(crashed_at) / TURN_MS;
                let is_due = suspicion.recorded_in < Some(era) && has_turn(rank(*key), turns);
                is_due.then_some(RecordChange::Write(*key))
            } else {
                let is_due = suspicion.recorded_in.is_some() && rank(*key) == 0;
                is_due.then_some(RecordChange::Delete(*key))
            }
        })
    }

    /// Records that a suspect's record stands in the store in this era, or in none.
    pub fn set_recorded(&mut self, suspect: SuspectKey, era: Option<u64>) {
        if let Some(suspicion) = self.suspicions.get_mut(&suspect) {
            suspicion.recorded_in = era;
            suspicion.sends = 0;
        }
    }

    /// Returns what is known of a suspect; none if it isn't one.
    pub fn update(&self, now: Time, suspect: SuspectKey) -> Option<SuspicionUpdate> {
        let suspicion = self.suspicions.get(&suspect)?;
        Some(suspicion.update(now, suspect))
    }

    fn suspicion_mut(&mut self, now: Time, suspect: SuspectKey) -> &mut Suspicion {
        if self.suspicions.len() >= MAX_SUSPECTS && !self.suspicions.contains_key(&suspect) {
            self.drop_least_suspected(now);
        }
        self.suspicions
            .entry(suspect)
            .or_insert_with(|| Suspicion::new(suspect))
    }

    /// Drops the acquitted, and then a quarter of the others: those that are accused of the
    /// fewest crashes, the earliest ones first.
    fn drop_least_suspected(&mut self, now: Time) {
        self.suspicions
            .retain(|_, suspicion| suspicion.counted(now) > 0);
        let excess = self.suspicions.len().saturating_sub(MAX_SUSPECTS * 3 / 4);
        let mut order: Vec<_> = self
            .suspicions
            .iter()
            .map(|(key, suspicion)| (suspicion.counted(now), suspicion.last_crash(now), *key))
            .collect();
        order.sort_unstable();
        for (_, _, key) in order.into_iter().take(excess) {
            self.suspicions.remove(&key);
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
