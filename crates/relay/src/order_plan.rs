//! Which engines are told to take new weights, and when.
//!
//! An order that is not answered may still be carried out, also later than newer
//! ones. So each order names the number of orders that the engine has accepted
//! before: whichever of two orders with the same number comes first makes the
//! other void.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

use crate::BackendServer;
use crate::Fleet;
use crate::ServerKey;
use crate::ServerState;
use crate::Weights;

/// Wait between two looks at an engine that is at work on an order, in milliseconds.
const LOOK_MS: u64 = 100;

/// Wait after an order was accepted until the first look, in milliseconds.
const FIRST_LOOK_MS: u64 = 300;

/// Time by which an engine's report may lag, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Wait after a call that had no usable answer, in milliseconds.
const PAUSE_MS: u64 = 300;

/// Time between an announcement and its order, in milliseconds: the news reach
/// all routers, and what is in the engine's queue begins.
const ANNOUNCED_MS: u64 = 100;

/// Wait after an engine did not answer a look, in milliseconds.
const SILENT_PAUSE_MS: u64 = 600;

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EngineReport {
    /// Version of each model's weights.
    pub weights: BTreeMap<Arc<str>, u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted in this lifetime.
    pub accepted: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// The engine has these weights already.
    Holds,
    /// Another order is being carried out, or the number of orders differs.
    Conflict,
    /// A newer holder has given orders.
    Fenced,
    /// The engine does not know the order or the version.
    Invalid,
    /// Another lifetime has the address.
    OtherLifetime,
    /// There was no answer; the order may be carried out.
    Unknown,
}

/// A call to make.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderStep {
    /// Tell all routers that an engine is about to take weights: requests that
    /// wait in its queue when the order comes would be turned away.
    Announce {
        /// Engine.
        server: ServerKey,
        /// Model.
        model: Arc<str>,
        /// Version of its weights.
        version: u64,
    },
    /// Ask an engine for its report.
    Report(ServerKey),
    /// Order an engine to take weights.
    Order {
        /// Engine.
        server: ServerKey,
        /// Model.
        model: Arc<str>,
        /// Version to take.
        version: u64,
        /// Orders that it must have accepted before.
        accepted: u64,
    },
}

#[derive(Clone, Debug)]
enum Phase {
    /// Its count of orders is not known.
    Unseen,
    /// A report was asked for.
    Asked,
    /// Its count of orders is known.
    Known { accepted: u64 },
    /// Routers were told that an order is about to be sent.
    Announced { accepted: u64 },
    /// An order was sent.
    Sent {
        accepted: u64,
        model: Arc<str>,
        version: u64,
    },
    /// An order was accepted.
    Working {
        accepted: u64,
        model: Arc<str>,
        version: u64,
        judged_from: Time,
    },
}

#[derive(Clone, Debug)]
struct Engine {
    phase: Phase,
    next_at: Time,
}

/// Orders of one tenure.
#[derive(Clone, Debug, Default)]
pub struct OrderPlan {
    engines: BTreeMap<ServerKey, Engine>,
}

impl OrderPlan {
    /// Forgets all engines, as at the beginning of a tenure.
    pub fn clear(&mut self) {
        self.engines.clear();
    }

    /// Returns the calls that are due; of each service at most a part of
    /// `at_once_percent` of 100 engines is at work at a time.
    pub fn due_steps(
        &mut self,
        now: Time,
        fleet: &Fleet,
        weights: &Weights,
        at_once_percent: u32,
    ) -> Vec<OrderStep> {
        self.engines.retain(|key, _| fleet.get(*key).is_some());
        let mut steps = Vec::new();
        for service in services(fleet) {
            self.due_of(now, fleet, weights, &service, at_once_percent, &mut steps);
        }
        steps
    }

    fn due_of(
        &mut self,
        now: Time,
        fleet: &Fleet,
        weights: &Weights,
        service: &str,
        at_once_percent: u32,
        steps: &mut Vec<OrderStep>,
    ) {
        let engines: Vec<_> = fleet.of_service(service).collect();
        let limit = at_once(engines.len(), at_once_percent);
        let mut working = 0;
        for (key, _) in &engines {
            working += usize::from(self.is_working(*key) || self.is_announced(*key));
            steps.extend(self.look(now, *key));
        }
        let mut outdated = outdated(&engines, weights);
        // Those that are the furthest behind come first, so that none is passed
        // over by every version; among them those with the least to finish.
        outdated.sort_by_key(|(key, server, model, _)| {
            let load = server.load(now);
            let rest = load.reading_ms / 10 + u64::from(load.requests);
            (server.weights(model), rest, *key)
        });
        for (key, server, model, version) in outdated {
            if working >= limit && !self.is_announced(key) {
                continue;
            }
            if server.registration.state != ServerState::Ready || self.is_working(key) {
                continue;
            }
            if let Some(step) = self.begin(now, key, &model, version) {
                // An engine that is only asked may be dead, and must not hold a place.
                working += usize::from(matches!(step, OrderStep::Announce { .. }));
                steps.push(step);
            }
        }
    }

