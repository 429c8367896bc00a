//! Decides which engines are ordered to load new weights, and when.
//!
//! An order without a response may still be executed, even after newer orders.
//! Therefore each order carries the number of orders that the engine had accepted
//! before. Of two orders with the same number the engine accepts only the first.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

use crate::BackendServer;
use crate::EngineReport;
use crate::Fleet;
use crate::OrderResponse;
use crate::OrderStep;
use crate::ServerKey;
use crate::Weights;

/// Interval of polling an engine that executes an order, in milliseconds.
const POLL_INTERVAL_MS: u64 = 100;

/// Delay from the acceptance of an order to the first poll, in milliseconds.
const FIRST_POLL_DELAY_MS: u64 = 300;

/// Maximum delay by which an engine's report may be out of date, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Delay before a call is retried that had no usable response, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Time between an announcement and its order, in milliseconds. In this time the
/// announcement reaches all routers and the requests queued at the engine begin.
const ANNOUNCEMENT_LEAD_MS: u64 = 100;

/// Delay before an engine is polled again that did not respond, in milliseconds.
const NO_RESPONSE_DELAY_MS: u64 = 600;

/// Attempt at sending one order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Attempt {
    First,
    Retry,
}

/// Progress of one engine. `accepted` is the number of orders it has accepted.
#[derive(Clone, Debug)]
enum Phase {
    /// The number of accepted orders is unknown.
    CountUnknown,
    /// A report was requested.
    ReportRequested,
    /// The number of accepted orders is known, and no order is being executed.
    CountKnown { accepted: u64 },
    /// All routers were notified that an order is about to be sent, or to be sent again.
    Announced { accepted: u64, attempt: Attempt },
    /// An order was sent and has no response yet.
    Sent {
        accepted: u64,
        attempt: Attempt,
        model: Arc<str>,
        version: u64,
    },
    /// An order was accepted and is being executed. Reports before `report_valid_from` may
    /// still show the state before the order.
    Executing {
        accepted: u64,
        model: Arc<str>,
        version: u64,
        report_valid_from: Time,
    },
}

/// Phase of an engine and the time of its next step.
#[derive(Clone, Debug)]
struct Engine {
    phase: Phase,
    next_at: Time,
}

/// Orders that are given during one lease term.
#[derive(Clone, Debug, Default)]
pub struct OrderPlan {
    engines: BTreeMap<ServerKey, Engine>,
}

impl OrderPlan {
    /// Removes all engines. Called at the beginning of a lease term.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Returns the calls that are due. Of each service at most `max_concurrent_percent`
    /// percent of the engines, but at least one, are announced or execute an order at a time.
    pub fn due_steps(
        &mut self,
        now: Time,
        fleet: &Fleet,
        weights: &Weights,
        max_concurrent_percent: u32,
    ) -> Vec<OrderStep> {
        self.engines.retain(|key, _| fleet.get(*key).is_some());
        let mut steps = Vec::new();
        for service in services(fleet) {
            self.due_for_service(
                now,
                fleet,
                weights,
                &service,
                max_concurrent_percent,
                &mut steps,
            );
        }
        steps
    }

    fn due_for_service(
        &mut self,
        now: Time,
        fleet: &Fleet,
        weights: &Weights,
        service: &str,
        max_concurrent_percent: u32,
        steps: &mut Vec<OrderStep>,
    ) {
        let engines: Vec<_> = fleet.of_service(service).collect();
        let limit = max_concurrent(engines.len(), max_concurrent_percent);
        let mut busy = 0;
        for (key, _) in &engines {
            busy += usize::from(self.is_executing(*key) || self.is_announced(*key));
            steps.extend(self.poll(now, *key));
        }
        let mut outdated = outdated(&engines, weights);
        // Engines with the oldest version come first, so that none is skipped by every new
        // version; among them those with the least work in their queue.
        outdated.sort_by_key(|(key, server, model, _)| {
            let load = server.load(now);
            let pending = load.prefill_ms / 10 + u64::from(load.requests);
            (server.weights(model), pending, *key)
        });
        for (key, server, model, version) in outdated {
            if busy >= limit && !self.is_announced(key) {
                continue;
            }
            if !server.is_ready() || self.is_executing(key) {
                continue;
            }
            if let Some(step) = self.advance(now, key, &model, version) {
                // A report request doesn't count against the limit, as the engine may be dead.
                busy += usize::from(matches!(step, OrderStep::Announce { .. }));
                steps.push(step);
            }
        }
    }

