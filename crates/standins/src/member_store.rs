//! State of the membership stand-in, which reads no clock: the current time is passed as an argument.

use std::collections::BTreeMap;

use platform::Member;
use platform::Members;

/// The membership list with its past versions, to serve readers a stale list.
///
/// All times are in milliseconds.
#[derive(Clone, Debug, Default)]
pub struct MemberStore {
    entries: BTreeMap<String, Entry>,
    /// Past lists, each with the time from which it applied.
    history: Vec<(u64, Members)>,
}

#[derive(Clone, Debug)]
struct Entry {
    member: Member,
    expires_at: u64,
}

impl MemberStore {
    /// Adds or updates a member, which is removed at `expires_at` unless announced again.
    pub fn announce(&mut self, now: u64, member: Member, expires_at: u64) {
        self.expire(now);
        let name = member.name.clone();
        let entry = Entry { member, expires_at };
        let old = self.entries.get(&name).map(|old| &old.member);
        let changed = old != Some(&entry.member);
        self.entries.insert(name, entry);
        if changed {
            self.record_version(now);
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, now: u64, name: &str) {
        if self.entries.remove(name).is_some() {
            self.record_version(now);
        }
    }

    /// Removes the members that have expired.
    pub fn expire(&mut self, now: u64) {
        let before = self.entries.len();
        self.entries.retain(|_, entry| entry.expires_at > now);
        if self.entries.len() != before {
            self.record_version(now);
        }
    }

    /// Returns the list as of `lag_ms` ago.
    pub fn members(&mut self, now: u64, lag_ms: u64) -> Members {
        self.expire(now);
        self.history
            .iter()
            .rev()
            .find(|(at, _)| at + lag_ms <= now)
            .map_or_else(Members::default, |(_, members)| members.clone())
    }

    /// Returns the next time at which readers see a change without a further announcement.
    pub fn next_change(&self, now: u64, lag_ms: u64) -> Option<u64> {
        let visible_at = self.history.iter().map(|(at, _)| at + lag_ms);
        let expires_at = self.entries.values().map(|entry| entry.expires_at);
        visible_at.chain(expires_at).filter(|at| *at > now).min()
    }

    /// Appends the current list to the history as a new version.
    fn record_version(&mut self, now: u64) {
        let version = self.history.last().map_or(0, |(_, last)| last.version) + 1;
        let members = self.entries.values().map(|entry| entry.member.clone());
        let members = Members {
            version,
            members: members.collect(),
        };
        self.history.push((now, members));
        if self.history.len() > MAX_HISTORY {
            self.history.remove(0);
        }
    }
}

/// Maximum number of past lists kept.
const MAX_HISTORY: usize = 1_000;
