//! Follows the operators' entries and the routers' records in the store.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::Arrival;
use policy::Time;
use rand::Rng;
use relay::Revision;
use relay::StoreAccess;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::process_event::ProcessEvent;
use crate::quota_task;
use crate::records;
use crate::store::Listing;
use crate::store::StoreError;
use crate::store::StoreUpdate;
use crate::store::Topic;
use crate::store::WatchResult;
use crate::store_era::note_era;
use crate::store_era::until_era_after;

/// Time for which a watch waits for changes, in milliseconds. Above the 20 s of
/// history that the platform keeps, a watch without changes would end in a listing.
const WATCH_WAIT_MS: u64 = 15_000;

/// The same time for the operators' entries on a router that reads for others. With the limit of a
/// call it stays below the time in which a configuration must be in force.
const READER_WAIT_MS: u64 = 1_300;

/// The same time while the last call to the store failed.
const PROBE_WAIT_MS: u64 = 1;

/// Pause between two watches of the routers' records on a router that may take the
/// order lease, and must notice soon when it is free.
const CANDIDATE_PAUSE: Duration = Duration::from_millis(300);

/// The same pause on all other routers, longer because the platform charges for each call.
const ROUTERS_PAUSE: Duration = Duration::from_millis(4_000);

/// Interval at which the other topics check whether the operators' topic has
/// reached the store again.
const STORE_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the hub must have had a newer configuration before a router that it serves
/// reads the store, in milliseconds. It fetches the configuration from the hub before.
const BEHIND_HUB_MS: u64 = 1_200;

/// Delay of the first listing of the routers' records. Routers that start together have
/// registered by then, so that all choose the same hubs and only those contend for the
/// order lease.
const FIRST_ROUTERS_DELAY: Duration = Duration::from_millis(1_000);

/// Time by which routers have written their entries again after an era of the store began, in
/// milliseconds. Those that have not are gone.
const REWRITE_PERIOD_MS: u64 = 5_000;

/// Time between the response to a watch and the next call up to which changes are taken to come as they
/// are made, in milliseconds.
const MAX_WATCH_GAP_MS: u64 = 50;

/// Time for which a hub's announcements may be incomplete before a router that it serves reads the store
/// itself, in milliseconds. A hub of an earlier version doesn't tell.
const HUB_COMPLETE_MS: u64 = 4_000;

/// Where the watches of a topic have got to.
#[derive(Clone, Copy)]
struct WatchPosition {
    /// Revision after which changes are to come.
    after: Revision,
    /// Time after which the store last responded; the response may have waited unread since.
    responded_after: Time,
}

/// Follows one topic until the process ends.
pub async fn run(cx: Rc<Context>, topic: Topic) {
    if topic == Topic::Routers {
        sleep(FIRST_ROUTERS_DELAY).await;
    }
    let mut last_era = None;
    loop {
        let called_at = now();
        let listing = match cx.store.list(topic).await {
            Ok(listing) => listing,
            Err(e) => {
                record_failure(&cx, topic, called_at, &e).await;
                continue;
            }
        };
        record_success(&cx, topic);
        let mut position = WatchPosition {
            after: listing.as_of,
            responded_after: called_at,
        };
        let era = listing.as_of.era;
        let is_new_era = last_era.is_some_and(|last| last < era);
        last_era = Some(era);
        apply_listing(&cx, topic, listing, called_at, is_new_era);
        let rewritten_by = now().plus_millis(REWRITE_PERIOD_MS);
        while let Some(next) = watch(&cx, topic, position).await {
            position = next;
            if is_new_era && topic == Topic::Routers && now() >= rewritten_by {
                break;
            }
        }
    }
}

