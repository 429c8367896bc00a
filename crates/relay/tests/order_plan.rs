//! Orders to engines to load new weights.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;

use common::announce_now;
use common::at;
use common::fleet;
use common::keys;
use common::no_weights;
use common::registration;
use common::MODEL;
use relay::EngineReport;
use relay::Fleet;
use relay::OrderPlan;
use relay::OrderResponse;
use relay::OrderStep;
use relay::ServerKey;
use relay::Weights;

const FIFTY_PERCENT: u32 = 50;

fn weights(version: u64) -> Weights {
    let mut weights = no_weights(5_000);
    announce_now(&mut weights, at(0), version);
    weights
}

fn report(version: u64, busy: bool, accepted: u64) -> EngineReport {
    EngineReport {
        weights: BTreeMap::from([(Arc::from(MODEL), version)]),
        busy,
        accepted,
    }
}

fn orders(steps: &[OrderStep]) -> Vec<(ServerKey, u64, u64)> {
    let orders = steps.iter().filter_map(|step| match step {
        OrderStep::Order {
            server,
            version,
            accepted,
            ..
        } => Some((*server, *version, *accepted)),
        OrderStep::Announce { .. } | OrderStep::Report(_) => None,
    });
    orders.collect()
}

fn announce(server: ServerKey, version: u64) -> OrderStep {
    OrderStep::Announce {
        server,
        model: MODEL.into(),
        version,
    }
}

/// Advances an engine through report and announcement, and returns the order for it.
fn first_order(plan: &mut OrderPlan, fleet: &Fleet, weights: &Weights, accepted: u64) -> OrderStep {
    let key = keys(fleet)[0];
    plan.due_steps(at(0), fleet, weights, 100);
    plan.on_report(at(10), key, Some(&report(1, false, accepted)));
    plan.due_steps(at(20), fleet, weights, 100);
    let steps = plan.due_steps(at(200), fleet, weights, 100);
    steps.into_iter().next().expect("an order is due")
}

/// A plan in which one engine was ordered to load version 2.
struct PlanWithOrder {
    fleet: Fleet,
    key: ServerKey,
    plan: OrderPlan,
    weights: Weights,
}

fn plan_with_order(accepted: u64) -> PlanWithOrder {
    let fleet = fleet(1, 1);
    let weights = weights(2);
    let mut plan = OrderPlan::default();
    first_order(&mut plan, &fleet, &weights, accepted);
    PlanWithOrder {
        key: keys(&fleet)[0],
        fleet,
        plan,
        weights,
    }
}

#[test]
fn an_engine_is_polled_then_announced_then_ordered_with_its_number_of_accepted_orders() {
    let fleet = fleet(1, 1);
    let key = keys(&fleet)[0];
    let mut plan = OrderPlan::default();
    let weights = weights(2);
    assert_eq!(
        plan.due_steps(at(0), &fleet, &weights, 100),
        [OrderStep::Report(key)]
    );
    plan.on_report(at(10), key, Some(&report(1, false, 4)));
    assert_eq!(
        plan.due_steps(at(20), &fleet, &weights, 100),
        [announce(key, 2)]
    );
    assert_eq!(plan.due_steps(at(30), &fleet, &weights, 100), []);
    let steps = plan.due_steps(at(130), &fleet, &weights, 100);
    assert_eq!(orders(&steps), [(key, 2, 4)]);
}

#[test]
fn an_order_without_a_response_is_retried_at_once_with_the_same_number() {
    let PlanWithOrder {
        fleet,
        key,
        mut plan,
        weights,
    } = plan_with_order(4);
    plan.on_reply(at(210), key, OrderResponse::Unknown);
    let again = plan.due_steps(at(220), &fleet, &weights, 100);
    assert_eq!(orders(&again), [(key, 2, 4)]);
}

#[test]
fn an_engine_that_leaves_two_orders_without_a_response_is_polled_and_frees_its_place() {
    // Arrange
    let PlanWithOrder {
        mut plan,
        fleet,
        weights,
        key,
    } = plan_with_order(0);
    plan.on_reply(at(210), key, OrderResponse::Unknown);
    plan.due_steps(at(220), &fleet, &weights, 100);

    // Act
    plan.on_reply(at(620), key, OrderResponse::Unknown);

    // Assert
    assert!(!plan.is_executing(key));
    let steps = plan.due_steps(at(1_000), &fleet, &weights, 100);
    assert_eq!(steps, [OrderStep::Report(key)]);
}

#[test]
fn after_a_conflict_the_engine_is_polled_and_ordered_with_its_own_number() {
    let PlanWithOrder {
        fleet,
        key,
        mut plan,
        weights,
    } = plan_with_order(4);
    plan.on_reply(at(210), key, OrderResponse::Conflict);
    let asked = plan.due_steps(at(600), &fleet, &weights, 100);
    assert_eq!(asked, [OrderStep::Report(key)]);
    plan.on_report(at(610), key, Some(&report(1, false, 5)));
    plan.due_steps(at(700), &fleet, &weights, 100);
    let steps = plan.due_steps(at(900), &fleet, &weights, 100);
    assert_eq!(orders(&steps), [(key, 2, 5)]);
}

