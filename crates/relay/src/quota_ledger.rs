//! What one router may spend of the quotas of workspaces, and whom it asks for more.

use std::collections::BTreeMap;

use policy::Time;

use crate::quota_account::AccountDecision;
use crate::quota_account::QuotaAccount;
use crate::quota_candidates::QuotaCandidates;
use crate::quota_candidates::SideMessage;
use crate::recent_max::RecentMax;
use crate::Configuration;
use crate::QuotaAsk;
use crate::QuotaNeed;
use crate::QuotaReply;

/// Interval of the messages to the allocator, in milliseconds.
const ASK_MS: u64 = 250;

/// Time for which a grant is valid after it was asked for, in milliseconds.
const GRANT_MS: u64 = 700;

/// Time whose rate a router may spend after its start before an allocator counts its vote, in
/// milliseconds, as its share of all routers; a fraction of what the operators tolerate.
const START_RATE_MS: u64 = 250;

/// Time after its start in which it may do so, in milliseconds.
const START_MS: u64 = 2_000;

/// Time after which the next candidate is asked if one accepts no votes, in milliseconds; doubled
/// with each further one, as after a start of all routers none does.
const NEXT_MS: u64 = 20;
const MAX_DOUBLINGS: u32 = 4;

/// Time without a reply after which a message is repeated with the same number, in milliseconds;
/// more than a round trip between regions takes. If the reply was lost, the allocator repeats it,
/// so that what it granted isn't lost.
const REPEAT_MS: u64 = 40;

/// Time for which a message without a reply is remembered, in milliseconds. Later replies are
/// ignored.
const REMEMBERED_MS: u64 = 1_500;

/// Time after which callers may come back while no allocator is known to answer, and for a request
/// that counts more than the quota ever has, in milliseconds.
const NO_ALLOCATOR_RETRY_MS: u64 = 1_000;
const NEVER_RETRY_MS: u64 = 60_000;

/// Least range over which the times are spread at which refused callers may come back, in
/// milliseconds.
const RETRY_SPREAD_MS: u64 = 1_000;

/// Units taken for one attempt, which can be given back with [`QuotaLedger::refund`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaSpend {
    /// Hash of the workspace's name.
    pub workspace: u64,
    /// Units taken.
    pub units: u64,
    /// Lowest priority of the requests that may spend them if they are given back.
    pub(crate) priority: u32,
    /// When they expire if they are given back.
    pub(crate) until: Time,
}

/// Whether an attempt may be sent under the quota of its workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaDecision {
    /// The workspace has no quota.
    Unlimited,
    /// The attempt may be sent; its units are taken.
    Spent(QuotaSpend),
    /// A grant has been asked for, or is to be asked for now. The caller decides again after the
    /// next reply.
    Wait,
    /// The quota is used up.
    Refused {
        /// Time after which the workspace is expected to have units again, in milliseconds.
        retry_after_ms: u64,
    },
}

/// A message that has not been answered.
#[derive(Clone, Debug)]
struct SentAsk {
    to: u64,
    at: Time,
    ask: QuotaAsk,
}

/// Grants that this router has and the votes by which it gets them.
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    me: u64,
    candidates: QuotaCandidates,
    /// Accounts by the hash of the workspace's name.
    accounts: BTreeMap<u64, QuotaAccount>,
    configuration: u64,
    /// Whether the units for the start were added to the accounts.
    has_start_units: bool,
    routers: RecentMax,
    seq: u64,
    /// Messages without a reply, by number.
    sent: BTreeMap<u64, SentAsk>,
    /// When the next message to the allocator is due though no request waits.
    ask_at: Time,
    /// Number of the last message to the allocator, if that has no reply yet; one at a time.
    in_flight: Option<u64>,
    /// When that message is repeated.
    repeat_at: Time,
    has_waiting: bool,
    /// Before that, no message goes to an allocator, as the last one accepted no votes.
    not_before: Time,
    /// Number of replies in a row that accepted no votes.
    not_accepted: u32,
}

impl QuotaLedger {
    /// Creates the ledger of the router with the name hash `me`.
    pub fn new(me: u64) -> QuotaLedger {
        QuotaLedger {
            me,
            candidates: QuotaCandidates::new(me),
            accounts: BTreeMap::new(),
            configuration: 0,
            has_start_units: false,
            routers: RecentMax::default(),
            seq: 0,
            sent: BTreeMap::new(),
            ask_at: Time::default(),
            in_flight: None,
            repeat_at: Time::default(),
            has_waiting: false,
            not_before: Time::default(),
            not_accepted: 0,
        }
    }

