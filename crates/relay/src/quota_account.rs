//! What one router may spend of the quota of one workspace.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use policy::Time;

use crate::quota_demand::QuotaDemand;
use crate::Quota;
use crate::QuotaGrant;
use crate::QuotaNeed;
use crate::QuotaSpend;

/// Time whose expected requests are provided for, in milliseconds.
const AHEAD_MS: u64 = 300;

/// The same while the quota is used up, so that a router needs fewer turns, in milliseconds; less
/// than a grant is valid.
const SCARCE_AHEAD_MS: u64 = 600;

/// Time after the last turn for which the quota counts as used up, in milliseconds.
const SCARCE_MS: u64 = 1_000;

/// Units beyond the burst that one request may count; the allocator grants no more.
const OVERDRAFT_UNITS: u64 = 60_000;

/// Units granted until some time.
#[derive(Clone, Copy, Debug)]
struct Stock {
    units: u64,
    until: Time,
    /// Lowest priority of the requests that may spend them.
    priority: u32,
}

/// Time until which requests are refused.
#[derive(Clone, Copy, Debug)]
struct Block {
    until: Time,
    /// Whether a request that needs more than what is left may still ask for the rest.
    may_complete: bool,
}

/// What a request may do now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AccountDecision {
    /// Its units were taken.
    Spent(QuotaSpend),
    /// It needs a grant.
    Wait,
    /// There are no units for it until then.
    Refused(Time),
}

/// Units granted to this router for one workspace, and what its requests need.
#[derive(Clone, Debug)]
pub(crate) struct QuotaAccount {
    pub(crate) quota: Quota,
    stock: VecDeque<Stock>,
    /// Units of the requests that wait, by priority.
    waiting: BTreeMap<u32, u64>,
    blocks: BTreeMap<u32, Block>,
    demand: BTreeMap<u32, QuotaDemand>,
    /// Units to be returned with the next message.
    returned: u64,
    /// Until when the quota counts as used up.
    scarce_until: Time,
}

impl QuotaAccount {
    /// Creates an account without units.
    pub(crate) fn new(quota: Quota) -> QuotaAccount {
        QuotaAccount {
            quota,
            stock: VecDeque::new(),
            waiting: BTreeMap::new(),
            blocks: BTreeMap::new(),
            demand: BTreeMap::new(),
            returned: 0,
            scarce_until: Time::default(),
        }
    }

    /// Replaces the quota; requests need no longer wait for their turn if it is higher.
    pub(crate) fn set_quota(&mut self, quota: Quota) {
        if quota.rate_per_s > self.quota.rate_per_s || quota.burst > self.quota.burst {
            self.blocks.clear();
        }
        self.quota = quota;
    }

    /// Returns whether a request can be granted at all.
    pub(crate) fn can_ever_grant(&self, units: u64) -> bool {
        units <= self.quota.burst.saturating_add(OVERDRAFT_UNITS)
    }

    /// Takes units for a request.
    pub(crate) fn spend(
        &mut self,
        now: Time,
        workspace: u64,
        units: u64,
        priority: u32,
    ) -> AccountDecision {
        self.expire(now);
        // No request overtakes one that waits, so that long ones aren't put off by short ones.
        let is_behind = self.waiting.keys().any(|waits| *waits <= priority);
        let stock = self.stock_for(priority);
        if !is_behind && stock >= units {
            self.count(now, units, priority);
            let until = self.take(units, priority);
            return AccountDecision::Spent(QuotaSpend {
                workspace,
                units,
                priority,
                until,
            });
        }
        let blocks = self.blocks.range(..=priority).map(|(_, block)| block);
        let block = blocks.max_by_key(|block| block.until);
        if let Some(block) = block.copied() {
            if stock < self.least(now) || !block.may_complete {
                let until = block.until;
                self.count(now, units, priority);
                return AccountDecision::Refused(until);
            }
        }
        let waiting = self.waiting.entry(priority).or_default();
        *waiting = waiting.saturating_add(units);
        AccountDecision::Wait
    }

    /// Counts a request that is refused although it waits for nothing here.
    pub(crate) fn count(&mut self, now: Time, units: u64, priority: u32) {
        self.demand.entry(priority).or_default().add(now, units);
    }

    /// Adds units that are not granted by an allocator, for requests of any priority.
    pub(crate) fn add_start_units(&mut self, units: u64, until: Time) {
        self.add(units, until, u32::MAX);
    }

    /// Gives units back.
    pub(crate) fn refund(&mut self, now: Time, spend: QuotaSpend) {
        if spend.until <= now {
            self.returned = self.returned.saturating_add(spend.units);
            return;
        }
        self.add(spend.units, spend.until, spend.priority);
    }