#[test]
fn an_outdated_report_does_not_cause_another_order() {
    let PlanWithOrder {
        fleet,
        key,
        mut plan,
        weights,
    } = plan_with_order(0);
    plan.on_reply(at(210), key, OrderResponse::Accepted);
    plan.on_report(at(520), key, Some(&report(1, false, 0)));
    assert_eq!(orders(&plan.due_steps(at(530), &fleet, &weights, 100)), []);
    assert!(plan.is_executing(key));
}

#[test]
fn another_models_version_does_not_complete_an_order() {
    let mut two_models = registration("e0", 1);
    two_models.weights.insert(Arc::from("other"), 9);
    let mut fleet = Fleet::default();
    fleet.apply(at(0), two_models);
    let key = keys(&fleet)[0];
    let mut plan = OrderPlan::default();
    first_order(&mut plan, &fleet, &weights(2), 0);
    plan.on_reply(at(210), key, OrderResponse::Accepted);
    let mut report = report(1, false, 1);
    report.weights.insert(Arc::from("other"), 9);
    plan.on_report(at(520), key, Some(&report));
    assert!(plan.is_executing(key));
}

#[test]
fn orders_are_limited_to_a_percentage_of_the_engines() {
    let fleet = fleet(8, 1);
    let mut plan = OrderPlan::default();
    let weights = weights(2);
    plan.due_steps(at(0), &fleet, &weights, FIFTY_PERCENT);
    for key in keys(&fleet) {
        plan.on_report(at(10), key, Some(&report(1, false, 0)));
    }
    let mut sent = Vec::new();
    for ms in [20, 200, 300, 400] {
        sent.extend(orders(&plan.due_steps(
            at(ms),
            &fleet,
            &weights,
            FIFTY_PERCENT,
        )));
    }
    assert_eq!(sent.len(), 4);
}

#[test]
fn dead_engines_do_not_count_against_the_limit() {
    let fleet = fleet(4, 1);
    let all = keys(&fleet);
    let (dead, live) = all.split_at(2);
    let mut plan = OrderPlan::default();
    let weights = weights(2);
    let mut ordered = Vec::new();
    for round in 0..20 {
        let now = at(round * 200);
        let steps = plan.due_steps(now, &fleet, &weights, FIFTY_PERCENT);
        for step in &steps {
            match step {
                OrderStep::Report(key) if dead.contains(key) => plan.on_report(now, *key, None),
                OrderStep::Report(key) => {
                    plan.on_report(now, *key, Some(&report(1, false, 0)));
                }
                OrderStep::Order { server, .. } => ordered.push(*server),
                OrderStep::Announce { .. } => {}
            }
        }
    }
    ordered.sort();
    assert_eq!(ordered, live);
}

#[test]
fn engines_with_the_oldest_version_come_first() {
    let mut fleet = Fleet::default();
    fleet.apply(at(0), registration("near", 4));
    fleet.apply(at(0), registration("far", 2));
    let far = fleet.by_id("far").unwrap();
    let near = fleet.by_id("near").unwrap();
    fleet.begin_request(at(0), far, 5_000);
    let mut plan = OrderPlan::default();
    let weights = weights(5);
    plan.due_steps(at(0), &fleet, &weights, FIFTY_PERCENT);
    for key in [far, near] {
        plan.on_report(at(10), key, Some(&report(2, false, 0)));
    }
    let steps = plan.due_steps(at(20), &fleet, &weights, FIFTY_PERCENT);
    assert_eq!(steps, [announce(far, 5)]);
}

#[test]
fn draining_engines_get_no_orders() {
    let mut fleet = Fleet::default();
    let mut draining = registration("d", 1);
    draining.state = relay::ServerState::Draining;
    fleet.apply(at(0), draining);
    let mut plan = OrderPlan::default();
    assert_eq!(plan.due_steps(at(0), &fleet, &weights(2), 100), []);
}

#[test]
fn an_order_is_in_progress_until_the_engine_reports_the_new_weights() {
    // Arrange
    let PlanWithOrder { key, mut plan, .. } = plan_with_order(0);
    plan.on_reply(at(210), key, OrderResponse::Accepted);

    // Act
    plan.on_report(at(2_500), key, Some(&report(1, true, 1)));
    let while_busy = plan.current_order(key);
    plan.on_report(at(3_500), key, Some(&report(2, false, 1)));

    // Assert
    assert_eq!(while_busy, Some((MODEL.into(), 2)));
    assert_eq!(plan.current_order(key), None);
}
