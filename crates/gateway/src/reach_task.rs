//! Finds out which failure domains this router is cut off from, and when it no longer is.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use relay::ReachChange;
use relay::ServerKey;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::dialer;
use crate::log_event::LogEvent;
use crate::reach_event::ReachEvent;

/// Interval at which lost links are looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Looks for lost links until the process ends.
pub async fn run(cx: Rc<Context>) {
    loop {
        sleep(POLL_INTERVAL).await;
        let (changes, probes) = {
            let mut view = cx.view.borrow_mut();
            let view = &mut *view;
            let changes = view.reach.update(now(), &view.fleet);
            (changes, view.reach.probes(now(), &view.fleet))
        };
        for change in changes {
            cx.on_reach_change(&change);
        }
        for server in probes {
            tokio::task::spawn_local(probe(Rc::clone(&cx), server));
        }
    }
}

async fn probe(cx: Rc<Context>, key: ServerKey) {
    let address = {
        let view = cx.view.borrow();
        let Some(server) = view.fleet.get(key) else {
            return;
        };
        server.registration.address
    };
    let result = dialer::probe(&cx, key, address).await;
    let server = &*cx.server_name(key);
    ReachEvent::Probe {
        server,
        reason: result.err(),
    }
    .write();
}

impl Context {
    /// Logs a change of what this router reaches, and closes the idle connections that lead the
    /// other way.
    pub(crate) fn on_reach_change(&self, change: &ReachChange) {
        let (domain, is_cut) = match change {
            ReachChange::Cut { domain, .. } => (domain, true),
            ReachChange::Reached { domain, .. } => (domain, false),
        };
        ReachEvent::Changed(change).write();
        let view = self.view.borrow();
        let servers = view.fleet.iter();
        for (key, _) in servers.filter(|(_, s)| s.registration.domain == *domain) {
            self.pool.close_idle(key, |is_tunnel| is_tunnel != is_cut);
        }
    }

    /// Returns up to `count` other routers, with their addresses, that may connect into a failure
    /// domain for this one; those in this router's region first, else in random order.
    pub(crate) fn routers_to_ask(&self, domain: &Arc<str>, count: usize) -> Vec<(u64, SocketAddr)> {
        let view = self.view.borrow();
        let now = now();
        let seed = rand::rng().random();
        let routers = self.peers.helpers(seed, count, |router| {
            view.reach.may_ask(now, router, domain)
        });
        let with_address = routers.into_iter().map(|router| {
            let address = self.peers.address(router)?;
            Some((router, address))
        });
        with_address.flatten().collect()
    }

    /// Returns the id of a backend server, or `gone` once it is not registered, for logs.
    pub(crate) fn server_name(&self, key: ServerKey) -> String {
        let view = self.view.borrow();
        let server = view.fleet.get(key);
        server.map_or_else(
            || "gone".to_owned(),
            |server| server.registration.id.to_string(),
        )
    }
}
