//! Grants the quotas of workspaces to the routers that vote for this one.

use std::collections::BTreeMap;

use policy::Time;

use crate::quota_bucket::QuotaBucket;
use crate::quota_turns::QuotaTurns;
use crate::quota_turns::TurnPace;
use crate::quota_votes::QuotaShare;
use crate::quota_votes::QuotaVotes;
use crate::Configuration;
use crate::Quota;
use crate::QuotaAsk;
use crate::QuotaGrant;
use crate::QuotaNeed;
use crate::QuotaReply;
use crate::QuotaUnit;

/// Time whose rate a bucket must hold so that units are granted in advance, in milliseconds.
const AHEAD_LEVEL_MS: u64 = 500;

/// Time whose rate is kept for higher priorities that ask, in milliseconds.
const KEPT_FOR_HIGHER_MS: u64 = 100;

/// Time whose rate a bucket may be overdrawn by for routers in their turn, in milliseconds.
const TURN_OVERDRAFT_MS: u64 = 150;

/// Time whose rate is granted in advance at most at the beginning of a turn, in milliseconds.
const TURN_UNITS_MS: u64 = 50;

/// How far the turns lie apart while a bucket is empty, as a multiple of the time that it takes to
/// make up for one; more than 1, as otherwise many routers find it empty in their turns.
const EMPTY_SPREAD: f64 = 1.5;

/// Tokens by which one need may overdraw a bucket; more than the longest usual requests count.
const OVERDRAFT_TOKENS: u64 = 60_000;

/// Time after which a router asks again while nothing can be granted to anyone, in milliseconds.
const NO_SHARE_RETRY_MS: u32 = 200;

/// Interval at which routers are forgotten that have long sent nothing, in milliseconds.
const FORGET_MS: u64 = 1_000;

/// Time whose rate a bucket holds when the turns lie as far apart as the quota takes to make up for
/// one, doubled, in milliseconds.
const PACE_MS: u64 = 100;

/// Least time after which a router asks again that got nothing, in milliseconds.
const MIN_RETRY_MS: u64 = 20;

/// Time whose rate a bucket must hold so that no turns are assigned, in milliseconds.
const ENOUGH_MS: u64 = 200;

/// Time for which an allocator that has an older configuration than a voter still grants, in
/// milliseconds; the deadline for configurations is 4 s.
const BEHIND_MS: u64 = 2_000;

/// One workspace at the allocator.
#[derive(Clone, Debug)]
struct Account {
    quota: Quota,
    bucket: QuotaBucket,
    turns: QuotaTurns,
}

/// Decides which router may use how much of each quota.
#[derive(Clone, Debug)]
pub struct QuotaAllocator {
    me: u64,
    votes: QuotaVotes,
    /// Accounts by the hash of the workspace's name.
    accounts: BTreeMap<u64, Account>,
    /// Version of the configuration from which the quotas are.
    configuration: u64,
    /// Since when a router has known a later configuration.
    behind_since: Option<Time>,
    /// Share of the quotas, and the time up to which it is known.
    share: QuotaShare,
    shared_at: Time,
    /// No vote expires before that.
    expires_at: Time,
    /// When routers are next forgotten that have long sent nothing.
    forgets_at: Time,
    is_stopping: bool,
    /// The latest reply to each voter, which is repeated if its message comes again.
    replies: BTreeMap<u64, QuotaReply>,
}

impl QuotaAllocator {
    /// Creates the allocator of the router with the name hash `me`; it grants nothing yet.
    pub fn new(me: u64) -> QuotaAllocator {
        QuotaAllocator {
            me,
            votes: QuotaVotes::default(),
            accounts: BTreeMap::new(),
            configuration: 0,
            behind_since: None,
            share: QuotaShare::default(),
            shared_at: Time::default(),
            expires_at: Time::MAX,
            forgets_at: Time::default(),
            is_stopping: false,
            replies: BTreeMap::new(),
        }
    }

    /// Sets the number of registered routers; none while it is unknown. The last number stays in
    /// force while the store is unavailable.
    pub fn set_routers(&mut self, now: Time, registered: Option<usize>) {
        self.advance(now);
        if let Some(registered) = registered {
            self.votes.set_routers(now, registered);
            self.update_share(now);
        }
    }

