//! Follows the registrations of backend servers.
//!
//! Registrations change with every heartbeat, and the platform charges for each
//! call to the store. So one router reads them for many: it announces a hash of
//! what it has read, and a router with another hash fetches the list from it. A
//! router that receives no recent announcement reads the store itself.

use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use relay::Naming;
use tokio::time::sleep;

use crate::clock::now;
use crate::cluster_view::Followed;
use crate::cluster_view::ReadRegistrations;
use crate::context::Context;
use crate::feed::failed;
use crate::feed::succeeded;
use crate::feed::take_in;
use crate::log_event::LogEvent;
use crate::process_event::failed_with;
use crate::process_event::ProcessEvent;
use crate::process_event::Step;
use crate::snapshot;
use crate::store::Listing;
use crate::store::Revision;
use crate::store::Topic;
use crate::store::Update;
use crate::store::Watched;

/// Time for which a watch waits for changes, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Pause between two watches. It bounds how long a draining server still gets
/// requests, for which the platform sets a limit.
const READ_PAUSE: Duration = Duration::from_millis(600);

/// Interval at which another router's announcement is checked.
const FOLLOW_LOOK: Duration = Duration::from_millis(100);

/// Shortest time between two fetches of the list from another router, in milliseconds.
const FETCH_PAUSE_MS: u64 = 250;

/// Time after which the list is fetched although its hash is the same, in
/// milliseconds: the hash doesn't cover the weights.
const REFRESH_MS: u64 = 10_000;

/// Follows registrations until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut fetched_at = Time(0);
    loop {
        match followed(&cx) {
            Some(followed) => {
                cx.belief.borrow_mut().read_registrations = None;
                follow(&cx, followed, &mut fetched_at).await;
                sleep(FOLLOW_LOOK).await;
            }
            None => read(&cx).await,
        }
    }
}

/// Returns the state of another router's reading, if this router may rely on it.
fn followed(cx: &Context) -> Option<Followed> {
    let now = now();
    if cx.peers.topology.borrow_mut().reader(now) == cx.peers.me {
        return None;
    }
    let belief = cx.belief.borrow();
    belief.followed.filter(|followed| followed.is_fresh(now))
}

async fn follow(cx: &Context, followed: Followed, fetched_at: &mut Time) {
    let same = {
        let belief = cx.belief.borrow();
        belief.fleet_known && belief.fleet.digest() == followed.digest
    };
    let pause_ms = if same { REFRESH_MS } else { FETCH_PAUSE_MS };
    if now().millis_since(*fetched_at) < pause_ms {
        return;
    }
    *fetched_at = now();
    match snapshot::fetch_servers(followed.reader).await {
        Ok(servers) => cx.replace_servers(servers, "peer"),
        Err(e) => failed_with(Step::ServersFetch, &followed.reader, &e),
    }
}

/// Reads registrations from the store once, with a watch if possible, else a listing.
async fn read(cx: &Context) {
    let after = {
        let belief = cx.belief.borrow();
        let read = belief.read_registrations.map(|read| read.as_of);
        let followed = belief.followed.map(|followed| followed.as_of);
        read.or(followed.filter(|_| belief.fleet_known))
    };
    let after = after.filter(|_| !must_list(cx));
    match after {
        Some(after) => watch(cx, after).await,
        None => list(cx).await,
    }
}

/// Returns whether registrations that went missing in a store outage should be restored by now.
fn must_list(cx: &Context) -> bool {
    let belief = cx.belief.borrow();
    belief.fleet.has_missing() && belief.fleet.is_restored(now(), belief.store_away_until)
}

async fn list(cx: &Context) {
    match cx.store.list(Topic::Servers).await {
        Ok(listing) => {
            succeeded(cx, Topic::Servers);
            take_in_all(cx, listing);
            sleep(READ_PAUSE).await;
        }
        Err(e) => failed(cx, Topic::Servers, &e).await,
    }
}

async fn watch(cx: &Context, after: Revision) {
    match cx.store.watch(Topic::Servers, after, WAIT_MS).await {
        Ok(Watched::Changes(listing)) => {
            succeeded(cx, Topic::Servers);
            note_read(cx, listing.as_of);
            for update in listing.updates {
                take_in(cx, update, Naming::Fresh);
            }
            sleep(READ_PAUSE).await;
        }
        Ok(Watched::HistoryGone) => {
            ProcessEvent::HistoryGone {
                topic: Topic::Servers.name(),
                after,
            }
            .write();
            list(cx).await;
        }
        Err(e) => failed(cx, Topic::Servers, &e).await,
    }
}

fn note_read(cx: &Context, as_of: Revision) {
    let read_at = now();
    cx.belief.borrow_mut().read_registrations = Some(ReadRegistrations { as_of, read_at });
}

fn take_in_all(cx: &Context, listing: Listing) {
    note_read(cx, listing.as_of);
    let mut entries = Vec::new();
    for update in listing.updates {
        match update {
            Update::Server(entry) => entries.push(entry),
            other => take_in(cx, other, Naming::Earlier),
        }
    }
    cx.replace_servers(entries, "store");
}
