//! Gives engines the orders that are due, while this router holds the order lease.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use policy::Time;
use relay::Observed;
use relay::OrderStep;
use relay::Reply;
use relay::ServerKey;
use tokio::time::sleep;

use crate::clock::now;
use crate::context::Context;
use crate::engines::WeightsOrder;
use crate::log_event::LogEvent;
use crate::peers::Switch;
use crate::records::end_tenure;
use crate::view_event::BeliefEvent;
use crate::view_event::OrderGiven;

/// Interval at which due steps are carried out.
const LOOK: Duration = Duration::from_millis(25);

/// Longest time of a call to an engine, in milliseconds; the lease term must last as long.
const CALL_MS: u64 = 400;

/// Time for which an engine that switches to new weights is expected to reject
/// requests, in milliseconds. A report of the new weights ends it sooner.
const SWITCH_MS: u64 = 1_800;

/// Time before the announced end of a switch at which it is extended if the engine
/// is still busy, in milliseconds.
const RENEWAL_MS: u64 = 400;

/// Carries out due steps until the process ends.
pub async fn run(cx: Rc<Context>) {
    loop {
        sleep(LOOK).await;
        for step in due(&cx) {
            tokio::task::spawn_local(carry_out(Rc::clone(&cx), step));
        }
    }
}

fn due(cx: &Context) -> Vec<OrderStep> {
    let mut belief = cx.belief.borrow_mut();
    let belief = &mut *belief;
    let now = now();
    if !belief.tenure.is_some_and(|t| t.allows(now, CALL_MS)) {
        return Vec::new();
    }
    let percent = cx.settings.orders_at_once_percent;
    belief
        .plan
        .due(now, &belief.fleet, &belief.weights, percent)
}

async fn carry_out(cx: Rc<Context>, step: OrderStep) {
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
    let until = now().plus_millis(SWITCH_MS);
    if let Some(server) = cx.belief.borrow_mut().fleet.get_mut(key) {
        server.expect_switch(model, version, until);
    }
    cx.peers.tell_switch(Switch {
        server: key,
        model: model.to_owned(),
        version,
        until,
    });
}

async fn report(cx: &Context, key: ServerKey) {
    let Some((_, address)) = address(cx, key) else {
        return;
    };
    let observed = cx.engines.report(address).await;
    if let Some(observed) = &observed {
        saw(cx, key, observed);
    }
    let work = {
        let mut belief = cx.belief.borrow_mut();
        belief.plan.on_report(now(), key, observed.as_ref());
        let server = belief.fleet.get(key);
        let expected = server.map_or(Time(0), |server| server.switching_until);
        let is_late = expected < now().plus_millis(RENEWAL_MS);
        belief.plan.work(key).filter(|_| is_late)
    };
    // An engine that first finishes long requests takes longer than announced.
    if let Some((model, version)) = work {
        announce(cx, key, &model, version);
    }
}

fn saw(cx: &Context, key: ServerKey, observed: &Observed) {
    for (model, version) in &observed.weights {
        if !observed.busy {
            cx.saw_weights(key, model, *version);
        }
    }
}

async fn order(cx: &Context, key: ServerKey, model: Arc<str>, version: u64, accepted: u64) {
    let tenure = cx.belief.borrow().tenure;
    let (Some((engine, address)), Some(tenure)) = (address(cx, key), tenure) else {
        let mut belief = cx.belief.borrow_mut();
        return belief.plan.on_reply(now(), key, Reply::Conflict);
    };
    announce(cx, key, &model, version);
    let order = WeightsOrder {
        engine: Arc::clone(&engine),
        model: Arc::clone(&model),
        version,
        accepted,
        holder: Arc::clone(&cx.settings.name),
        fence: tenure.fence,
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
        fence: tenure.fence,
        reply,
    };
    BeliefEvent::Order(given).write();
    if reply == Reply::Fenced {
        end_tenure(cx, "fenced by a newer holder");
    }
    if reply == Reply::Holds {
        cx.saw_weights(key, &model, version);
    }
    let mut belief = cx.belief.borrow_mut();
    belief.plan.on_reply(now(), key, reply);
}

fn address(cx: &Context, key: ServerKey) -> Option<(Arc<str>, SocketAddr)> {
    let belief = cx.belief.borrow();
    let server = belief.fleet.get(key)?;
    Some((Arc::clone(&server.entry.id), server.entry.address))
}