    /// Applies an engine's report; none if the engine did not respond.
    pub fn on_report(&mut self, now: Time, key: ServerKey, report: Option<&EngineReport>) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Some(report) = report else {
            // An unresponsive engine no longer counts against the limit. If it accepted the
            // order after all, the number of accepted orders in its next report shows it.
            engine.next_at = now.plus_millis(NO_RESPONSE_DELAY_MS);
            engine.phase = Phase::CountUnknown;
            return;
        };
        match &engine.phase {
            Phase::CountUnknown | Phase::ReportRequested | Phase::CountKnown { .. } => {
                let accepted = report.accepted;
                engine.phase = if report.busy {
                    Phase::CountUnknown
                } else {
                    Phase::CountKnown { accepted }
                };
                engine.next_at = if report.busy {
                    now.plus_millis(POLL_INTERVAL_MS)
                } else {
                    now
                };
            }
            Phase::Announced { .. } | Phase::Sent { .. } => {}
            Phase::Executing {
                accepted,
                model,
                version,
                report_valid_from,
            } => {
                engine.next_at = now.plus_millis(POLL_INTERVAL_MS);
                let loaded = report.weights.get(model);
                if loaded.is_some_and(|loaded| loaded >= version) && !report.busy {
                    let accepted = report.accepted.max(*accepted);
                    engine.phase = Phase::CountKnown { accepted };
                } else if !report.busy && now >= *report_valid_from {
                    let accepted = report.accepted;
                    engine.phase = Phase::CountKnown { accepted };
                }
            }
        }
    }

    /// Applies an engine's response to an order.
    pub fn on_reply(&mut self, now: Time, key: ServerKey, reply: OrderResponse) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Phase::Sent {
            accepted,
            attempt,
            model,
            version,
        } = engine.phase.clone()
        else {
            return;
        };
        match reply {
            OrderResponse::Accepted => {
                engine.phase = Phase::Executing {
                    accepted: accepted + 1,
                    model,
                    version,
                    report_valid_from: now.plus_millis(REPORT_LAG_MS),
                };
                engine.next_at = now.plus_millis(FIRST_POLL_DELAY_MS);
            }
            OrderResponse::Holds => {
                engine.phase = Phase::CountKnown { accepted };
                engine.next_at = now.plus_millis(POLL_INTERVAL_MS);
            }
            OrderResponse::Unknown if attempt == Attempt::First => {
                // The order is retried with the same number of accepted orders. If the first
                // attempt is executed after all, the engine rejects the second, or vice versa.
                let attempt = Attempt::Retry;
                engine.phase = Phase::Announced { accepted, attempt };
                engine.next_at = now;
            }
            // After two attempts the engine may be dead, and must not count against the limit.
            OrderResponse::Unknown
            | OrderResponse::Conflict
            | OrderResponse::Fenced
            | OrderResponse::Invalid
            | OrderResponse::OtherLifetime => {
                engine.phase = Phase::CountUnknown;
                engine.next_at = now.plus_millis(RETRY_DELAY_MS);
            }
        }
    }

    /// Returns the model and version of the order that an engine executes or may execute.
    pub fn current_order(&self, key: ServerKey) -> Option<(Arc<str>, u64)> {
        match &self.engines.get(&key)?.phase {
            Phase::Sent { model, version, .. } | Phase::Executing { model, version, .. } => {
                Some((Arc::clone(model), *version))
            }
            _ => None,
        }
    }

    /// Returns whether an engine executes an order or may execute one.
    pub fn is_executing(&self, key: ServerKey) -> bool {
        self.current_order(key).is_some()
    }

    fn is_announced(&self, key: ServerKey) -> bool {
        let engine = self.engines.get(&key);
        engine.is_some_and(|engine| matches!(engine.phase, Phase::Announced { .. }))
    }

    fn poll(&mut self, now: Time, key: ServerKey) -> Option<OrderStep> {
        let engine = self.engines.get_mut(&key)?;
        let due = matches!(engine.phase, Phase::Executing { .. }) && engine.next_at <= now;
        if !due {
            return None;
        }
        engine.next_at = now.plus_millis(RETRY_DELAY_MS);
        Some(OrderStep::Report(key))
    }

    fn advance(
        &mut self,
        now: Time,
        key: ServerKey,
        model: &Arc<str>,
        version: u64,
    ) -> Option<OrderStep> {
        let engine = self.engines.entry(key).or_insert(Engine {
            phase: Phase::CountUnknown,
            next_at: now,
        });
        if engine.next_at > now {
            return None;
        }
        match engine.phase {
            Phase::CountUnknown => {
                engine.phase = Phase::ReportRequested;
                engine.next_at = now.plus_millis(RETRY_DELAY_MS);
                Some(OrderStep::Report(key))
            }
            Phase::CountKnown { accepted } => {
                let attempt = Attempt::First;
                engine.phase = Phase::Announced { accepted, attempt };
                engine.next_at = now.plus_millis(ANNOUNCEMENT_LEAD_MS);
                Some(OrderStep::Announce {
                    server: key,
                    model: Arc::clone(model),
                    version,
                })
            }
            Phase::Announced { accepted, attempt } => {
                engine.phase = Phase::Sent {
                    accepted,
                    attempt,
                    model: Arc::clone(model),
                    version,
                };
                Some(OrderStep::Order {
                    server: key,
                    model: Arc::clone(model),
                    version,
                    accepted,
                })
            }
            Phase::ReportRequested => {
                engine.phase = Phase::CountUnknown;
                None
            }
            Phase::Sent { .. } | Phase::Executing { .. } => None,
        }
    }
}

/// An engine with an old version of a model: its key, the engine, the model and the
/// version to load.
type Outdated<'a> = (ServerKey, &'a BackendServer, Arc<str>, u64);

fn outdated<'a>(
    engines: &[(ServerKey, &'a BackendServer)],
    weights: &Weights,
) -> Vec<Outdated<'a>> {
    let mut outdated = Vec::new();
    for (key, server) in engines {
        for (model, version) in &server.registration.weights {
            match weights.target_version(model) {
                Some(target_version) if target_version > *version => {
                    outdated.push((*key, *server, Arc::clone(model), target_version));
                    break;
                }
                _ => {}
            }
        }
    }
    outdated
}

fn services(fleet: &Fleet) -> Vec<Arc<str>> {
    let mut services: Vec<Arc<str>> = fleet
        .iter()
        .filter(|(_, server)| !server.registration.weights.is_empty())
        .map(|(_, server)| Arc::clone(&server.registration.service))
        .collect();
    services.sort();
    services.dedup();
    services
}

fn max_concurrent(engines: usize, percent: u32) -> usize {
    (engines * percent as usize / 100).max(1)
}
