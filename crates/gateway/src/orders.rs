//! Gives engines the orders that are due, while this router holds the tenure.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use relay::Observed;
use relay::OrderStep;
use relay::Reply;
use relay::ServerKey;
use tokio::time::sleep;

use crate::clock::now;
use crate::engines::WeightsOrder;
use crate::hub::Hub;
use crate::records::end_tenure;

/// Time between looks at what is due.
const LOOK: Duration = Duration::from_millis(25);

/// Time that a call to an engine may take, in milliseconds; a tenure must last as long.
const CALL_MS: u64 = 400;

/// Time for which an engine that takes new weights is expected to turn requests
/// away, in milliseconds; it is told to be back sooner.
const SWITCH_MS: u64 = 1_800;

/// Gives the orders that are due until the process ends.
pub async fn run(hub: Rc<Hub>) {
    loop {
        sleep(LOOK).await;
        for step in due(&hub) {
            tokio::task::spawn_local(carry_out(Rc::clone(&hub), step));
        }
    }
}

fn due(hub: &Hub) -> Vec<OrderStep> {
    let mut belief = hub.belief.borrow_mut();
    let belief = &mut *belief;
    let now = now();
    if !belief.tenure.is_some_and(|t| t.allows(now, CALL_MS)) {
        return Vec::new();
    }
    let percent = hub.settings.orders_at_once_percent;
    belief
        .plan
        .due(now, &belief.fleet, &belief.weights, percent)
}

async fn carry_out(hub: Rc<Hub>, step: OrderStep) {
    match step {
        OrderStep::Announce(server) => announce(&hub, server),
        OrderStep::Report(server) => report(&hub, server).await,
        OrderStep::Order {
            server,
            model,
            version,
            accepted,
        } => order(&hub, server, model, version, accepted).await,
    }
}

fn announce(hub: &Hub, key: ServerKey) {
    let until = now().plus_millis(SWITCH_MS);
    if let Some(server) = hub.belief.borrow_mut().fleet.get_mut(key) {
        server.switching_until = until;
    }
    hub.peers.tell_switch(key, until);
}

async fn report(hub: &Hub, key: ServerKey) {
    let Some((_, address)) = address(hub, key) else {
        return;
    };
    let observed = hub.engines.report(address).await;
    if let Some(observed) = &observed {
        saw(hub, key, observed);
    }
    let mut belief = hub.belief.borrow_mut();
    belief.plan.on_report(now(), key, observed.as_ref());
}

fn saw(hub: &Hub, key: ServerKey, observed: &Observed) {
    for (model, version) in &observed.weights {
        if !observed.busy {
            hub.saw_weights(key, model, *version);
        }
    }
}

async fn order(hub: &Hub, key: ServerKey, model: Arc<str>, version: u64, accepted: u64) {
    let tenure = hub.belief.borrow().tenure;
    let (Some((engine, address)), Some(tenure)) = (address(hub, key), tenure) else {
        let mut belief = hub.belief.borrow_mut();
        return belief.plan.on_reply(now(), key, Reply::Conflict);
    };
    announce(hub, key);
    let order = WeightsOrder {
        engine: Arc::clone(&engine),
        model: Arc::clone(&model),
        version,
        accepted,
        holder: Arc::clone(&hub.settings.name),
        fence: tenure.fence,
    };
    let reply = hub.engines.order(address, order).await;
    hub.metrics
        .orders
        .with_label_values(&[&format!("{reply:?}").to_lowercase()])
        .inc();
    log::info!(
        "event=order server={engine} model={model:?} version={version} accepted_before={accepted} fence={} reply={reply:?}",
        tenure.fence
    );
    if reply == Reply::Fenced {
        end_tenure(hub, "a newer holder gives orders");
    }
    if reply == Reply::Holds {
        hub.saw_weights(key, &model, version);
    }
    let mut belief = hub.belief.borrow_mut();
    belief.plan.on_reply(now(), key, reply);
}

fn address(hub: &Hub, key: ServerKey) -> Option<(Arc<str>, SocketAddr)> {
    let belief = hub.belief.borrow();
    let server = belief.fleet.get(key)?;
    Some((Arc::clone(&server.entry.id), server.entry.address))
}
