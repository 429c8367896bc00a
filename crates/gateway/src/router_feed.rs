//! Follows the live routers that a hub reads from the store for its region.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use relay::PeerReading;
use tokio::time::sleep;

use crate::context::Context;
use crate::process_event::log_peer_failure;
use crate::process_event::Step;
use crate::records;
use crate::router_entry::RouterEntry;
use crate::snapshot;

/// Interval at which the hub's announcement is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a fetch. The list only decides which hub comes next, and the share of each
/// router in the retry budget.
const FETCH_PAUSE: Duration = Duration::from_millis(3_000);

/// Fetches the list whenever the hub has another one, until the process ends.
pub async fn run(cx: Rc<Context>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let hub = cx.fresh_hub_reading();
        if let Some(hub) = hub.filter(|hub| has_other_routers(&cx, hub)) {
            fetch(&cx, &hub).await;
            sleep(FETCH_PAUSE).await;
        }
    }
}

fn has_other_routers(cx: &Context, hub: &PeerReading) -> bool {
    hub.routers
        .is_some_and(|digest| digest != cx.peers.digest())
}

async fn fetch(cx: &Context, hub: &PeerReading) {
    match snapshot::fetch_routers(hub.address).await {
        Ok(list) if list.era < cx.view.borrow().store_era => {}
        Ok(list) => replace(cx, list.entries),
        Err(e) => log_peer_failure(Step::RoutersFetch, &hub.address, &e),
    }
}

fn replace(cx: &Context, routers: Vec<RouterEntry>) {
    let listed: HashSet<String> = routers.iter().map(|entry| entry.name.clone()).collect();
    for name in cx.peers.names() {
        if !listed.contains(&name) {
            records::remove_router(cx, &name);
        }
    }
    for entry in routers {
        records::add_router(cx, entry);
    }
}
