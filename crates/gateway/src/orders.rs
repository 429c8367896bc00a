//! Gives engines the orders that are due, while this router holds the order lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::Time;
use relay::EngineReport;
use relay::OrderResponse;
use relay::OrderStep;
use relay::ServerKey;
use relay::Urgency;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::engines::WeightsOrder;
use crate::log_event::LogEvent;
use crate::order_event::OrderEvent;
use crate::order_event::OrderGiven;
use crate::order_lease_task::end_lease_term;
use crate::permits::may_send;
use crate::weights_switch::WeightsSwitch;

/// Interval at which due steps are carried out.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Time for which an engine that switches to new weights is expected to reject
/// requests, in milliseconds. A report of the new weights ends it sooner.
const EXPECTED_SWITCH_MS: u64 = 1_800;

/// Time before the announced end of a switch at which it is extended if the engine
/// is still busy, in milliseconds.
const EXTENSION_MARGIN_MS: u64 = 400;

/// Carries out due steps until the process ends.
pub async fn run(cx: Rc<Context>) {
    loop {
        sleep(POLL_INTERVAL).await;
        for step in due_steps(&cx) {
            tokio::task::spawn_local(execute(Rc::clone(&cx), step));
        }
    }
}

fn due_steps(cx: &Context) -> Vec<OrderStep> {
    let mut view = cx.view.borrow_mut();
    let view = &mut *view;
    let now = now();
    if !view.order_lease.allows_orders(now) {
        return Vec::new();
    }
    let percent = cx.settings.orders_at_once_percent;
    view.order_plan
        .due_steps(now, &view.fleet, &view.weights, percent)
}

async fn execute(cx: Rc<Context>, step: OrderStep) {
    match step {
        OrderStep::Announce {
            server,
            model,
            version,
        } => announce(&cx, server, &model, version),
        OrderStep::Report(server) => report(&cx, server).await,
        OrderStep::Order {
            server,
            model,
            version,
            accepted,
        } => order(&cx, server, model, version, accepted).await,
    }
}

fn announce(cx: &Context, key: ServerKey, model: &str, version: u64) {
    let until = now().plus_millis(EXPECTED_SWITCH_MS);
    if let Some(server) = cx.view.borrow_mut().fleet.get_mut(key) {
        server.expect_switch(model, version, until);
    }
    cx.peers.announce_switch(WeightsSwitch {
        server: key,
        model: model.to_owned(),
        version,
        until,
    });
}

/// Returns whether an engine may be called now: it has not asked for no requests, and permits the
/// call if it limits them. The step is due again later otherwise.
async fn may_call(cx: &Context, call: &str, key: ServerKey) -> bool {
    let wants_nothing = {
        let view = cx.view.borrow();
        let server = view.fleet.get(key);
        server.is_some_and(|server| server.retry_at > now())
    };
    !wants_nothing && may_send(cx, call, key, Urgency::Urgent).await
}

async fn report(cx: &Context, key: ServerKey) {
    let Some((_, address)) = address(cx, key) else {
        return;
    };
    if !may_call(cx, "report", key).await {
        return;
    }
    let observed = cx.engines.report(address).await;
    if let Some(observed) = &observed {
        record_report(cx, key, observed);
    }
    let current_order = {
        let mut view = cx.view.borrow_mut();
        view.order_plan.on_report(now(), key, observed.as_ref());
        let server = view.fleet.get(key);
        let expected = server.map_or(Time(0), |server| server.switching_until);
        let ends_soon = expected < now().plus_millis(EXTENSION_MARGIN_MS);
        view.order_plan.current_order(key).filter(|_| ends_soon)
    };
    // An engine that first finishes long requests takes longer than announced.
    if let Some((model, version)) = current_order {
        announce(cx, key, &model, version);
    }
}

fn record_report(cx: &Context, key: ServerKey, observed: &EngineReport) {
    for (model, version) in &observed.weights {
        if !observed.busy {
            cx.record_weights(key, model, *version);
        }
    }
}

async fn order(cx: &Context, key: ServerKey, model: Arc<str>, version: u64, accepted: u64) {
    if !may_call(cx, "order", key).await {
        let mut view = cx.view.borrow_mut();
        return view
            .order_plan
            .on_reply(now(), key, OrderResponse::Conflict);
    }
    // The term may have ended while the permit was asked for, or this process was paused.
    let fence = cx.view.borrow_mut().order_lease.begin_order(now());
    let (Some((engine, address)), Some(fence)) = (address(cx, key), fence) else {
        let mut view = cx.view.borrow_mut();
        return view
            .order_plan
            .on_reply(now(), key, OrderResponse::Conflict);
    };
    announce(cx, key, &model, version);
    let order = WeightsOrder {
        engine: Arc::clone(&engine),
        model: Arc::clone(&model),
        version,
        accepted,
        holder: Arc::clone(&cx.settings.name),
        fence,
    };
    let reply = cx.engines.order(address, order).await;
    cx.metrics
        .orders
        .with_label_values(&[&format!("{reply:?}").to_lowercase()])
        .inc();
    let given = OrderGiven {
        server: &engine,
        model: &model,
        version,
        accepted_before: accepted,
        fence,
        reply,
    };
    OrderEvent::Order(given).write();
    if reply == OrderResponse::Fenced {
        end_lease_term(cx, "fenced by a newer holder");
    }
    if reply == OrderResponse::OtherLifetime {
        cx.mark_ended(key);
    }
    if reply == OrderResponse::Holds {
        cx.record_weights(key, &model, version);
    }
    let mut view = cx.view.borrow_mut();
    view.order_plan.on_reply(now(), key, reply);
}

fn address(cx: &Context, key: ServerKey) -> Option<(Arc<str>, SocketAddr)> {
    let view = cx.view.borrow();
    let server = view.fleet.get(key)?;
    Some((
        Arc::clone(&server.registration.id),
        server.registration.address,
    ))
}
