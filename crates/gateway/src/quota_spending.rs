//! Spends the quota of a request's workspace for each of its attempts.

use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use relay::Quota;
use relay::QuotaDecision;
use tokio::sync::futures::Notified;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::clock::now;
use crate::context::Context;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::quota_task::send_due;
use crate::request_event::OverQuota;
use crate::request_event::RequestEvent;
use crate::spent_quota::SpentQuota;
use crate::timing::duration_until;

/// Longest time for which a request waits for a grant, in milliseconds.
const MAX_WAIT_MS: u64 = 100;

/// Time after which a caller may return whose request got no grant in time, and the time over which
/// such callers are spread, in milliseconds. The allocator is asked again meanwhile.
const NO_GRANT_RETRY_AFTER_MS: u64 = 250;

/// Time before the message for a request that got no grant by an earlier one is repeated.
const REPEAT_PAUSE: Duration = Duration::from_millis(5);

/// A request's workspace has used its quota up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct OverQuotaUntil {
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
}

/// Takes what the next attempt of a request counts of its workspace's quota, which may take
/// [`MAX_WAIT_MS`]. What an earlier attempt has taken stays spent.
pub async fn take(x: &mut Exchange) -> Result<(), OverQuotaUntil> {
    x.quota = None;
    let Some(need) = Need::of(x) else {
        return Ok(());
    };
    let began_at = now();
    let wait_until = began_at.plus_millis(MAX_WAIT_MS);
    let outcomes = &x.cx.metrics.quotas.decisions;
    let mut is_repeated = false;
    loop {
        let replied = x.cx.quotas.replied.notified();
        let (outcome, retry_after_ms) = match need.spend(&x.cx) {
            QuotaDecision::Unlimited => return Ok(()),
            QuotaDecision::Spent(spend) => {
                outcomes.with_label_values(&["spent"]).inc();
                let units = spend.units as f64;
                x.cx.metrics.quotas.units_spent.inc_by(units);
                x.quota = Some(SpentQuota::new(Rc::clone(&x.cx), spend));
                return Ok(());
            }
            QuotaDecision::Wait => {
                if until_replied(&x.cx, replied, wait_until, is_repeated).await {
                    is_repeated = true;
                    continue;
                }
                let spread_ms = x.seed % NO_GRANT_RETRY_AFTER_MS;
                ("no_grant", NO_GRANT_RETRY_AFTER_MS + spread_ms)
            }
            QuotaDecision::Refused { retry_after_ms } => ("refused", retry_after_ms),
        };
        outcomes.with_label_values(&[outcome]).inc();
        log_over_quota(x, &need, began_at, retry_after_ms);
        return Err(OverQuotaUntil { retry_after_ms });
    }
}

/// Asks for a grant and waits for a reply; returns whether there was one in time. A repeated message
/// waits before: this router's own allocator replies at once, also while it grants nothing.
async fn until_replied(
    cx: &Context,
    replied: Notified<'_>,
    wait_until: Time,
    is_repeated: bool,
) -> bool {
    if is_repeated {
        sleep(REPEAT_PAUSE).await;
    }
    send_due(cx);
    let result = timeout(duration_until(wait_until), replied).await;
    result.is_ok() && now() < wait_until
}

/// What an attempt needs of its workspace's quota.
#[derive(Clone, Copy, Debug)]
struct Need {
    workspace: u64,
    quota: Quota,
    units: u64,
    priority: u32,
    seed: u64,
}

impl Need {
    /// Returns what the next attempt of a request needs; none if its workspace has no quota.
    fn of(x: &Exchange) -> Option<Need> {
        if !x.cx.quotas.has_quotas() {
            return None;
        }
        let workspace = x.workspace.as_deref()?;
        let hash = policy::name_hash(&workspace.name);
        let quota = x.cx.quotas.in_force.borrow().get(&hash).copied()?;
        Some(Need {
            workspace: hash,
            quota,
            units: quota.units(x.parsed.usage),
            priority: relay::request_priority(&x.route, Some(workspace)),
            seed: x.seed,
        })
    }

    fn spend(&self, cx: &Context) -> QuotaDecision {
        let mut ledger = cx.quotas.ledger.borrow_mut();
        ledger.spend(now(), self.workspace, self.units, self.priority, self.seed)
    }
}

fn log_over_quota(x: &Exchange, need: &Need, began_at: Time, retry_after_ms: u64) {
    let quotas = &x.cx.quotas;
    let latest_reply = quotas.latest_reply.get();
    let now = now();
    let over_quota = OverQuota {
        id: &x.parsed.id,
        workspace: x.workspace.as_deref().map_or("", |w| &w.name),
        units: need.units,
        rate_per_s: need.quota.rate_per_s,
        burst: need.quota.burst,
        allocator: latest_reply.map(|reply| reply.allocator),
        balance_age_ms: latest_reply.map(|reply| now.millis_since(reply.received_at)),
        waited_ms: now.millis_since(began_at),
        retry_after_ms,
        executions: x.executions,
    };
    RequestEvent::OverQuota(over_quota).write();
}
