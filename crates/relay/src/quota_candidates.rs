//! Which router one asks for quotas, and where its vote is.
//!
//! A vote moves only when the allocator that has it released it, or when it has expired there: it
//! counts for some time after the reply on which it is based was sent, and this router waits as
//! long after that reply arrived. So it doesn't matter how long the vote takes.

use std::collections::BTreeMap;

use policy::Time;

use crate::quota_votes::VOTE_MS;
use crate::QuotaReply;

/// Time without an answer after which an allocator is excluded, in milliseconds.
const TIMEOUT_MS: u64 = 600;

/// Time without an answer after which no request waits for one, in milliseconds.
const NO_REPLY_MS: u64 = 300;

/// Time by which a vote may expire later than this router's clock says, as clocks differ in speed,
/// in milliseconds.
const DRIFT_MS: u64 = 10;

/// Time for which an allocator is excluded that doesn't answer, in milliseconds.
const EXCLUDED_MS: u64 = 5_000;

/// Time for which an allocator is excluded that doesn't accept votes, in milliseconds.
const NOT_READY_MS: u64 = 1_000;

/// Range over which routers spread the end of an exclusion, in milliseconds.
const EXCLUSION_SPREAD_MS: u64 = 500;

/// Interval of the messages that ask for a release or whether a candidate answers again, in
/// milliseconds.
const REPEAT_MS: u64 = 250;

/// Time of an allocator's latest reply, by its own clock.
#[derive(Clone, Copy, Debug)]
struct Echo {
    seq: u64,
    at_us: u64,
    /// When the reply arrived, by this router's clock.
    received_at: Time,
}

/// Where the vote is.
#[derive(Clone, Copy, Debug)]
struct Vote {
    allocator: u64,
    /// Number of the last message that carried it.
    seq: u64,
    /// When it has expired there.
    until: Time,
}

/// A message other than that which asks for units.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SideMessage {
    /// Asks whether a candidate answers that comes before the one in use.
    Probe(u64),
    /// Takes the vote back from an allocator.
    Release(u64),
}

/// Candidates, the one in use and the vote.
#[derive(Clone, Debug)]
pub(crate) struct QuotaCandidates {
    me: u64,
    candidates: Vec<u64>,
    excluded_until: BTreeMap<u64, Time>,
    current: Option<u64>,
    /// When the first of the messages was sent that the current one has not answered.
    unanswered_since: Option<Time>,
    /// Candidate that is probed, and when that began.
    probed: Option<(u64, Time)>,
    vote: Option<Vote>,
    /// Before that, a vote of an earlier run of this router may still count somewhere.
    free_from: Option<Time>,
    echoes: BTreeMap<u64, Echo>,
    side_at: Time,
}

impl QuotaCandidates {
    /// Creates the choice of the router with the name hash `me`.
    pub(crate) fn new(me: u64) -> QuotaCandidates {
        QuotaCandidates {
            me,
            candidates: Vec::new(),
            excluded_until: BTreeMap::new(),
            current: None,
            unanswered_since: None,
            probed: None,
            vote: None,
            free_from: None,
            echoes: BTreeMap::new(),
            side_at: Time::default(),
        }
    }

    /// Records that this router runs.
    pub(crate) fn start(&mut self, now: Time) {
        self.free_from.get_or_insert(now.plus_millis(VOTE_MS));
    }

    /// Replaces the candidates, in order of preference.
    pub(crate) fn set(&mut self, candidates: Vec<u64>) {
        self.candidates = candidates;
        let is_left = |router: &u64| !self.candidates.contains(router);
        if self.current.as_ref().is_some_and(is_left) {
            self.current = None;
            self.unanswered_since = None;
        }
        self.probed = self.probed.filter(|(router, _)| !is_left(router));
        self.echoes.retain(|router, _| !is_left(router));
        self.excluded_until.retain(|router, _| !is_left(router));
    }

    /// Returns the router to ask now; none if there are no candidates.
    pub(crate) fn current(&mut self, now: Time) -> Option<u64> {
        self.excluded_until.retain(|_, until| *until > now);
        if self.silent_ms(now) >= TIMEOUT_MS {
            if let Some(silent) = self.current {
                self.exclude(now, silent, EXCLUDED_MS);
            }
        }
        if self.current.is_none() {
            self.current = self.first_usable();
            self.probed = None;
        }
        self.current
    }

    /// Returns whether there are no candidates.
    pub(crate) fn is_empty(&self) -> bool {
        self.candidates.is_empty()
    }

    /// Returns whether a reply can be expected soon.
    pub(crate) fn may_answer(&self, now: Time) -> bool {
        !self.is_empty() && self.silent_ms(now) < NO_REPLY_MS
    }

    /// Returns how long the current one has not answered, in milliseconds.
    fn silent_ms(&self, now: Time) -> u64 {
        let since = self.unanswered_since;
        since.map_or(0, |since| now.millis_since(since))
    }

