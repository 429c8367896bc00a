//! Orders that have engines load the configured weights.
//!
//! The router that hears an engine's load reports sees to its weights. It takes
//! a slot of the record before it gives the order, repeats the order, which is
//! absolute, until a report shows the weights, and then drops the slot.

use rand::Rng;

use crate::fleet::ServerKind;
use crate::load_record::LoadingSlot;
use crate::load_record::Wanted;
use crate::load_record::WeightsLoadRecord;
use crate::load_record::ORDER_FLIGHT_MS;
use crate::loads::Given;
use crate::loads::Held;
use crate::shared_record::Settled;
use crate::timers::Timer;
use crate::Action;
use crate::LoadReport;
use crate::Node;
use crate::OpId;
use crate::Order;
use crate::OrderAnswer;
use crate::ServerKey;
use crate::StoreResult;
use crate::Time;

/// Pause between two looks at the loads, in milliseconds.
const LOOK_MS: u64 = 200;

/// Pause between two repeats of an order, in milliseconds.
const REPEAT_MS: u64 = 3_000;

impl Node {
    /// Takes in which weights an engine holds.
    pub(crate) fn on_weights(&mut self, now: Time, server: ServerKey, report: &LoadReport) {
        let known = self.loads.held.get(&server);
        if known.is_some_and(|held| held.as_of > report.at) {
            return;
        }
        let held = Held {
            as_of: report.at,
            weights: report.weights.clone().unwrap_or_default(),
        };
        self.loads.held.insert(server, held);
        match self.lacking(server, report) {
            Some(wanted) => {
                self.loads.wanted.insert(server, wanted);
            }
            None => {
                self.loads.wanted.remove(&server);
            }
        }
        let holder = self.holder();
        if self.loads.look_at.is_none() && !self.loads.is_idle(&holder) {
            self.look_later(now);
        }
    }

    /// Takes in an engine's answer to an order.
    pub(crate) fn on_order_answer(
        &mut self,
        now: Time,
        server: &str,
        fencing: u64,
        answer: OrderAnswer,
    ) {
        let given = self.loads.given.get_mut(server);
        if let Some(given) = given.filter(|given| given.fencing == fencing) {
            given.landed_at = now;
        }
        if let OrderAnswer::StaleFencing(_) = answer {
            self.loads.record.forget();
        }
    }

    /// Looks at the loads and does what is due.
    pub(crate) fn on_loads_due(&mut self, now: Time, out: &mut Vec<Action>) {
        self.loads.look_at = None;
        let holder = self.holder();
        if self.loads.is_idle(&holder) {
            self.loads.record.forget();
            return;
        }
        self.look_later(now);
        if self.loads.record.is_pending() {
            return;
        }
        match self.loads.record.content().cloned() {
            None => self.read_loads(out),
            Some(record) => self.advance_loads(now, &record, out),
        }
    }

    /// Takes in the result of a call about the record; tells whether it was one.
    pub(crate) fn on_loads_result(
        &mut self,
        now: Time,
        op: OpId,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.loads.record.settle(op, result) == Settled::NotOurs {
            return false;
        }
        self.give_orders(now, out);
        true
    }

    /// Returns the first configured weights that an engine lacks.
    fn lacking(&self, server: ServerKey, report: &LoadReport) -> Option<Wanted> {
        let cfg = self.rollout.config()?;
        let entry = self.fleet.server(server);
        let ServerKind::Engine { models, .. } = &entry.kind else {
            return None;
        };
        let takes_orders = entry.declared && !entry.is_leaving() && report.weights.is_some();
        models
            .iter()
            .map(|key| self.fleet.models.name(*key))
            .filter_map(|name| Some((name, cfg.models.get(&**name)?.weights_version)))
            .find(|(name, version)| !report.holds(name, *version))
            .filter(|_| takes_orders)
            .map(|(name, version)| Wanted {
                server: entry.name.clone(),
                incarnation: report.incarnation,
                model: name.to_string(),
                weights_version: version,
                checks_fencing: entry.checks_fencing,
            })
    }