fn apply_listing(cx: &Context, topic: Topic, listing: Listing, called_at: Time, is_new_era: bool) {
    if topic == Topic::Routers {
        let mut view = cx.view.borrow_mut();
        view.routers_known = true;
        view.permit_issuer.begin(now());
        drop(view);
        // In a new era the other routers are about to write their entries again.
        records::remove_unlisted(cx, &listing.updates, is_new_era);
    }
    let listed = listed_weights(&listing.updates);
    let response = cx.pause_watch.arrival(now()).of_response(called_at);
    for update in listing.updates {
        apply_update(cx, update, response);
    }
    if let (Topic::Operators, Some(listed)) = (topic, listed) {
        let listed = listed.iter().map(|(model, version)| (&**model, *version));
        let weights = &mut cx.view.borrow_mut().weights;
        weights.confirm_newest(called_at, &listed.collect());
    }
    if topic == Topic::Routers {
        quota_task::update_routers(cx);
    }
}

/// Returns the versions of weights in a listing; none if some entries can't be read.
fn listed_weights(updates: &[StoreUpdate]) -> Option<BTreeMap<Arc<str>, u64>> {
    let mut listed = BTreeMap::new();
    for update in updates {
        match update {
            StoreUpdate::Weights { model, version } => {
                listed.insert(Arc::clone(model), *version);
            }
            StoreUpdate::Unreadable { .. } => return None,
            _ => {}
        }
    }
    Some(listed)
}

/// Applies changes of the operators' entries. Where the watch followed at once upon the one before,
/// nothing else was announced until they arrived.
fn apply_operators_changes(
    cx: &Context,
    updates: Vec<StoreUpdate>,
    response: Arrival,
    follows_at_once: bool,
) {
    if follows_at_once {
        let weights = &mut cx.view.borrow_mut().weights;
        weights.confirm(response.earliest());
        for (model, version) in listed_weights(&updates).unwrap_or_default() {
            weights.confirm_before(response.earliest(), &model, version);
        }
    }
    for update in updates {
        apply_update(cx, update, response);
    }
    cx.view.borrow_mut().weights.confirm(response.earliest());
}

/// Records that nothing was announced before a call that the store didn't serve: announcements count from
/// the end of an outage. A pause of this process since the last response may have made the call fail.
fn confirm_in_outage(cx: &Context, position: WatchPosition, called_at: Time) {
    if !cx.pause_watch.was_paused(position.responded_after, now()) {
        cx.view.borrow_mut().weights.confirm(called_at);
    }
}

/// Waits for changes, applies them and returns the position for the next watch;
/// none if the topic must be listed again.
async fn watch(cx: &Context, topic: Topic, position: WatchPosition) -> Option<WatchPosition> {
    let after = position.after;
    while is_served_by_hub(cx, topic) {
        sleep(STORE_POLL_INTERVAL).await;
    }
    if topic == Topic::Routers {
        let pause = if cx.may_give_orders() {
            CANDIDATE_PAUSE
        } else {
            ROUTERS_PAUSE
        };
        sleep(pause).await;
    }
    let called_at = now();
    // In a new era the store may wait for changes after a number that it has given out again.
    let result = tokio::select! {
        result = cx.store.watch(topic, after, wait_ms(cx, topic)) => result,
        () = until_era_after(cx, after.era) => Ok(WatchResult::HistoryGone),
        () = cx.watches_suspect.notified() => return Some(position),
    };
    match result {
        Ok(WatchResult::Changes(listing)) => {
            record_success(cx, topic);
            let response = cx.pause_watch.arrival(now()).of_response(called_at);
            if topic == Topic::Operators {
                let gap_ms = called_at.millis_since(position.responded_after);
                let follows_at_once = gap_ms <= MAX_WATCH_GAP_MS;
                apply_operators_changes(cx, listing.updates, response, follows_at_once);
            } else {
                for update in listing.updates {
                    apply_update(cx, update, response);
                }
            }
            Some(WatchPosition {
                after: listing.as_of,
                responded_after: response.earliest(),
            })
        }
        Ok(WatchResult::HistoryGone) => {
            let topic = topic.name();
            ProcessEvent::HistoryGone { topic, after }.write();
            None
        }
        Err(e) => {
            if topic == Topic::Operators && e.shows_outage() {
                confirm_in_outage(cx, position, called_at);
            }
            record_failure(cx, topic, called_at, &e).await;
            Some(position)
        }
    }
}

