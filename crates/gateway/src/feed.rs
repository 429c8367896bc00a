//! Follows the operators' entries and the routers' records in the store.

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

/// Time for which a watch waits for changes, in milliseconds. Above the 20 s of
/// history that the platform keeps, a watch without changes would end in a listing.
const WATCH_WAIT_MS: u64 = 15_000;

/// Pause between two watches of the routers' records on a router that may take the
/// order lease, and must notice soon when it is free.
const CANDIDATE_PAUSE: Duration = Duration::from_millis(300);

/// The same pause on all other routers, longer because the platform charges for each call.
const ROUTERS_PAUSE: Duration = Duration::from_millis(4_000);

/// Pause after a failed call, in milliseconds; a random time of up to half as much is added.
const RETRY_PAUSE_MS: u64 = 250;

/// Interval at which the other topics check whether the operators' topic has
/// reached the store again.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Follows one topic until the process ends.
pub async fn run(cx: Rc<Context>, topic: Topic) {
    loop {
        let mut after = match cx.store.list(topic).await {
            Ok(listing) => {
                record_success(&cx, topic);
                if topic == Topic::Routers {
                    records::remove_unlisted(&cx, &listing.updates);
                }
                for update in listing.updates {
                    apply_update(&cx, update, Announcement::Earlier);
                }
                listing.as_of
            }
            Err(e) => {
                record_failure(&cx, topic, &e).await;
                continue;
            }
        };
        while let Some(next) = watch(&cx, topic, after).await {
            after = next;
        }
    }
}

/// Waits for changes, applies them and returns the revision for the next watch;
/// none if the topic must be listed again.
async fn watch(cx: &Context, topic: Topic, after: Revision) -> Option<Revision> {
    if topic == Topic::Routers {
        let pause = if cx.may_give_orders() {
            CANDIDATE_PAUSE
        } else {
            ROUTERS_PAUSE
        };
        sleep(pause).await;
    }
    match cx.store.watch(topic, after, WATCH_WAIT_MS).await {
        Ok(WatchResult::Changes(listing)) => {
            record_success(cx, topic);
            for update in listing.updates {
                apply_update(cx, update, Announcement::Fresh);
            }
            Some(listing.as_of)
        }
        Ok(WatchResult::HistoryGone) => {
            let topic = topic.name();
            ProcessEvent::HistoryGone { topic, after }.write();
            None
        }
        Err(e) => {
            record_failure(cx, topic, &e).await;
            Some(after)
        }
    }
}

/// Applies one update of the store.
pub fn apply_update(cx: &Context, update: StoreUpdate, announcement: Announcement) {
    match update {
        StoreUpdate::Configuration(configuration) => {
            cx.apply_configuration(*configuration, "store")
        }
        StoreUpdate::Weights { model, version } => {
            cx.apply_announced_weights(&model, version, announcement, "store");
        }
        StoreUpdate::Server(registration) => cx.apply_registration(registration, "store"),
        StoreUpdate::ServerGone(id) => cx.remove_registration(&id, "store"),
        StoreUpdate::Record(record) => records::apply_record(cx, record),
        StoreUpdate::RecordGone(name) => records::remove_record(cx, &name),
        StoreUpdate::Unreadable { key, reason } => {
            ProcessEvent::EntryUnreadable {
                key: &key,
                reason: &reason,
            }
            .write();
        }
    }
}

/// Records a successful call to the store.
pub fn record_success(cx: &Context, topic: Topic) {
    let mut view = cx.view.borrow_mut();
    if view.store_failing {
        ProcessEvent::StoreRegained {
            topic: topic.name(),
            away_ms: now().millis_since(view.store_responded_at),
        }
        .write();
        view.store_unreachable_until = now();
    }
    view.store_failing = false;
    view.store_responded_at = now();
}

/// Records a failed call to the store, and waits until the next may be made.
pub async fn record_failure(cx: &Context, topic: Topic, e: &StoreError) {
    {
        let mut view = cx.view.borrow_mut();
        if !view.store_failing {
            ProcessEvent::StoreLost {
                topic: topic.name(),
                reason: e,
            }
            .write();
        }
        view.store_failing = true;
        view.store_unreachable_until = now();
    }
    let spread = rand::rng().random_range(0..=RETRY_PAUSE_MS / 2);
    sleep(Duration::from_millis(RETRY_PAUSE_MS + spread)).await;
    // The platform charges for failed calls too, so only one topic retries.
    while topic != Topic::Operators && cx.view.borrow().store_failing {
        sleep(STORE_POLL_INTERVAL).await;
    }
}