    /// Returns what to ask for now; none if the workspace is not active.
    pub(crate) fn next_need(&mut self, now: Time, workspace: u64) -> Option<QuotaNeed> {
        self.expire(now);
        self.demand.retain(|_, demand| demand.per_second(now) > 0);
        let first = self.waiting.first_key_value();
        let first = first.map(|(priority, units)| (*priority, *units));
        let (priority, waiting) = first.unwrap_or((u32::MAX, 0));
        let expected = self.expected(now, priority);
        if waiting == 0 {
            self.return_excess(expected);
        }
        let stock = self.stock_for(priority);
        let need = match waiting {
            0 => 0,
            // What is left of a turn serves shorter requests.
            waiting if self.scarce_until > now => waiting,
            waiting => waiting.saturating_sub(stock).max(1),
        };
        let left = stock.saturating_add(need).saturating_sub(waiting);
        let ahead = expected.saturating_sub(left);
        let returned = std::mem::take(&mut self.returned);
        let is_active = need > 0 || ahead > 0 || returned > 0;
        is_active.then_some(QuotaNeed {
            workspace,
            need,
            ahead,
            returned,
            priority,
        })
    }

    /// Adds what was granted for an earlier need of requests of `priority`; units that expire
    /// at `until` are returned if that has passed.
    pub(crate) fn apply(&mut self, now: Time, grant: &QuotaGrant, need: &QuotaNeed, until: Time) {
        if until <= now {
            self.returned = self.returned.saturating_add(grant.units);
            return;
        }
        if grant.units > 0 {
            self.add(grant.units, until, need.priority);
        }
        if need.need == 0 {
            return;
        }
        if grant.retry_after_ms == 0 {
            self.blocks.retain(|priority, _| *priority > need.priority);
            return;
        }
        if grant.units == 0 {
            // Otherwise shorter requests would be served on while longer ones are refused.
            self.return_excess(0);
        }
        let block = Block {
            until: now.plus_millis(u64::from(grant.retry_after_ms)),
            may_complete: grant.units > 0,
        };
        self.scarce_until = block.until.plus_millis(SCARCE_MS);
        self.blocks.insert(need.priority, block);
    }

    /// Forgets when the next grant was expected.
    pub(crate) fn clear_blocks(&mut self) {
        self.blocks.clear();
    }

    /// Forgets which requests wait, as all of them ask again.
    pub(crate) fn clear_waiting(&mut self) {
        self.waiting.clear();
    }

    fn expected(&mut self, now: Time, priority: u32) -> u64 {
        let demands = self.demand.range_mut(..=priority);
        let per_second = demands.fold(0_u64, |sum, (_, demand)| {
            sum.saturating_add(demand.per_second(now))
        });
        let ahead_ms = match self.scarce_until > now {
            true => SCARCE_AHEAD_MS,
            false => AHEAD_MS,
        };
        let ahead = u128::from(per_second) * u128::from(ahead_ms) / 1_000;
        u64::try_from(ahead).unwrap_or(u64::MAX)
    }

    /// Returns the units of the smallest request lately; less than that is as good as nothing,
    /// and causes no message.
    fn least(&mut self, now: Time) -> u64 {
        let demands = self.demand.values_mut();
        let least = demands.filter_map(|demand| demand.least(now)).min();
        least.unwrap_or(1).max(1)
    }

    fn stock_for(&self, priority: u32) -> u64 {
        let usable = self.stock.iter().filter(|s| s.priority >= priority);
        usable.fold(0, |sum, stock| sum.saturating_add(stock.units))
    }

    /// Takes units that are there and returns when the first of them would have expired.
    fn take(&mut self, units: u64, priority: u32) -> Time {
        let mut left = units;
        let mut until = Time::MAX;
        for stock in self.stock.iter_mut().filter(|s| s.priority >= priority) {
            let taken = stock.units.min(left);
            stock.units -= taken;
            left -= taken;
            if taken > 0 {
                until = until.min(stock.until);
            }
        }
        self.stock.retain(|stock| stock.units > 0);
        until
    }

    fn add(&mut self, units: u64, until: Time, priority: u32) {
        let before = self.stock.partition_point(|stock| stock.until <= until);
        self.stock.insert(
            before,
            Stock {
                units,
                until,
                priority,
            },
        );
    }

    fn return_excess(&mut self, expected: u64) {
        let kept = expected.saturating_mul(2);
        let mut excess = self.stock_for(0).saturating_sub(kept);
        while let Some(first) = self.stock.front_mut().filter(|_| excess > 0) {
            let units = first.units.min(excess);
            first.units -= units;
            excess -= units;
            self.returned = self.returned.saturating_add(units);
            if first.units == 0 {
                self.stock.pop_front();
            }
        }
    }

    fn expire(&mut self, now: Time) {
        while let Some(first) = self.stock.front().filter(|stock| stock.until <= now) {
            self.returned = self.returned.saturating_add(first.units);
            self.stock.pop_front();
        }
        self.blocks.retain(|_, block| block.until > now);
    }
}