/// Returns the time for which a watch waits for changes. After a failure all topics wait for the
/// operators' to reach the store, so it only asks whether that responds. A response may be lost
/// without a sign, so one router of those that announce what they read looks often.
fn wait_ms(cx: &Context, topic: Topic) -> u64 {
    match topic {
        Topic::Operators if cx.view.borrow().store_failing => PROBE_WAIT_MS,
        Topic::Operators if cx.view.borrow().reads_registrations => READER_WAIT_MS,
        _ => WATCH_WAIT_MS,
    }
}

/// Returns whether a hub reads a topic for this router, and passes on what it reads. Takes
/// over when the hub last had a response. The order lease isn't passed on.
fn is_served_by_hub(cx: &Context, topic: Topic) -> bool {
    if topic == Topic::Routers && cx.may_give_orders() {
        return false;
    }
    let Some(hub) = cx.fresh_hub_reading() else {
        return false;
    };
    record_response(cx, "hub", hub.reading.read_at);
    let view = cx.view.borrow();
    let is_complete = view.weights.is_complete(now(), HUB_COMPLETE_MS);
    is_complete && view.configuration.is_some() && cx.behind_ms() < BEHIND_HUB_MS
}

/// Applies one update of the store, which was in `response`.
pub fn apply_update(cx: &Context, update: StoreUpdate, response: Arrival) {
    match update {
        StoreUpdate::Configuration(configuration) => {
            cx.apply_configuration(*configuration, "store")
        }
        StoreUpdate::Weights { model, version } => {
            cx.apply_announced_weights(response, &model, version);
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
    note_era(cx, cx.store.era(), "store");
    let response = cx.pause_watch.arrival(now());
    record_response(cx, topic.name(), response.earliest());
}

/// Records that the store responded at `responded_at`; `topic` is what was read, or `hub` if
/// a hub had the response.
fn record_response(cx: &Context, topic: &'static str, responded_at: Time) {
    let mut view = cx.view.borrow_mut();
    let away_ms = now().millis_since(view.store_responded_at);
    if view.record_store_response(now(), responded_at) {
        ProcessEvent::StoreRegained { topic, away_ms }.write();
    }
}

/// Records a failure of a call to the store that began at `called_at`, and waits until the next may
/// be made, or until registrations can be taken from another router.
pub async fn record_failure(cx: &Context, topic: Topic, called_at: Time, e: &StoreError) {
    if cx.view.borrow_mut().record_store_failure(now()) {
        ProcessEvent::StoreLost {
            topic: topic.name(),
            reason: e,
        }
        .write();
    }
    if topic == Topic::Servers {
        cx.watches_suspect.notify_waiters();
    }
    let pause_ms = store_access(cx).retry_pause_ms();
    let retry_at = called_at.plus_millis(rand::rng().random_range(pause_ms));
    while must_wait(cx, topic, retry_at) {
        let left = Duration::from_millis(retry_at.millis_since(now()).max(1));
        sleep(left.min(STORE_POLL_INTERVAL)).await;
    }
}

fn store_access(cx: &Context) -> StoreAccess {
    if !cx.relies_on_hub() {
        return StoreAccess::Direct;
    }
    match cx.fresh_hub_reading() {
        Some(_) => StoreAccess::ThroughHub,
        None => StoreAccess::HubLost,
    }
}

/// Returns whether the next call of a topic has to wait after a failed one.
fn must_wait(cx: &Context, topic: Topic, retry_at: Time) -> bool {
    if topic == Topic::Servers && cx.peer_reading().is_some() {
        return false;
    }
    // The platform charges for failed calls too, so only one topic retries.
    let waits_for_operators = topic != Topic::Operators && cx.view.borrow().store_failing;
    now() < retry_at || waits_for_operators
}