    /// Sets the quotas in force.
    pub fn set_quotas(&mut self, now: Time, configuration: &Configuration) {
        self.advance(now);
        let share = self.share;
        let mut former = std::mem::take(&mut self.accounts);
        for workspace in &configuration.workspaces {
            let Some(quota) = workspace.quota else {
                continue;
            };
            let hash = policy::name_hash(&workspace.name);
            let mut account = former.remove(&hash).unwrap_or_else(|| Account {
                quota,
                bucket: QuotaBucket::new(now, quota, share),
                turns: QuotaTurns::default(),
            });
            if account.quota != quota {
                account.quota = quota;
                account.bucket.set_quota(now, quota);
                account.turns = QuotaTurns::default();
            }
            self.accounts.insert(hash, account);
        }
        self.configuration = configuration.version;
        self.behind_since = None;
    }

    /// Answers a router: counts its vote and grants what it needs.
    pub fn answer(&mut self, now: Time, ask: &QuotaAsk) -> QuotaReply {
        self.advance(now);
        let latest = self.replies.get(&ask.router);
        if let Some(reply) = latest.filter(|reply| reply.seq == ask.seq) {
            return reply.clone();
        }
        let is_new = self.votes.is_new(now, ask);
        let accepts = self.accepts(now, ask.configuration);
        if is_new {
            self.take_vote(now, ask, accepts);
        }
        let is_wanted = ask.release || !accepts;
        let released = is_wanted && !self.votes.has_vote(now, ask.router);
        let grants = if is_new {
            let needs = ask.needs.iter();
            needs
                .map(|need| self.grant(now, ask.router, need, accepts))
                .collect()
        } else {
            Vec::new()
        };
        let reply = QuotaReply {
            allocator: self.me,
            seq: ask.seq,
            at_us: now.0,
            accepts,
            released,
            grants,
        };
        if is_new {
            self.replies.insert(ask.router, reply.clone());
        }
        reply
    }

    /// Releases all voters with the next reply to each, as this router stops.
    pub fn begin_stop(&mut self) {
        self.is_stopping = true;
    }

    /// Returns whether this router may be an allocator for a router with some configuration.
    fn accepts(&mut self, now: Time, configuration: u64) -> bool {
        if configuration > self.configuration {
            self.behind_since.get_or_insert(now);
        }
        let is_behind = self
            .behind_since
            .is_some_and(|since| now.millis_since(since) >= BEHIND_MS);
        self.votes.is_settled(now) && !self.is_stopping && !is_behind
    }

    /// Brings the buckets up to `now`, with the share that they had at each time.
    fn advance(&mut self, now: Time) {
        self.votes.start(now);
        while self.expires_at <= now {
            let at = self.expires_at.max(self.shared_at);
            self.update_share(at);
            self.expires_at = self.votes.next_expiry(at);
        }
        self.shared_at = self.shared_at.max(now);
        if self.forgets_at <= now {
            self.forgets_at = now.plus_millis(FORGET_MS);
            self.votes.forget(now);
            let votes = &self.votes;
            self.replies.retain(|router, _| votes.knows(*router));
            self.update_share(now);
        }
    }

    /// Counts the vote of a new message, or removes it.
    fn take_vote(&mut self, now: Time, ask: &QuotaAsk, accepts: bool) {
        let had_vote = self.votes.has_vote(now, ask.router);
        let until = match ask.release || !accepts {
            true => self.votes.release(ask.router),
            false => self.votes.count(now, ask),
        };
        if let Some(until) = until {
            self.expires_at = self.expires_at.min(until);
        }
        if had_vote != until.is_some() || ask.routers > self.share.routers {
            self.update_share(now);
        }
    }

    fn update_share(&mut self, now: Time) {
        self.shared_at = self.shared_at.max(now);
        let share = self.votes.share(now);
        if share == self.share {
            return;
        }
        self.share = share;
        for account in self.accounts.values_mut() {
            account.bucket.set_share(now, share);
        }
    }

    fn grant(&mut self, now: Time, router: u64, need: &QuotaNeed, accepts: bool) -> QuotaGrant {
        let mut grant = QuotaGrant {
            workspace: need.workspace,
            units: 0,
            retry_after_ms: NO_SHARE_RETRY_MS,
        };
        let has_share = self.share.votes > 0;
        let Some(account) = self.accounts.get_mut(&need.workspace) else {
            return grant;
        };
        account.bucket.take_back(now, router, need.returned);
        if !accepts || !has_share {
            return grant;
        }
        grant.retry_after_ms = 0;
        let level = account.bucket.level(now);
        if level >= account.ahead_level() {
            grant.units = account.ample_units(level, need);
        } else if need.need > 0 {
            account.turns.record(now, need.priority);
            grant = account.scarce_grant(now, router, level, need);
        }
        if grant.units > 0 {
            account.bucket.grant(now, router, grant.units);
        }
        grant
    }
}

