//! Follows what the store says of the operators and of the routers.

use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use relay::Announcement;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::ProcessEvent;
use crate::records;
use crate::store::Revision;
use crate::store::StoreError;
use crate::store::StoreUpdate;
use crate::store::Topic;
use crate::store::WatchResult;

/// Time for which a watch waits, in milliseconds: less than the 20 s of history
/// that the platform keeps, or a quiet watch ends in a listing.
const WAIT_MS: u64 = 15_000;

/// Pause between two watches of the routers' records by a router that may give
/// orders, and must notice when nobody does.
const CANDIDATE_PAUSE: Duration = Duration::from_millis(300);

/// The same for all other routers: each call is paid for.
const ROUTERS_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause after a call that failed, in milliseconds; up to half as much again is added.
const FAILED_PAUSE_MS: u64 = 250;

/// Time between looks at whether the store is back, by topics that leave it to
/// the operators' topic to try.
const AWAY_LOOK: Duration = Duration::from_millis(100);

/// Follows one topic until the process ends.
pub async fn run(cx: Rc<Context>, topic: Topic) {
    loop {
        let mut after = match cx.store.list(topic).await {
            Ok(listing) => {
                succeeded(&cx, topic);
                if topic == Topic::Routers {
                    records::keep_listed(&cx, &listing.updates);
                }
                for update in listing.updates {
                    take_in(&cx, update, Announcement::Earlier);
                }
                listing.as_of
            }
            Err(e) => {
                failed(&cx, topic, &e).await;
                continue;
            }
        };
        while let Some(next) = watch(&cx, topic, after).await {
            after = next;
        }
    }
}

/// Waits for changes; none if the topic must be listed again.
async fn watch(cx: &Context, topic: Topic, after: Revision) -> Option<Revision> {
    if topic == Topic::Routers {
        let pause = if cx.may_give_orders() {
            CANDIDATE_PAUSE
        } else {
            ROUTERS_PAUSE
        };
        sleep(pause).await;
    }
    match cx.store.watch(topic, after, WAIT_MS).await {
        Ok(WatchResult::Changes(listing)) => {
            succeeded(cx, topic);
            for update in listing.updates {
                take_in(cx, update, Announcement::Fresh);
            }
            Some(listing.as_of)
        }
        Ok(WatchResult::HistoryGone) => {
            let topic = topic.name();
            ProcessEvent::HistoryGone { topic, after }.write();
            None
        }
        Err(e) => {
            failed(cx, topic, &e).await;
            Some(after)
        }
    }
}

/// Takes in one thing that the store says.
pub fn take_in(cx: &Context, update: StoreUpdate, naming: Announcement) {
    match update {
        StoreUpdate::Configuration(configuration) => {
            cx.adopt_configuration(*configuration, "store")
        }
        StoreUpdate::Weights { model, version } => {
            cx.adopt_weights(&model, version, naming, "store");
        }
        StoreUpdate::Server(entry) => cx.adopt_server(entry, "store"),
        StoreUpdate::ServerGone(id) => cx.drop_server(&id, "store"),
        StoreUpdate::Record(record) => records::take_in(cx, record),
        StoreUpdate::RecordGone(name) => records::take_out(cx, &name),
        StoreUpdate::Unreadable { key, reason } => {
            ProcessEvent::EntryUnreadable {
                key: &key,
                reason: &reason,
            }
            .write();
        }
    }
}

/// Notes a call that succeeded.
pub fn succeeded(cx: &Context, topic: Topic) {
    let mut belief = cx.belief.borrow_mut();
    if belief.store_failing {
        ProcessEvent::StoreRegained {
            topic: topic.name(),
            away_ms: now().millis_since(belief.store_heard_at),
        }
        .write();
        belief.store_away_until = now();
    }
    belief.store_failing = false;
    belief.store_heard_at = now();
}

/// Notes a call that failed, and waits before the next.
pub async fn failed(cx: &Context, topic: Topic, e: &StoreError) {
    {
        let mut belief = cx.belief.borrow_mut();
        if !belief.store_failing {
            ProcessEvent::StoreLost {
                topic: topic.name(),
                reason: e,
            }
            .write();
        }
        belief.store_failing = true;
        belief.store_away_until = now();
    }
    let spread = rand::rng().random_range(0..=FAILED_PAUSE_MS / 2);
    sleep(Duration::from_millis(FAILED_PAUSE_MS + spread)).await;
    // Failed calls are paid for too: one topic tries for all.
    while topic != Topic::Operators && cx.belief.borrow().store_failing {
        sleep(AWAY_LOOK).await;
    }
}