    fn advance_loads(&mut self, now: Time, record: &WeightsLoadRecord, out: &mut Vec<Action>) {
        let mut next = record.clone();
        self.drop_finished(now, &mut next);
        next.drop_abandoned(now);
        next.renew(now, &self.holder());
        self.take_slots(now, &mut next);
        if next == *record {
            self.give_orders(now, out);
            self.refresh_if_waiting(record, out);
            return;
        }
        let op = self.store_ops.name();
        let request = self.loads.record.write(op, next);
        out.push(Action::Store { op, request });
    }

    /// Drops own slots of servers that hold the weights of the slot.
    ///
    /// A slot whose load isn't wanted any more, but may be under way, stays
    /// until it has long lapsed.
    fn drop_finished(&self, now: Time, record: &mut WeightsLoadRecord) {
        let holder = self.holder();
        let finished: Vec<String> = record
            .own(&holder)
            .filter(|slot| self.is_loaded(slot))
            .filter(|slot| !self.order_on_its_way(now, &slot.server, slot.checks_fencing))
            .map(|slot| slot.server.clone())
            .collect();
        for server in finished {
            record.drop_own(&holder, &server);
        }
    }

    fn is_loaded(&self, slot: &LoadingSlot) -> bool {
        let key = self.fleet.find(&slot.server);
        let held = key.and_then(|key| self.loads.held.get(&key));
        held.into_iter()
            .flat_map(|held| &held.weights)
            .any(|held| held.model == slot.model && held.version == slot.weights_version)
    }

    fn take_slots(&self, now: Time, record: &mut WeightsLoadRecord) {
        let holder = self.holder();
        let limit = self
            .rollout
            .config()
            .map_or(0, |cfg| cfg.limits.loads_at_once);
        for wanted in self.loads.wanted.values() {
            if self.order_on_its_way(now, &wanted.server, wanted.checks_fencing) {
                continue;
            }
            if !record.turn(now, &holder, wanted) {
                record.fill(now, &holder, wanted, limit);
            }
        }
    }

    /// Reads the record again while a wanted load has no slot.
    fn refresh_if_waiting(&mut self, record: &WeightsLoadRecord, out: &mut Vec<Action>) {
        let holder = self.holder();
        let own = record.own(&holder).count();
        if own < self.loads.wanted.len() {
            self.read_loads(out);
        }
    }

    fn read_loads(&mut self, out: &mut Vec<Action>) {
        let op = self.store_ops.name();
        let request = self.loads.record.read(op);
        out.push(Action::Store { op, request });
    }

    /// Tells whether an order could still reach a server that would take it after others.
    fn order_on_its_way(&self, now: Time, server: &str, checks_fencing: bool) -> bool {
        let given = self.loads.given.get(server);
        !checks_fencing && given.is_some_and(|given| now < given.landed_at)
    }

    /// Gives the orders of own slots, again after a while if nothing came of them.
    fn give_orders(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(record) = self.loads.record.content() else {
            return;
        };
        let holder = self.holder();
        for slot in record.own(&holder).filter(|slot| slot.may_order(now)) {
            let Some(key) = self.fleet.find(&slot.server) else {
                continue;
            };
            let given = self.loads.given.get(&slot.server);
            if given.is_some_and(|g| g.fencing == slot.fencing && now < g.repeat_at) {
                continue;
            }
            let deadline = now.plus_millis(ORDER_FLIGHT_MS).min(slot.until);
            let given = Given {
                fencing: slot.fencing,
                landed_at: now.plus_millis(ORDER_FLIGHT_MS),
                repeat_at: now.plus_millis(REPEAT_MS),
            };
            self.loads.given.insert(slot.server.clone(), given);
            out.push(Action::Order(Order {
                server: slot.server.clone(),
                address: self.fleet.server(key).address,
                fencing: slot.fencing,
                model: slot.model.clone(),
                weights_version: slot.weights_version,
                deadline,
            }));
        }
    }

    fn look_later(&mut self, now: Time) {
        let jitter_ms = self.rng.random_range(0..LOOK_MS / 2);
        let at = now.plus_millis(LOOK_MS + jitter_ms);
        self.loads.look_at = Some(at);
        self.timers.add(at, Timer::Loads);
    }

    /// Returns the name under which this router holds leases.
    pub(crate) fn holder(&self) -> String {
        format!("{}/{}", self.identity.vm, self.identity.incarnation)
    }
}