impl Account {
    /// Returns how much the bucket must hold so that units are granted in advance.
    fn ahead_level(&self) -> i128 {
        let half = self.bucket.capacity() / 2;
        self.bucket.units_in(AHEAD_LEVEL_MS).min(half).max(1)
    }

    /// Returns the units by which one need may overdraw the bucket.
    fn overdraft(&self) -> i128 {
        match self.quota.unit {
            QuotaUnit::Requests => 0,
            QuotaUnit::Tokens { .. } => i128::from(OVERDRAFT_TOKENS),
        }
    }

    fn ample_units(&self, level: i128, need: &QuotaNeed) -> u64 {
        let now = i128::from(need.need).min(level + self.overdraft());
        let left = (level - now - self.ahead_level()).max(0);
        to_units(now + i128::from(need.ahead).min(left))
    }

    /// Grants what a router needs of a bucket that holds little, if it is its turn.
    fn scarce_grant(
        &mut self,
        now: Time,
        router: u64,
        level: i128,
        need: &QuotaNeed,
    ) -> QuotaGrant {
        let is_serving = self.turns.is_serving(router);
        let is_outranked = self.turns.is_outranked(need.priority);
        let kept = match is_outranked {
            true => self.bucket.units_in(KEPT_FOR_HIGHER_MS),
            false => 0,
        };
        let overdrawn = match is_serving && !is_outranked {
            true => self.bucket.units_in(TURN_OVERDRAFT_MS),
            false => 0,
        };
        let usable = level - kept + overdrawn;
        let mut units = 0;
        if usable > 0 {
            let at_most = ((level - kept).max(0) + self.overdraft()).max(1);
            units = to_units(i128::from(need.need).min(at_most));
            if !is_serving {
                let at_most = match is_outranked {
                    true => (level - kept - i128::from(units)).max(0),
                    false => self.bucket.units_in(TURN_UNITS_MS),
                };
                let ahead = i128::from(need.ahead).min(at_most);
                units += to_units(ahead);
                self.turns.begin(now, router);
            }
            self.turns.add(units);
        } else {
            self.turns.end(router);
        }
        let left = level - kept - i128::from(units);
        let enough = match self.turns.outranks(need.priority) {
            // The others leave enough for the next requests of this one.
            true => 0,
            false => self.bucket.units_in(ENOUGH_MS),
        };
        let is_short = units == 0 || left < enough;
        let retry_after_ms = match is_short {
            true => self.wait_ms(now, router, need.priority, left),
            false => 0,
        };
        QuotaGrant {
            workspace: need.workspace,
            units,
            retry_after_ms,
        }
    }

    /// Returns the time until a router's next turn; `left` is what the bucket holds for it.
    fn wait_ms(&mut self, now: Time, router: u64, priority: u32, left: i128) -> u32 {
        let fills_ms = self.bucket.millis_for(1 - left);
        if self.turns.outranks(priority) && !self.turns.is_outranked(priority) {
            // It needs no turns, as lower priorities wait for it.
            let ms = fills_ms.clamp(MIN_RETRY_MS, self.bucket.latest_turn_ms(now));
            return u32::try_from(ms).unwrap_or(u32::MAX);
        }
        let enough = self.bucket.units_in(PACE_MS);
        let rate_per_ms = self.bucket.units_in(1_000).max(1) as f64 / 1_000.0;
        let filled = left.max(0) as f64 / enough.max(1) as f64;
        let pace = TurnPace {
            fills_ms,
            latest_ms: self.bucket.latest_turn_ms(now),
            turn_ms: self.turns.average_units() / rate_per_ms,
            spread: (EMPTY_SPREAD - filled).max(0.0),
        };
        let ms = self.turns.wait_ms(now, router, pace);
        u32::try_from(ms).unwrap_or(u32::MAX)
    }
}

fn to_units(units: i128) -> u64 {
    u64::try_from(units.max(0)).unwrap_or(u64::MAX)
}