    /// Sets the routers that may be allocators, in order of preference.
    pub fn set_candidates(&mut self, now: Time, candidates: Vec<u64>) {
        self.candidates.start(now);
        self.candidates.set(candidates);
    }

    /// Sets the quotas in force.
    pub fn set_quotas(&mut self, now: Time, configuration: &Configuration) {
        self.candidates.start(now);
        let mut former = std::mem::take(&mut self.accounts);
        for workspace in &configuration.workspaces {
            let Some(quota) = workspace.quota else {
                continue;
            };
            let hash = policy::name_hash(&workspace.name);
            let account = former.remove(&hash);
            let mut account = account.unwrap_or_else(|| QuotaAccount::new(quota));
            account.set_quota(quota);
            self.accounts.insert(hash, account);
        }
        self.configuration = configuration.version;
        self.add_start_units(now);
    }

    /// Sets the number of registered routers.
    pub fn set_routers(&mut self, now: Time, routers: usize) {
        let routers = u32::try_from(routers).unwrap_or(u32::MAX);
        self.routers.set(now, routers);
        self.add_start_units(now);
    }

    /// Takes units for an attempt that is about to be sent.
    pub fn spend(
        &mut self,
        now: Time,
        workspace: u64,
        units: u64,
        priority: u32,
        seed: u64,
    ) -> QuotaDecision {
        let Some(account) = self.accounts.get_mut(&workspace) else {
            return QuotaDecision::Unlimited;
        };
        if !account.can_ever_grant(units) {
            return refused(NEVER_RETRY_MS, seed);
        }
        match account.spend(now, workspace, units, priority) {
            AccountDecision::Spent(spend) => QuotaDecision::Spent(spend),
            AccountDecision::Refused(until) => {
                refused(until.micros_since(now).div_ceil(1_000), seed)
            }
            AccountDecision::Wait if !self.candidates.may_answer(now) => {
                account.clear_waiting();
                account.count(now, units, priority);
                refused(NO_ALLOCATOR_RETRY_MS, seed)
            }
            AccountDecision::Wait => {
                self.has_waiting = true;
                QuotaDecision::Wait
            }
        }
    }

    /// Gives the units of an attempt back that a server rejected or that was not sent.
    pub fn refund(&mut self, now: Time, spend: QuotaSpend) {
        if let Some(account) = self.accounts.get_mut(&spend.workspace) {
            account.refund(now, spend);
        }
    }

    /// Returns the next message and to whom it goes, if one is due. It is to be sent.
    pub fn next_ask(&mut self, now: Time) -> Option<(u64, QuotaAsk)> {
        if self.accounts.is_empty() {
            return None;
        }
        self.candidates.start(now);
        self.sent
            .retain(|_, sent| now.millis_since(sent.at) < REMEMBERED_MS);
        let before = self.candidates.last();
        let current = self.candidates.current(now)?;
        if before != Some(current) {
            self.begin_with(now);
        }
        if let Some(message) = self.candidates.next_side_message(now) {
            return Some(self.side_ask(now, message));
        }
        if self.ask_due() <= now {
            return Some(self.ask(now, current));
        }
        self.repeat(now)
    }

    /// Applies a reply of an allocator.
    pub fn apply(&mut self, now: Time, reply: &QuotaReply) {
        let is_from = |sent: &SentAsk| sent.to == reply.allocator;
        if !self.sent.get(&reply.seq).is_some_and(is_from) {
            return;
        }
        let Some(sent) = self.sent.remove(&reply.seq) else {
            return;
        };
        let before = self.candidates.last();
        self.candidates.apply(now, reply);
        if before != self.candidates.last() {
            self.begin_with(now);
        }
        if reply.accepts {
            self.not_accepted = 0;
        } else {
            let doublings = self.not_accepted.min(MAX_DOUBLINGS);
            self.not_before = now.plus_millis(NEXT_MS << doublings);
            self.not_accepted += 1;
        }
        let until = sent.at.plus_millis(GRANT_MS);
        for grant in &reply.grants {
            let needs = &sent.ask.needs;
            let need = needs.iter().find(|n| n.workspace == grant.workspace);
            let account = self.accounts.get_mut(&grant.workspace);
            if let (Some(need), Some(account)) = (need, account) {
                account.apply(now, grant, need, until);
            }
        }
        for account in self.accounts.values_mut() {
            account.clear_waiting();
        }
        self.has_waiting = false;
        self.in_flight = self.in_flight.filter(|seq| *seq != reply.seq);
    }

