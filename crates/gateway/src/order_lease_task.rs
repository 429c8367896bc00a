//! Takes the order lease, holds it and gives it back.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rand::Rng;
use relay::LeaseBounds;
use relay::LeaseTerm;
use relay::Revision;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::context::Phase;
use crate::log_event::LogEvent;
use crate::order_event::OrderEvent;
use crate::process_event::log_failure;
use crate::process_event::Step;
use crate::records::ORDER_LEASE_RECORD;
use crate::store::CommitOutcome;
use crate::store::LeaseId;
use crate::store::Precondition;
use crate::store::RecordWrite;
use crate::store::StoreError;
use crate::store_era::note_era;
use crate::timing::duration_until;

/// Interval at which the order lease is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Longest random delay before taking the order lease, in milliseconds. It spreads
/// the routers, so that most see that another was first.
const TAKE_OVER_SPREAD_MS: u64 = 300;

/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Prefix of the names of the records that each stand for one lease term, and expire with it. Their names are
/// never given again, in no era of the store.
const TERM_RECORDS: &str = "orders/term/";

/// The order lease while this router holds it.
struct HeldLease {
    lease: LeaseId,
    /// Name of the record that stands for this term.
    term_record: String,
    /// Revision of that record.
    revision: Revision,
}

/// Takes the order lease whenever it is free and this router may give orders, and holds
/// it until this router stops, can't renew it or is fenced by a newer holder.
pub async fn contend_for_order_lease(cx: Rc<Context>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let is_free = {
            let view = cx.view.borrow();
            view.order_lease_revision.is_none()
                && view.fleet.reading().is_some()
                && view.routers_known
                && cx.phase.get() == Phase::Serving
                && cx.may_give_orders()
        };
        if !is_free {
            continue;
        }
        let spread = rand::rng().random_range(0..TAKE_OVER_SPREAD_MS);
        sleep(Duration::from_millis(spread)).await;
        if cx.view.borrow().order_lease_revision.is_some() || cx.phase.get() != Phase::Serving {
            continue;
        }
        match take_over(&cx).await {
            Ok(Some(held)) => hold_order_lease(&cx, held).await,
            Ok(None) => sleep(RETRY_PAUSE).await,
            Err(e) => {
                log_failure(Step::OrderLease, &e);
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Takes the order lease. If it is denied, or there is no answer, the lease that was granted is left to expire.
async fn take_over(cx: &Context) -> Result<Option<HeldLease>, StoreError> {
    let ttl_ms = order_lease_ttl_ms(cx);
    let sent_at = now();
    let lease = cx.store.grant(ttl_ms).await?;
    let nonce: u128 = rand::random();
    let term_record = format!("{TERM_RECORDS}{nonce:032x}");
    let write = |name: &str| RecordWrite {
        name: name.to_owned(),
        precondition: Precondition::Absent,
        value: Some(Bytes::from(cx.settings.name.to_string())),
        lease: Some(lease),
    };
    // A store may number each write of a commit; the revision of the commit is that of the last one.
    let writes = vec![write(ORDER_LEASE_RECORD), write(&term_record)];
    let revision = match cx.store.commit(writes).await? {
        CommitOutcome::Committed(revision) => revision,
        CommitOutcome::Conflict | CommitOutcome::LeaseExpired => return Ok(None),
    };
    note_era(cx, cx.store.era(), "store");
    // A lease that an earlier era granted does not hold the record.
    if revision.era != lease.era {
        return Ok(None);
    }
    let taken_at = now();
    let bounds = lease_bounds(cx);
    let fence = revision.fencing_token();
    let mut view = cx.view.borrow_mut();
    let from = bounds.first_order_at(taken_at, view.era_start);
    view.order_lease_revision = Some(revision);
    view.order_lease.begin(LeaseTerm {
        fence,
        from,
        until: sent_at.plus_millis(ttl_ms),
    });
    view.order_plan.clear();
    let wait_ms = from.millis_since(taken_at);
    OrderEvent::LeaseTermBegan { fence, wait_ms }.write();
    Ok(Some(HeldLease {
        lease,
        term_record,
        revision,
    }))
}

fn lease_bounds(cx: &Context) -> LeaseBounds {
    LeaseBounds {
        fenced: cx.settings.fenced,
        ttl_ms: order_lease_ttl_ms(cx),
        holder_gap_ms: cx.settings.order_lease_ms,
    }
}

async fn hold_order_lease(cx: &Context, held: HeldLease) {
    let ttl_ms = order_lease_ttl_ms(cx);
    loop {
        let renewal_at = now().plus_millis(ttl_ms / 4);
        while now() < renewal_at && cx.phase.get() == Phase::Serving {
            sleep(POLL_INTERVAL).await;
        }
        if cx.phase.get() != Phase::Serving {
            return give_back(cx, held).await;
        }
        let sent_at = now();
        let renewed = cx.store.renew(held.lease).await;
        note_era(cx, cx.store.era(), "store");
        match renewed {
            Ok(true) => cx.view.borrow_mut().order_lease.renew(sent_at, ttl_ms),
            Ok(false) => return end_lease_term(cx, "lease expired"),
            Err(e) => log_failure(Step::Renewal, &e),
        }
        if cx.view.borrow().order_lease.is_expired(now()) {
            return end_lease_term(cx, "not renewed in time");
        }
    }
}

/// Gives the lease back, once no order of this router is under way. If the answer is lost, the lease
/// expires by itself at the latest.
///
/// The call may be executed late, in another era of the store, where another lease may have the number of this one.
/// So it names no lease, but deletes the records if that of this term is there.
async fn give_back(cx: &Context, held: HeldLease) {
    let Some(orders_over_at) = cx.view.borrow_mut().order_lease.begin_end() else {
        return;
    };
    let reason = "stopping";
    OrderEvent::LeaseTermEnded { reason }.write();
    sleep(duration_until(orders_over_at)).await;
    if !cx.view.borrow_mut().order_lease.send_end(now()) {
        return;
    }
    let delete = |name: &str, precondition| RecordWrite {
        name: name.to_owned(),
        precondition,
        value: None,
        lease: None,
    };
    let is_this_term = Precondition::LastWrite(held.revision.number);
    let writes = vec![
        delete(&held.term_record, is_this_term),
        delete(ORDER_LEASE_RECORD, Precondition::None),
    ];
    match cx.store.commit(writes).await {
        Ok(_) => end_lease_term(cx, reason),
        Err(e) => log_failure(Step::Release, &e),
    }
}

/// Ends this router's lease term, if it has one, and logs it.
pub fn end_lease_term(cx: &Context, reason: &str) {
    if cx.view.borrow_mut().order_lease.end() {
        OrderEvent::LeaseTermEnded { reason }.write();
    }
}

fn order_lease_ttl_ms(cx: &Context) -> u64 {
    cx.settings.min_lease_ms.max(cx.settings.order_lease_ms / 2)
}
