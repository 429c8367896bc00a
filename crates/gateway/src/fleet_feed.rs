//! Follows the registrations of backend servers.
//!
//! Registrations change with every heartbeat, and the platform charges for each
//! call to the store. So one router reads them for many: it announces a hash of
//! what it has read, and a router with another hash fetches the list from it. A
//! router that receives no recent announcement reads the store itself.

use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use relay::Announcement;
use tokio::time::sleep;

use crate::clock::now;
use crate::cluster_view::OwnSync;
use crate::cluster_view::PeerSync;
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
use crate::store::Revision;
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
        match cx.fresh_peer_sync() {
            Some(peer_sync) => {
                cx.view.borrow_mut().own_sync = None;
                sync_from_peer(&cx, peer_sync, &mut fetched_at).await;
                sleep(PEER_POLL_INTERVAL).await;
            }
            None => sync_from_store(&cx).await,
        }
    }
}

async fn sync_from_peer(cx: &Context, peer_sync: PeerSync, fetched_at: &mut Time) {
    let is_same = {
        let view = cx.view.borrow();
        view.fleet_known && view.fleet.digest() == peer_sync.digest
    };
    let pause_ms = if is_same {
        REFRESH_INTERVAL_MS
    } else {
        MIN_FETCH_INTERVAL_MS
    };
    if now().millis_since(*fetched_at) < pause_ms {
        return;
    }
    *fetched_at = now();
    match snapshot::fetch_servers(peer_sync.reader).await {
        Ok(servers) => cx.replace_registrations(servers, "peer"),
        Err(e) => log_peer_failure(Step::ServersFetch, &peer_sync.reader, &e),
    }
}

/// Reads registrations from the store once, with a watch if possible, else a listing.
async fn sync_from_store(cx: &Context) {
    let after = {
        let view = cx.view.borrow();
        let own_sync = view.own_sync.map(|sync| sync.as_of);
        let peer_sync = view.peer_sync.map(|peer_sync| peer_sync.as_of);
        own_sync.or(peer_sync.filter(|_| view.fleet_known))
    };
    let after = after.filter(|_| !must_list(cx));
    match after {
        Some(after) => watch(cx, after).await,
        None => list(cx).await,
    }
}

/// Returns whether registrations that went missing in a store outage should be restored by now.
fn must_list(cx: &Context) -> bool {
    let view = cx.view.borrow();
    view.fleet.has_missing()
        && view
            .fleet
            .is_restore_period_over(now(), view.store_unreachable_until)
}

async fn list(cx: &Context) {
    match cx.store.list(Topic::Servers).await {
        Ok(listing) => {
            record_success(cx, Topic::Servers);
            apply_listing(cx, listing);
            sleep(READ_PAUSE).await;
        }
        Err(e) => record_failure(cx, Topic::Servers, &e).await,
    }
}

async fn watch(cx: &Context, after: Revision) {
    match cx.store.watch(Topic::Servers, after, WATCH_WAIT_MS).await {
        Ok(WatchResult::Changes(listing)) => {
            record_success(cx, Topic::Servers);
            record_sync(cx, listing.as_of);
            for update in listing.updates {
                apply_update(cx, update, Announcement::Fresh);
            }
            sleep(READ_PAUSE).await;
        }
        Ok(WatchResult::HistoryGone) => {
            ProcessEvent::HistoryGone {
                topic: Topic::Servers.name(),
                after,
            }
            .write();
            list(cx).await;
        }
        Err(e) => record_failure(cx, Topic::Servers, &e).await,
    }
}

fn record_sync(cx: &Context, as_of: Revision) {
    let read_at = now();
    cx.view.borrow_mut().own_sync = Some(OwnSync { as_of, read_at });
}

fn apply_listing(cx: &Context, listing: Listing) {
    record_sync(cx, listing.as_of);
    let mut registrations = Vec::new();
    for update in listing.updates {
        match update {
            StoreUpdate::Server(registration) => registrations.push(registration),
            other => apply_update(cx, other, Announcement::Earlier),
        }
    }
    cx.replace_registrations(registrations, "store");
}
