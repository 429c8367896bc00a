//! Follows the registrations of backend servers.
//!
//! Registrations change with every heartbeat, and the platform charges for each
//! call to the store. So one router reads them for many: it announces a hash of
//! what it has read, and a router with another hash fetches the list from it. A
//! router that receives no recent announcement reads the store itself.

use std::rc::Rc;
use std::time::Duration;

use policy::Arrival;
use policy::Time;
use relay::restored_by;
use relay::PeerReading;
use relay::Revision;
use tokio::time::sleep;

use crate::build_records;
use crate::clock::now;
use crate::context::Context;
use crate::feed::apply_update;
use crate::feed::record_failure;
use crate::feed::record_success;
use crate::log_event::LogEvent;
use crate::process_event::log_peer_failure;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::snapshot;
use crate::store::Listing;
use crate::store::StoreUpdate;
use crate::store::Topic;
use crate::store::WatchResult;

/// Time for which a watch waits for changes, in milliseconds. With the pause and two messages
/// it stays below the age up to which others rely on what was read.
const WATCH_WAIT_MS: u64 = 500;

/// Pause between two watches. It bounds how long a draining server still gets
/// requests, for which the platform sets a limit.
const READ_PAUSE: Duration = Duration::from_millis(600);

/// Interval at which another router's announcement is checked.
const PEER_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest time between two fetches of the list from another router, in milliseconds.
const MIN_FETCH_INTERVAL_MS: u64 = 250;

/// Time after which the list is fetched although its hash is the same, in
/// milliseconds: the hash doesn't cover the weights.
const REFRESH_INTERVAL_MS: u64 = 10_000;

/// Follows registrations until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut fetched_at = Time(0);
    loop {
        let peer = cx.peer_reading();
        set_reading(&cx, peer.is_none());
        match peer {
            Some(peer) => sync_from_peer(&cx, peer, &mut fetched_at).await,
            None => sync_from_store(&cx).await,
        }
    }
}

/// Records whether this router reads the store. One that begins to also looks at the operators'
/// entries at shorter intervals.
fn set_reading(cx: &Context, reads: bool) {
    let before = std::mem::replace(&mut cx.view.borrow_mut().reads_registrations, reads);
    if reads && !before {
        cx.watches_suspect.notify_waiters();
    }
}

/// Takes the registrations from another router if it has others than this one, and waits until
/// its announcement is to be checked again.
async fn sync_from_peer(cx: &Context, peer: PeerReading, fetched_at: &mut Time) {
    let pause_ms = if has_same_registrations(cx, &peer) {
        REFRESH_INTERVAL_MS
    } else {
        MIN_FETCH_INTERVAL_MS
    };
    let is_older = cx.view.borrow().fleet.is_newer_than(peer.reading);
    if is_older || now().millis_since(*fetched_at) < pause_ms {
        return sleep(PEER_POLL_INTERVAL).await;
    }
    let called_at = now();
    *fetched_at = called_at;
    match snapshot::fetch_servers(peer.address).await {
        Ok(list) => {
            list.apply(cx, cx.pause_watch.arrival(now()).of_response(called_at));
            sleep(PEER_POLL_INTERVAL).await;
        }
        Err(e) => {
            log_peer_failure(Step::ServersFetch, &peer.address, &e);
            let mut view = cx.view.borrow_mut();
            view.peer_readings.ignore(now(), peer.router);
        }
    }
}

/// Returns whether this router knows the same registrations as another one, and no list is due
/// for missing ones. If they are the same, they are as new as the other's reading.
fn has_same_registrations(cx: &Context, peer: &PeerReading) -> bool {
    let changes = {
        let mut view = cx.view.borrow_mut();
        let fleet = &mut view.fleet;
        if fleet.reading().is_none() || fleet.digest() != peer.digest {
            return false;
        }
        fleet.advance(peer.reading)
    };
    cx.on_fleet_changes(changes, "peer");
    !cx.view.borrow().fleet.is_list_due(now())
}

/// Reads registrations from the store once, with a watch if possible, else a listing.
async fn sync_from_store(cx: &Context) {
    let after = {
        let view = cx.view.borrow();
        let reading = view.fleet.reading();
        reading.filter(|_| !view.must_list_registrations(now()))
    };
    match after {
        Some(reading) => watch(cx, reading.as_of).await,
        None => list(cx).await,
    }
}

async fn list(cx: &Context) {
    let called_at = now();
    match cx.store.list(Topic::Servers).await {
        Ok(listing) => {
            let response = cx.pause_watch.arrival(now()).of_response(called_at);
            record_success(cx, Topic::Servers);
            build_records::record_new(cx, &listing.updates).await;
            apply_listing(cx, response, listing);
            sleep(time_to_next_call(cx)).await;
        }
        Err(e) => record_failure(cx, Topic::Servers, called_at, &e).await,
    }
}

async fn watch(cx: &Context, after: Revision) {
    let wait_ms = WATCH_WAIT_MS.min(millis_to_list(cx));
    let called_at = now();
    match cx.store.watch(Topic::Servers, after, wait_ms).await {
        Ok(WatchResult::Changes(listing)) => {
            let response = cx.pause_watch.arrival(now()).of_response(called_at);
            record_success(cx, Topic::Servers);
            build_records::record_new(cx, &listing.updates).await;
            apply_changes(cx, response, listing);
            sleep(time_to_next_call(cx)).await;
        }
        Ok(WatchResult::HistoryGone) => {
            ProcessEvent::HistoryGone {
                topic: Topic::Servers.name(),
                after,
            }
            .write();
            list(cx).await;
        }
        Err(e) => record_failure(cx, Topic::Servers, called_at, &e).await,
    }
}

/// Applies changes, unless another router delivered newer registrations meanwhile.
fn apply_changes(cx: &Context, response: Arrival, listing: Listing) {
    let reading = cx.view.borrow_mut().new_reading(response, listing.as_of);
    if cx.view.borrow().fleet.is_newer_than(reading) {
        return;
    }
    for update in listing.updates {
        apply_update(cx, update, response);
    }
    let changes = cx.view.borrow_mut().fleet.advance(reading);
    cx.on_fleet_changes(changes, "store");
}

fn apply_listing(cx: &Context, response: Arrival, listing: Listing) {
    let reading = cx.view.borrow_mut().new_reading(response, listing.as_of);
    let mut registrations = Vec::new();
    for update in listing.updates {
        match update {
            StoreUpdate::Server(registration) => registrations.push(registration),
            other => apply_update(cx, other, response),
        }
    }
    cx.replace_registrations(registrations, reading, "store");
}

/// Returns the pause until the next call, which is shorter if a list is due before.
fn time_to_next_call(cx: &Context) -> Duration {
    READ_PAUSE.min(Duration::from_millis(millis_to_list(cx)))
}

/// Returns the time until missing registrations are to be listed, at least 1; the maximum if
/// none is missing.
fn millis_to_list(cx: &Context) -> u64 {
    let view = cx.view.borrow();
    if !view.fleet.has_missing() {
        return u64::MAX;
    }
    let now = now();
    let list_at = restored_by(view.store_outage_until(now));
    list_at.millis_since(now).max(1)
}
