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
const POLL_INTERVAL_MS: u64 = 100;

/// Wait after an order was accepted until the first look, in milliseconds.
const FIRST_POLL_DELAY_MS: u64 = 300;

/// Time by which an engine's report may lag, in milliseconds.
const REPORT_LAG_MS: u64 = 500;

/// Wait after a call that had no usable answer, in milliseconds.
const RETRY_DELAY_MS: u64 = 300;

/// Time between an announcement and its order, in milliseconds: the news reach
/// all routers, and what is in the engine's queue begins.
const ANNOUNCEMENT_LEAD_MS: u64 = 100;

/// Wait after an engine did not answer a look, in milliseconds.
const NO_RESPONSE_DELAY_MS: u64 = 600;

/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Observed {
    /// Version of each model's weights.
    pub weights: BTreeMap<Arc<str>, u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders that it has accepted in this lifetime.
    pub accepted: u64,
}

/// How an engine answered an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
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
    CountUnknown,
    /// A report was asked for.
    ReportRequested,
    /// Its count of orders is known.
    CountKnown { accepted: u64 },
    /// Routers were told that an order is about to be sent.
    Announced { accepted: u64 },
    /// An order was sent.
    Sent {
        accepted: u64,
        model: Arc<str>,
        version: u64,
    },
    /// An order was accepted.
    Executing {
        accepted: u64,
        model: Arc<str>,
        version: u64,
        report_valid_from: Time,
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
    /// `max_concurrent_percent` of 100 engines is at work at a time.
    pub fn due(
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
        // Those that are the furthest behind come first, so that none is passed
        // over by every version; among them those with the least to finish.
        outdated.sort_by_key(|(key, server, model, _)| {
            let load = server.load(now);
            let pending = load.reading_ms / 10 + u64::from(load.requests);
            (server.weights(model), pending, *key)
        });
        for (key, server, model, version) in outdated {
            if busy >= limit && !self.is_announced(key) {
                continue;
            }
            if server.entry.state != ServerState::Ready || self.is_executing(key) {
                continue;
            }
            if let Some(step) = self.advance(now, key, &model, version) {
                // An engine that is only asked may be dead, and must not hold a place.
                busy += usize::from(matches!(step, OrderStep::Announce { .. }));
                steps.push(step);
            }
        }
    }

    /// Takes in a report; none if there was no answer.
    pub fn on_report(&mut self, now: Time, key: ServerKey, observed: Option<&Observed>) {
        let Some(engine) = self.engines.get_mut(&key) else {
            return;
        };
        let Some(observed) = observed else {
            // An engine that doesn't answer gives its place to another; should
            // it have taken the order, its count of orders will tell.
            engine.next_at = now.plus_millis(NO_RESPONSE_DELAY_MS);
            engine.phase = Phase::CountUnknown;
            return;
        };
        match &engine.phase {
            Phase::CountUnknown | Phase::ReportRequested | Phase::CountKnown { .. } => {
                let accepted = observed.accepted;
                engine.phase = if observed.busy {
                    Phase::CountUnknown
                } else {
                    Phase::CountKnown { accepted }
                };
                engine.next_at = if observed.busy {
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
                let has = observed.weights.get(model);
                if has.is_some_and(|has| has >= version) && !observed.busy {
                    let accepted = observed.accepted.max(*accepted);
                    engine.phase = Phase::CountKnown { accepted };
                } else if !observed.busy && now >= *report_valid_from {
                    let accepted = observed.accepted;
                    engine.phase = Phase::CountKnown { accepted };
                }
            }
        }
    }

    /// Takes in the answer to an order.
    pub fn on_reply(&mut self, now: Time, key: ServerKey, reply: Reply) {
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
            Reply::Accepted => {
                engine.phase = Phase::Executing {
                    accepted: accepted + 1,
                    model,
                    version,
                    report_valid_from: now.plus_millis(REPORT_LAG_MS),
                };
                engine.next_at = now.plus_millis(FIRST_POLL_DELAY_MS);
            }
            Reply::Holds => {
                engine.phase = Phase::CountKnown { accepted };
                engine.next_at = now.plus_millis(POLL_INTERVAL_MS);
            }
            Reply::Unknown => {
                // Sent again under the same count: if the first is carried out
                // after all, the engine turns the second away, or the reverse.
                engine.phase = Phase::Announced { accepted };
                engine.next_at = now;
            }
            Reply::Conflict | Reply::Fenced | Reply::Invalid | Reply::OtherLifetime => {
                engine.phase = Phase::CountUnknown;
                engine.next_at = now.plus_millis(RETRY_DELAY_MS);
            }
        }
    }

    /// Returns the model and version that an engine is at work on, or may be.
    pub fn work(&self, key: ServerKey) -> Option<(Arc<str>, u64)> {
        match &self.engines.get(&key)?.phase {
            Phase::Sent { model, version, .. } | Phase::Executing { model, version, .. } => {
                Some((Arc::clone(model), *version))
            }
            _ => None,
        }
    }

    /// Tells whether an engine is at work on an order, or may be.
    pub fn is_executing(&self, key: ServerKey) -> bool {
        self.work(key).is_some()
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
                engine.phase = Phase::Announced { accepted };
                engine.next_at = now.plus_millis(ANNOUNCEMENT_LEAD_MS);
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
            Phase::ReportRequested => {
                engine.phase = Phase::CountUnknown;
                None
            }
            Phase::Sent { .. } | Phase::Executing { .. } => None,
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
        for (model, version) in &server.entry.weights {
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
        .filter(|(_, server)| !server.entry.weights.is_empty())
        .map(|(_, server)| Arc::clone(&server.entry.service))
        .collect();
    services.sort();
    services.dedup();
    services
}

fn max_concurrent(engines: usize, percent: u32) -> usize {
    (engines * percent as usize / 100).max(1)
}