    /// Returns when `next_ask` is to be called next; none while there are no quotas.
    pub fn next_due(&self) -> Option<Time> {
        if self.accounts.is_empty() || self.candidates.is_empty() {
            return None;
        }
        let repeat = self.in_flight.map(|_| self.repeat_at);
        let due = repeat.into_iter().chain(self.candidates.side_due());
        Some(due.fold(self.ask_due(), Time::min))
    }

    /// Returns when the next message to the allocator is due that is not a repeated one.
    fn ask_due(&self) -> Time {
        let is_urgent = self.has_waiting && self.in_flight.is_none();
        let urgent = is_urgent.then_some(self.not_before);
        let due = urgent.into_iter().chain(self.candidates.vote_due());
        due.fold(self.ask_at, Time::min).max(self.not_before)
    }

    /// Begins to ask an allocator: what an earlier one said of the time of the next grant and
    /// the messages to it no longer matter.
    fn begin_with(&mut self, now: Time) {
        for account in self.accounts.values_mut() {
            account.clear_blocks();
        }
        self.in_flight = None;
        self.ask_at = now;
    }

    fn repeat(&mut self, now: Time) -> Option<(u64, QuotaAsk)> {
        let seq = self.in_flight.filter(|_| self.repeat_at <= now)?;
        let sent = self.sent.get(&seq)?;
        self.repeat_at = now.plus_millis(REPEAT_MS);
        Some((sent.to, sent.ask.clone()))
    }

    /// Adds what this router may spend before an allocator counts its vote, once it knows the quotas
    /// and how many routers there are.
    fn add_start_units(&mut self, now: Time) {
        let Some(routers) = self.routers.get(now).filter(|_| !self.has_start_units) else {
            return;
        };
        self.has_start_units = !self.accounts.is_empty();
        let until = now.plus_millis(START_MS);
        for account in self.accounts.values_mut() {
            let units = account.quota.rate_per_s / (1_000 / START_RATE_MS);
            account.add_start_units(units / u64::from(routers.max(1)), until);
        }
    }

    fn ask(&mut self, now: Time, allocator: u64) -> (u64, QuotaAsk) {
        let accounts = self.accounts.iter_mut();
        let needs: Vec<QuotaNeed> = accounts
            .filter_map(|(workspace, account)| account.next_need(now, *workspace))
            .collect();
        let echo_us = self.candidates.echo(now, allocator);
        let ask = QuotaAsk {
            echo_us,
            needs,
            ..self.empty_ask(now)
        };
        self.candidates.record_ask(now, allocator, ask.seq);
        self.in_flight = Some(ask.seq);
        self.has_waiting &= self.candidates.may_answer(now);
        self.repeat_at = now.plus_millis(REPEAT_MS);
        self.ask_at = now.plus_millis(ASK_MS);
        self.remember(now, allocator, &ask);
        (allocator, ask)
    }

    fn side_ask(&mut self, now: Time, message: SideMessage) -> (u64, QuotaAsk) {
        let (to, release) = match message {
            SideMessage::Probe(router) => (router, false),
            SideMessage::Release(router) => (router, true),
        };
        let ask = QuotaAsk {
            release,
            ..self.empty_ask(now)
        };
        self.remember(now, to, &ask);
        (to, ask)
    }

    fn empty_ask(&mut self, now: Time) -> QuotaAsk {
        // Numbers grow over a restart too, so that an allocator counts the votes after it.
        self.seq = now.0.max(self.seq + 1);
        QuotaAsk {
            router: self.me,
            seq: self.seq,
            configuration: self.configuration,
            routers: self.routers.get(now).unwrap_or(0),
            ..QuotaAsk::default()
        }
    }

    fn remember(&mut self, now: Time, to: u64, ask: &QuotaAsk) {
        let ask = ask.clone();
        self.sent.insert(ask.seq, SentAsk { to, at: now, ask });
    }
}

/// Refuses a request; callers may come back over a time after the quota has units again.
fn refused(ms: u64, seed: u64) -> QuotaDecision {
    let spread_ms = ms.saturating_mul(2).max(RETRY_SPREAD_MS);
    QuotaDecision::Refused {
        retry_after_ms: ms + seed % spread_ms,
    }
}
