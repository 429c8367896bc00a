//! Gets a newer configuration from other routers if the store doesn't deliver it.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::snapshot;
use crate::view_event::ViewEvent;

/// Interval at which this router looks whether others have a newer configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Interval at which another router is asked for the former quotas of workspaces whose quotas are
/// invalid, in milliseconds.
const FORMER_QUOTAS_INTERVAL_MS: u64 = 500;

/// Time after a configuration was put in force for which other routers are asked that, in
/// milliseconds. A workspace may have had no quota before.
const FORMER_QUOTAS_ASKED_MS: u64 = 10_000;

/// Asks other routers whenever this one lacks a configuration that they have, until the process ends.
pub async fn run(cx: Rc<Context>) {
    let mut quotas_asked_at = now();
    loop {
        sleep(POLL_INTERVAL).await;
        if lacks_quotas(&cx) && now().millis_since(quotas_asked_at) > FORMER_QUOTAS_INTERVAL_MS {
            quotas_asked_at = now();
            if let Some(peer) = cx.peers.any_reachable(quotas_asked_at.0) {
                let cx = Rc::clone(&cx);
                tokio::task::spawn_local(async move { snapshot::fetch_operators(&cx, peer).await });
            }
        }
        for router in choose_sources(&cx) {
            tokio::task::spawn_local(ask(Rc::clone(&cx), router));
        }
    }
}

/// Returns whether another router may know the former quotas of workspaces whose quotas are invalid
/// in the configuration in force.
fn lacks_quotas(cx: &Context) -> bool {
    let view = cx.view.borrow();
    let configuration = view.configuration.as_ref();
    configuration.is_some_and(|configuration| configuration.lacks_former_quotas())
        && now().millis_since(view.configuration_since) < FORMER_QUOTAS_ASKED_MS
}

/// Returns the hashes of the routers to ask now.
fn choose_sources(cx: &Context) -> Vec<u64> {
    let reads_store = cx.fresh_hub_reading().is_none();
    let mut view = cx.view.borrow_mut();
    let version = view.configuration.as_ref().map_or(0, |c| c.version);
    let reads_store = reads_store && !view.store_failing;
    let sources = cx.peers.configuration_sources();
    view.catch_up.next(now(), version, reads_store, &sources)
}

async fn ask(cx: Rc<Context>, router: u64) {
    let Some(peer) = cx.peers.address(router) else {
        return;
    };
    ViewEvent::ConfigurationAsked {
        peer,
        newest: cx.peers.newest_configuration(),
        behind_ms: cx.behind_ms(),
    }
    .write();
    snapshot::fetch_operators(&cx, peer).await;
}