    /// Takes in a report; none if there was no answer.
    pub fn on_report(&mut self, now: Time, key: ServerKey, observed: Option<&EngineReport>) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Some(observed) = observed else {
            // An engine that doesn't answer gives its place to another; should
            // it have taken the order, its count of orders will tell.
            engine.next_at = now.plus_millis(SILENT_PAUSE_MS);
            engine.phase = Phase::Unseen;
            return;
        };
        match &engine.phase {
            Phase::Unseen | Phase::Asked | Phase::Known { .. } => {
                let accepted = observed.accepted;
                engine.phase = if observed.busy {
                    Phase::Unseen
                } else {
                    Phase::Known { accepted }
                };
                engine.next_at = if observed.busy {
                    now.plus_millis(LOOK_MS)
                } else {
                    now
                };
            }
            Phase::Announced { .. } | Phase::Sent { .. } => {}
            Phase::Working {
                accepted,
                model,
                version,
                judged_from,
            } => {
                engine.next_at = now.plus_millis(LOOK_MS);
                let has = observed.weights.get(model);
                if has.is_some_and(|has| has >= version) && !observed.busy {
                    let accepted = observed.accepted.max(*accepted);
                    engine.phase = Phase::Known { accepted };
                } else if !observed.busy && now >= *judged_from {
                    let accepted = observed.accepted;
                    engine.phase = Phase::Known { accepted };
                }
            }
        }
    }

    /// Takes in the answer to an order.
    pub fn on_reply(&mut self, now: Time, key: ServerKey, reply: OrderReply) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Phase::Sent {
            accepted,
            model,
            version,
        } = engine.phase.clone()
        else {
            return;
        };
        match reply {
            OrderReply::Accepted => {
                engine.phase = Phase::Working {
                    accepted: accepted + 1,
                    model,
                    version,
                    judged_from: now.plus_millis(REPORT_LAG_MS),
                };
                engine.next_at = now.plus_millis(FIRST_LOOK_MS);
            }
            OrderReply::Holds => {
                engine.phase = Phase::Known { accepted };
                engine.next_at = now.plus_millis(LOOK_MS);
            }
            OrderReply::Unknown => {
                // Sent again under the same count: if the first is carried out
                // after all, the engine turns the second away, or the reverse.
                engine.phase = Phase::Announced { accepted };
                engine.next_at = now;
            }
            OrderReply::Conflict
            | OrderReply::Fenced
            | OrderReply::Invalid
            | OrderReply::OtherLifetime => {
                engine.phase = Phase::Unseen;
                engine.next_at = now.plus_millis(PAUSE_MS);
            }
        }
    }

    /// Returns the model and version that an engine is at work on, or may be.
    pub fn current_order(&self, key: ServerKey) -> Option<(Arc<str>, u64)> {
        match &self.engines.get(&key)?.phase {
            Phase::Sent { model, version, .. } | Phase::Working { model, version, .. } => {
                Some((Arc::clone(model), *version))
            }
            _ => None,
        }
    }

    /// Tells whether an engine is at work on an order, or may be.
    pub fn is_working(&self, key: ServerKey) -> bool {
        self.current_order(key).is_some()
    }

    fn is_announced(&self, key: ServerKey) -> bool {
        let engine = self.engines.get(&key);
        engine.is_some_and(|engine| matches!(engine.phase, Phase::Announced { .. }))
    }

    fn look(&mut self, now: Time, key: ServerKey) -> Option<OrderStep> {
        let engine = self.engines.get_mut(&key)?;
        let due = matches!(engine.phase, Phase::Working { .. }) && engine.next_at <= now;
        if !due {
            return None;
        }
        engine.next_at = now.plus_millis(PAUSE_MS);
        Some(OrderStep::Report(key))
    }

    fn begin(
        &mut self,
        now: Time,
        key: ServerKey,
        model: &Arc<str>,
        version: u64,
    ) -> Option<OrderStep> {
        let engine = self.engines.entry(key).or_insert(Engine {
            phase: Phase::Unseen,
            next_at: now,
        });
        if engine.next_at > now {
            return None;
        }
        match engine.phase {
            Phase::Unseen => {
                engine.phase = Phase::Asked;
                engine.next_at = now.plus_millis(PAUSE_MS);
                Some(OrderStep::Report(key))
            }
            Phase::Known { accepted } => {
                engine.phase = Phase::Announced { accepted };
                engine.next_at = now.plus_millis(ANNOUNCED_MS);
                Some(OrderStep::Announce {
                    server: key,
                    model: Arc::clone(model),
                    version,
                })
            }
            Phase::Announced { accepted } => {
                engine.phase = Phase::Sent {
                    accepted,
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
            Phase::Asked => {
                engine.phase = Phase::Unseen;
                None
            }
            Phase::Sent { .. } | Phase::Working { .. } => None,
        }
    }
}

type Outdated<'a> = (ServerKey, &'a BackendServer, Arc<str>, u64);

fn outdated<'a>(
    engines: &[(ServerKey, &'a BackendServer)],
    weights: &Weights,
) -> Vec<Outdated<'a>> {
    let mut outdated = Vec::new();
    for (key, server) in engines {
        for (model, version) in &server.registration.weights {
            match weights.wanted(model) {
                Some(wanted) if wanted > *version => {
                    outdated.push((*key, *server, Arc::clone(model), wanted));
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

fn at_once(engines: usize, percent: u32) -> usize {
    (engines * percent as usize / 100).max(1)
}
