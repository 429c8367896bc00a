//! Follows the registrations of backend servers.
//!
//! Registrations change with every heartbeat, and each call to the store is paid
//! for. So one router reads them for many: it tells the others a hash of what it
//! has read, and who has another hash fetches the list from it. A router that
//! doesn't hear of a fresh reading in time reads them itself.

use std::rc::Rc;
use std::time::Duration;

use policy::Time;
use relay::Naming;
use tokio::time::sleep;

use crate::clock::now;
use crate::feed::failed;
use crate::feed::succeeded;
use crate::feed::take_in;
use crate::hub::Followed;
use crate::hub::Hub;
use crate::hub::ReadRegistrations;
use crate::snapshot;
use crate::store::Listing;
use crate::store::Revision;
use crate::store::Topic;
use crate::store::Update;
use crate::store::Watched;

/// Time for which a watch waits, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// Pause between two watches: a leaving server must be left within the platform's bound.
const READ_PAUSE: Duration = Duration::from_millis(600);

/// Time between looks at what another router has read.
const FOLLOW_LOOK: Duration = Duration::from_millis(100);

/// Least time between two lists that are fetched from another router, in milliseconds.
const FETCH_PAUSE_MS: u64 = 250;

/// Time after which the list is fetched though its hash is the same, in
/// milliseconds: the hash doesn't tell the weights.
const REFRESH_MS: u64 = 10_000;

/// Follows registrations until the process ends.
pub async fn run(hub: Rc<Hub>) {
    let mut fetched_at = Time(0);
    loop {
        match followed(&hub) {
            Some(followed) => {
                hub.belief.borrow_mut().read_registrations = None;
                follow(&hub, followed, &mut fetched_at).await;
                sleep(FOLLOW_LOOK).await;
            }
            None => read(&hub).await,
        }
    }
}

/// Returns what another router has read for this one, if it is fresh.
fn followed(hub: &Hub) -> Option<Followed> {
    let now = now();
    if hub.peers.topology.borrow_mut().reader(now) == hub.peers.me {
        return None;
    }
    let belief = hub.belief.borrow();
    belief.followed.filter(|followed| followed.is_fresh(now))
}

async fn follow(hub: &Hub, followed: Followed, fetched_at: &mut Time) {
    let same = {
        let belief = hub.belief.borrow();
        belief.fleet_known && belief.fleet.digest() == followed.digest
    };
    let pause_ms = if same { REFRESH_MS } else { FETCH_PAUSE_MS };
    if now().millis_since(*fetched_at) < pause_ms {
        return;
    }
    *fetched_at = now();
    match snapshot::fetch_servers(followed.reader).await {
        Ok(servers) => hub.replace_servers(servers, "peer"),
        Err(e) => log::warn!("event=servers_unanswered reason={:?}", e.to_string()),
    }
}

/// Reads registrations from the store once, by a watch where that is possible.
async fn read(hub: &Hub) {
    let after = {
        let belief = hub.belief.borrow();
        let read = belief.read_registrations.map(|read| read.as_of);
        let followed = belief.followed.map(|followed| followed.as_of);
        read.or(followed.filter(|_| belief.fleet_known))
    };
    let after = after.filter(|_| !must_list(hub));
    match after {
        Some(after) => watch(hub, after).await,
        None => list(hub).await,
    }
}

/// Tells whether registrations are missing since the store was away, and would be back by now.
fn must_list(hub: &Hub) -> bool {
    let belief = hub.belief.borrow();
    belief.fleet.has_missing() && belief.fleet.is_restored(now(), belief.store_away_until)
}

async fn list(hub: &Hub) {
    match hub.store.list(Topic::Servers).await {
        Ok(listing) => {
            succeeded(hub, Topic::Servers, "list");
            take_in_all(hub, listing);
            sleep(READ_PAUSE).await;
        }
        Err(e) => failed(hub, Topic::Servers, "list", &e).await,
    }
}

async fn watch(hub: &Hub, after: Revision) {
    match hub.store.watch(Topic::Servers, after, WAIT_MS).await {
        Ok(Watched::Changes(listing)) => {
            succeeded(hub, Topic::Servers, "watch");
            note_read(hub, listing.as_of);
            for update in listing.updates {
                take_in(hub, update, Naming::Fresh);
            }
            sleep(READ_PAUSE).await;
        }
        Ok(Watched::HistoryGone) => {
            log::info!("event=history_gone topic=servers after={after}");
            list(hub).await;
        }
        Err(e) => failed(hub, Topic::Servers, "watch", &e).await,
    }
}

fn note_read(hub: &Hub, as_of: Revision) {
    let read_at = now();
    hub.belief.borrow_mut().read_registrations = Some(ReadRegistrations { as_of, read_at });
}

fn take_in_all(hub: &Hub, listing: Listing) {
    note_read(hub, listing.as_of);
    let mut entries = Vec::new();
    for update in listing.updates {
        match update {
            Update::Server(entry) => entries.push(entry),
            other => take_in(hub, other, Naming::Earlier),
        }
    }
    hub.replace_servers(entries, "store");
}