    /// Returns the one in use or the one before it, without looking whether it still answers.
    pub(crate) fn last(&self) -> Option<u64> {
        self.current
    }

    /// Returns the echo for a message to an allocator; none if it must not count as a vote.
    pub(crate) fn echo(&self, now: Time, allocator: u64) -> Option<u64> {
        if self.free_at(allocator) > now {
            return None;
        }
        self.echoes.get(&allocator).map(|echo| echo.at_us)
    }

    /// Returns when the vote can go to the one in use, if it is not there and can be accepted.
    pub(crate) fn vote_due(&self) -> Option<Time> {
        let current = self.current?;
        let is_there = self.vote.is_some_and(|vote| vote.allocator == current);
        let can_vote = !is_there && self.echoes.contains_key(&current);
        can_vote.then(|| self.free_at(current))
    }

    /// Returns from when the vote may be given to an allocator.
    fn free_at(&self, allocator: u64) -> Time {
        let elsewhere = self.vote.filter(|vote| vote.allocator != allocator);
        let until = elsewhere.map_or(Time::default(), |vote| vote.until);
        until.max(self.free_from.unwrap_or(Time::MAX))
    }

    /// Records that a message that asks for units is sent to the current one.
    pub(crate) fn record_ask(&mut self, now: Time, allocator: u64, seq: u64) {
        self.unanswered_since.get_or_insert(now);
        if self.echo(now, allocator).is_none() {
            return;
        }
        if let Some(echo) = self.echoes.get(&allocator) {
            self.vote = Some(Vote {
                allocator,
                seq,
                until: echo.received_at.plus_millis(VOTE_MS + DRIFT_MS),
            });
        }
    }

    /// Returns another message that is due.
    pub(crate) fn next_side_message(&mut self, now: Time) -> Option<SideMessage> {
        if self.side_at > now {
            return None;
        }
        self.side_at = now.plus_millis(REPEAT_MS);
        self.side_message(now)
    }

    /// Returns when to look for another message.
    pub(crate) fn side_due(&self) -> Option<Time> {
        let current = self.current?;
        let is_first = self.candidates.first() == Some(&current);
        let elsewhere = self.vote.filter(|vote| vote.allocator != current);
        (!is_first || elsewhere.is_some()).then_some(self.side_at)
    }

    /// Applies a reply to a message of this router.
    pub(crate) fn apply(&mut self, now: Time, reply: &QuotaReply) {
        let allocator = reply.allocator;
        let echo = Echo {
            seq: reply.seq,
            at_us: reply.at_us,
            received_at: now,
        };
        let known = self.echoes.entry(allocator).or_insert(echo);
        if echo.seq > known.seq {
            *known = echo;
        }
        if reply.released {
            let is_vote = |vote: &Vote| vote.allocator == allocator && vote.seq <= reply.seq;
            self.vote = self.vote.filter(|vote| !is_vote(vote));
        }
        if Some(allocator) == self.current {
            self.unanswered_since = None;
        }
        if !reply.accepts {
            self.exclude(now, allocator, NOT_READY_MS);
            return;
        }
        if self.probed.is_some_and(|(router, _)| router == allocator) {
            self.probed = None;
            self.current = Some(allocator);
            self.unanswered_since = None;
            self.side_at = now;
        }
    }

    fn side_message(&mut self, now: Time) -> Option<SideMessage> {
        let current = self.current?;
        let vote = self.vote.filter(|vote| vote.until > now);
        if let Some(vote) = vote.filter(|vote| vote.allocator != current) {
            if !self.excluded_until.contains_key(&vote.allocator) {
                return Some(SideMessage::Release(vote.allocator));
            }
        }
        if let Some((router, since)) = self.probed {
            if now.millis_since(since) < TIMEOUT_MS {
                return Some(SideMessage::Probe(router));
            }
            self.exclude(now, router, EXCLUDED_MS);
        }
        let first = self.first_usable()?;
        if self.position(first) >= self.position(current) {
            return None;
        }
        self.probed = Some((first, now));
        Some(SideMessage::Probe(first))
    }

    fn position(&self, router: u64) -> Option<usize> {
        self.candidates.iter().position(|other| *other == router)
    }

    /// Returns the first candidate that is not excluded, or the one whose exclusion ends first.
    fn first_usable(&self) -> Option<u64> {
        let candidates = self.candidates.iter().copied();
        candidates.min_by_key(|router| self.excluded_until.get(router).copied())
    }

    fn exclude(&mut self, now: Time, router: u64, ms: u64) {
        let spread_ms = policy::rendezvous_weight(now.0, self.me) % EXCLUSION_SPREAD_MS;
        let until = now.plus_millis(ms + spread_ms);
        self.excluded_until.insert(router, until);
        if self.current == Some(router) {
            self.current = None;
            self.unanswered_since = None;
        }
        self.probed = self.probed.filter(|(probed, _)| *probed != router);
    }
}
