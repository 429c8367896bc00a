//! The votes of routers for this allocator, and the share of the quotas that they give it.
//!
//! A vote is valid until some time after the reply that its sender had last received from here, by
//! the clock of this router. So a vote that was delayed is invalid by the time at which its sender
//! votes for another allocator, however long the delay.

use std::collections::BTreeMap;

use policy::Time;

use crate::recent_max::RecentMax;
use crate::QuotaAsk;

/// Time for which a vote is valid after the reply on which it is based, in milliseconds.
pub(crate) const VOTE_MS: u64 = 700;

/// Time for which the number of registered routers must not have grown before votes count, in
/// milliseconds: it may be that of an incomplete reading, or other routers are starting too. They
/// count no sooner than [`VOTE_MS`] after the start either, as no router that starts votes sooner.
const SETTLED_MS: u64 = 300;

/// Time after which votes count although the number still grows, in milliseconds.
const MAX_SETTLED_MS: u64 = 1_500;

/// Time for which a router that has sent nothing is remembered, in milliseconds; longer than a
/// vote is valid, so that no delayed vote follows a release.
const REMEMBERED_MS: u64 = 5_000;

/// Proportion of the quotas that an allocator may grant.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct QuotaShare {
    /// Routers that vote for it.
    pub(crate) votes: u32,
    /// Routers that there are.
    pub(crate) routers: u32,
}

impl QuotaShare {
    /// Returns this share of an amount.
    pub(crate) fn of(self, amount: i128) -> i128 {
        amount * i128::from(self.votes.min(self.routers)) / i128::from(self.routers.max(1))
    }
}

/// What is known of one router.
#[derive(Clone, Copy, Debug)]
struct Voter {
    /// Highest number of its messages.
    seq: u64,
    /// Until when its vote is valid; none if it has none here.
    valid_until: Option<Time>,
    /// Number of routers that it knows.
    routers: u32,
    /// When its last message arrived.
    seen_at: Time,
}

/// Votes for this allocator.
#[derive(Clone, Debug, Default)]
pub(crate) struct QuotaVotes {
    /// When this allocator first did something; a vote based on an earlier reply is not valid.
    started_at: Option<Time>,
    /// From when votes count; none while the registered routers are unknown.
    counts_from: Option<Time>,
    /// When votes count at the latest.
    counts_by: Option<Time>,
    /// Highest number of registered routers before votes count.
    highest: u32,
    registered: RecentMax,
    voters: BTreeMap<u64, Voter>,
}

impl QuotaVotes {
    /// Records that the allocator runs.
    pub(crate) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Sets the number of registered routers.
    pub(crate) fn set_routers(&mut self, now: Time, registered: usize) {
        let registered = u32::try_from(registered).unwrap_or(u32::MAX);
        let by = now.plus_millis(MAX_SETTLED_MS);
        let by = *self.counts_by.get_or_insert(by);
        if registered > self.highest && !self.is_settled(now) {
            let started_at = self.started_at.unwrap_or(now);
            let from = now.plus_millis(SETTLED_MS).min(by);
            self.counts_from = Some(from.max(started_at.plus_millis(VOTE_MS)));
        }
        self.highest = self.highest.max(registered);
        self.registered.set(now, registered);
    }

    /// Returns whether votes count: the registered routers have been known for a while.
    pub(crate) fn is_settled(&self, now: Time) -> bool {
        self.counts_from.is_some_and(|from| from <= now)
    }

    /// Returns whether a message is newer than all of its sender before, and remembers it.
    pub(crate) fn is_new(&mut self, now: Time, ask: &QuotaAsk) -> bool {
        let voter = self.voters.entry(ask.router).or_insert(Voter {
            seq: 0,
            valid_until: None,
            routers: 0,
            seen_at: now,
        });
        let is_new = ask.seq > voter.seq;
        if is_new {
            voter.seq = ask.seq;
            voter.routers = ask.routers;
            voter.seen_at = now;
        }
        is_new
    }

    /// Counts the vote of a new message, if it is one. Returns until when it is valid.
    pub(crate) fn count(&mut self, now: Time, ask: &QuotaAsk) -> Option<Time> {
        let started_at = self.started_at.unwrap_or(now);
        let echo = ask.echo_us.map(Time);
        let echo = echo.filter(|echo| *echo >= started_at && *echo <= now);
        let valid_until = echo.map(|echo| echo.plus_millis(VOTE_MS));
        let valid_until = valid_until.filter(|until| *until > now);
        let voter = self.voters.get_mut(&ask.router)?;
        voter.valid_until = valid_until;
        valid_until
    }

    /// Returns whether a router has sent something lately.
    pub(crate) fn knows(&self, router: u64) -> bool {
        self.voters.contains_key(&router)
    }

    /// Returns whether the vote of a router counts.
    pub(crate) fn has_vote(&self, now: Time, router: u64) -> bool {
        let voter = self.voters.get(&router);
        let until = voter.and_then(|voter| voter.valid_until);
        until.is_some_and(|until| until > now)
    }

    /// Removes the vote of a router. Returns until when it is valid: it no longer is.
    pub(crate) fn release(&mut self, router: u64) -> Option<Time> {
        let voter = self.voters.get_mut(&router)?;
        voter.valid_until = None;
        None
    }

    /// Returns when the first vote expires after a time.
    pub(crate) fn next_expiry(&self, after: Time) -> Time {
        let expiries = self.voters.values().filter_map(|voter| voter.valid_until);
        let expiries = expiries.filter(|at| *at > after);
        expiries.min().unwrap_or(Time::MAX)
    }

    /// Returns the share of the quotas at `now`.
    pub(crate) fn share(&self, now: Time) -> QuotaShare {
        if !self.is_settled(now) {
            return QuotaShare::default();
        }
        let valid = |voter: &&Voter| voter.valid_until.is_some_and(|until| until > now);
        let voters = self.voters.values().filter(valid);
        let votes = voters.clone().count();
        let known = voters.map(|voter| voter.routers).max().unwrap_or(0);
        let registered = self.registered.get(now).unwrap_or(0);
        QuotaShare {
            votes: u32::try_from(votes).unwrap_or(u32::MAX),
            routers: known.max(registered),
        }
    }

    /// Forgets routers that have long sent nothing.
    pub(crate) fn forget(&mut self, now: Time) {
        self.voters
            .retain(|_, voter| now.millis_since(voter.seen_at) < REMEMBERED_MS);
    }
}
