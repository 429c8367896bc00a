//! Records rejections in a row by backend servers, and notifies other routers of them.
//!
//! In force only where the room of servers is limited.

use policy::Arrival;
use relay::turn_ms;
use relay::BackendServer;
use relay::Rejection;
use relay::RejectionsUpdate;
use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::server_event::RejectionsKnown;
use crate::server_event::ServerEvent;

/// Records that a backend server rejected the request's latest attempt.
pub fn record(x: &Exchange, key: ServerKey) {
    let cx = &x.cx;
    x.rejections_in_a_row.set(x.rejections_in_a_row.get() + 1);
    let Some(attempted) = &x.latest_server else {
        return;
    };
    let now = now();
    let is_news = {
        let mut view = cx.view.borrow_mut();
        let view = &mut *view;
        let Some(server) = view.fleet.get_mut(key) else {
            return;
        };
        // A plain service carries out no orders and rejects only what exceeds its slots.
        let is_engine = !server.registration.weights.is_empty();
        let has_free_slots = server.load(now).requests <= server.registration.slots;
        let is_shared = is_engine && (has_free_slots || view.weights.is_outdated(server));
        let rejection = Rejection {
            sent_at: attempted.sent_at,
            is_shared,
            turn_ms: if is_shared { turn(cx, server) } else { 0 },
        };
        let was_known = server.rejections.in_a_row(now) > 0;
        let is_news = server.rejections.record(now, rejection);
        let kind = match (is_news, was_known, is_shared) {
            (false, _, _) => "together",
            (true, true, _) => "repeated",
            (true, false, true) => "first",
            (true, false, false) => "full",
        };
        let counter = &cx.metrics.servers.rejections;
        counter.with_label_values(&[kind]).inc();
        if is_news {
            log(server, "response");
        }
        is_news && is_shared
    };
    if is_news {
        cx.peers.wake.notify_one();
    }
}

/// Records that a backend server ran the request's latest attempt, which ends a row of rejections.
pub fn record_ran(x: &Exchange, key: ServerKey) {
    let Some(attempted) = &x.latest_server else {
        return;
    };
    let mut view = x.cx.view.borrow_mut();
    let Some(server) = view.fleet.get_mut(key) else {
        return;
    };
    if server.rejections.record_ran(now(), attempted.sent_at) {
        log(server, "response");
        x.cx.peers.wake.notify_one();
    }
}

/// Merges what another router knows. A hub passes news on at once.
pub fn merge(cx: &Context, message: Arrival, updates: &[RejectionsUpdate]) {
    if updates.is_empty() || !cx.limits_room() {
        return;
    }
    let now = now();
    let mut has_news = false;
    for update in updates {
        let mut view = cx.view.borrow_mut();
        let Some(key) = view.fleet.by_instance_hash(update.server) else {
            continue;
        };
        let Some(server) = view.fleet.get_mut(key) else {
            continue;
        };
        let turn_ms = turn(cx, server);
        if server.rejections.merge(message, *update, turn_ms) {
            log(server, "peer");
            has_news = true;
        }
    }
    if has_news && cx.peers.topology.borrow_mut().is_hub(now) {
        cx.peers.wake.notify_one();
    }
}

/// Returns this router's turn after a back-off. The number of rejections in a row is part of the
/// hash, so that another router comes first after each one.
fn turn(cx: &Context, server: &BackendServer) -> u64 {
    let in_a_row = u64::from(server.rejections.in_a_row(now()));
    let hash = policy::rendezvous_weight(server.instance_hash, in_a_row);
    turn_ms(cx.peers.topology.borrow().rank_for(hash))
}

fn log(server: &BackendServer, source: &str) {
    let now = now();
    let known = RejectionsKnown {
        server: &server.registration.id,
        in_a_row: server.rejections.in_a_row(now),
        retry_after_ms: server.rejections.until().millis_since(now),
        requests: server.load(now).requests,
        slots: server.registration.slots,
        load_age_ms: server.load_age_ms(now),
        source,
    };
    ServerEvent::Rejections(known).write();
}
