//! What a router does when the store comes back from an older copy of its contents.
//!
//! Revisions and leases of an earlier era mean nothing in the new one. So all topics are listed
//! again, this router's entry is written again, and its term of the order lease is over. What it
//! knows of the operators' entries and of servers that left stays in force.

use std::time::Duration;

use rand::Rng;
use relay::EraStart;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::order_lease_task::end_lease_term;
use crate::process_event::ProcessEvent;

/// Longest delay of rewriting this router's entry, in milliseconds. It spreads the routers.
const REWRITE_SPREAD_MS: u64 = 1_200;

/// Takes note of an era of the store that a response (`store`) or another router (`peer`) named.
/// None, while it is unknown, is ignored.
pub fn note_era(cx: &Context, era: Option<u64>, source: &'static str) {
    let Some(era) = era else {
        return;
    };
    let before = {
        let mut view = cx.view.borrow_mut();
        if view.store_era.is_some_and(|known| known >= era) {
            return;
        }
        view.peer_readings.begin_era(era);
        let before = view.store_era.replace(era);
        view.era_start = EraStart {
            noted_at: Some(now()),
            knew_earlier: before.is_some(),
        };
        before
    };
    if let Some(before) = before {
        begin_era(cx, before, era, source);
    }
}

fn begin_era(cx: &Context, before: u64, era: u64, source: &'static str) {
    ProcessEvent::StoreEra {
        before,
        era,
        source,
    }
    .write();
    cx.metrics.store_eras.inc();
    {
        let mut view = cx.view.borrow_mut();
        let now = now();
        // Registrations that the copy lacks may be written again.
        view.store_lost_at = now;
        view.store_unreachable_until = now;
        // A record that was written after the copy was taken is lost.
        view.build_records.begin_era();
    }
    end_lease_term(cx, "the store is back from an older copy");
    cx.era_began.notify_waiters();
    cx.peers.wake.notify_one();
}

/// Waits until an era has begun after `era`.
pub async fn until_era_after(cx: &Context, era: u64) {
    loop {
        let began = cx.era_began.notified();
        if cx.view.borrow().store_era > Some(era) {
            return;
        }
        began.await;
    }
}

/// Waits until an era has begun after `era`, and then for this router's turn to write.
pub async fn until_turn_to_rewrite(cx: &Context, era: u64) {
    until_era_after(cx, era).await;
    let delay_ms = rand::rng().random_range(0..REWRITE_SPREAD_MS);
    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
}
