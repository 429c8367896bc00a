//! Orders that make engines load the configured weights.
//!
//! The router that receives an engine's load reports is responsible for its
//! weights. It acquires a loading slot in the record, sends the order, which is
//! idempotent, again and again until a report shows the weights, and then
//! releases the slot.

use rand::Rng;

use crate::fleet::ServerKind;
use crate::shared_record::RecordStatus;
use crate::timers::Timer;
use crate::weights_load_record::LoadingSlot;
use crate::weights_load_record::WantedLoad;
use crate::weights_load_record::WeightsLoadRecord;
use crate::weights_load_record::ORDER_FLIGHT_MS;
use crate::weights_loads::ReportedWeights;
use crate::weights_loads::SentOrder;
use crate::Action;
use crate::LoadReport;
use crate::Node;
use crate::OpId;
use crate::Order;
use crate::OrderResponse;
use crate::ServerKey;
use crate::StoreResult;
use crate::Time;

/// Interval between two checks of the weights loads, in milliseconds.
const POLL_MS: u64 = 200;

/// Interval between two retries of an order, in milliseconds.
const ORDER_RETRY_MS: u64 = 3_000;

impl Node {
    /// Records the weights that an engine reports, and whether it must load others.
    pub(crate) fn on_weights(&mut self, now: Time, server: ServerKey, report: &LoadReport) {
        let known = self.weights_loads.held.get(&server);
        if known.is_some_and(|held| held.as_of > report.at) {
            return;
        }
        let held = ReportedWeights {
            as_of: report.at,
            weights: report.weights.clone().unwrap_or_default(),
        };
        self.weights_loads.held.insert(server, held);
        match self.missing_weights(server, report) {
            Some(wanted) => {
                self.weights_loads.wanted.insert(server, wanted);
            }
            None => {
                self.weights_loads.wanted.remove(&server);
            }
        }
        let holder = self.holder();
        if self.weights_loads.next_poll_at.is_none() && !self.weights_loads.is_idle(&holder) {
            self.schedule_poll(now);
        }
    }

    /// Handles the response of an engine to an order.
    pub(crate) fn on_order_response(
        &mut self,
        now: Time,
        server: &str,
        fencing: u64,
        response: OrderResponse,
    ) {
        let sent = self.weights_loads.sent_orders.get_mut(server);
        if let Some(sent) = sent.filter(|sent| sent.fencing == fencing) {
            sent.in_flight_until = now;
        }
        if let OrderResponse::StaleFencing(_) = response {
            self.weights_loads.record.invalidate();
        }
    }

    /// Reads or updates the record and sends the orders that are due.
    pub(crate) fn on_weights_poll(&mut self, now: Time, out: &mut Vec<Action>) {
        self.weights_loads.next_poll_at = None;
        let holder = self.holder();
        if self.weights_loads.is_idle(&holder) {
            self.weights_loads.record.invalidate();
            return;
        }
        self.schedule_poll(now);
        if self.weights_loads.record.is_pending() {
            return;
        }
        match self.weights_loads.record.content().cloned() {
            None => self.read_weights_record(out),
            Some(record) => self.update_weights_record(now, &record, out),
        }
    }

    /// Handles a result for the record of weights loads; returns whether `op` belongs to it.
    pub(crate) fn on_weights_record_result(
        &mut self,
        now: Time,
        op: OpId,
        result: &StoreResult,
        out: &mut Vec<Action>,
    ) -> bool {
        if self.weights_loads.record.on_result(op, result) == RecordStatus::Unrelated {
            return false;
        }
        self.send_orders(now, out);
        true
    }

    /// Returns the first configured weights that an engine lacks, if it accepts orders.
    fn missing_weights(&self, server: ServerKey, report: &LoadReport) -> Option<WantedLoad> {
        let cfg = self.active_config.config()?;
        let engine = self.fleet.server(server);
        let ServerKind::Engine { models, .. } = &engine.kind else {
            return None;
        };
        let accepts_orders = engine.declared && !engine.is_leaving() && report.weights.is_some();
        models
            .iter()
            .map(|key| self.fleet.models.name(*key))
            .filter_map(|name| Some((name, cfg.models.get(&**name)?.weights_version)))
            .find(|(name, version)| !report.holds(name, *version))
            .filter(|_| accepts_orders)
            .map(|(name, version)| WantedLoad {
                server: engine.name.clone(),
                incarnation: report.incarnation,
                model: name.to_string(),
                weights_version: version,
                checks_fencing: engine.checks_fencing,
            })
    }

    fn update_weights_record(
        &mut self,
        now: Time,
        record: &WeightsLoadRecord,
        out: &mut Vec<Action>,
    ) {
        let mut next = record.clone();
        self.drop_finished(now, &mut next);
        next.drop_abandoned(now);
        next.renew(now, &self.holder());
        self.acquire_slots(now, &mut next);
        if next == *record {
            self.send_orders(now, out);
            self.refresh_if_waiting(record, out);
            return;
        }
        let op = self.store_ops.next_id();
        let request = self.weights_loads.record.write(op, next);
        out.push(Action::Store { op, request });
    }

    /// Releases own slots whose server reports the weights of the slot and has
    /// no order in flight that it would accept late.
    ///
    /// All other own slots stay, also one whose load is no longer wanted: the
    /// load may still be running.
    fn drop_finished(&self, now: Time, record: &mut WeightsLoadRecord) {
        let holder = self.holder();
        let finished: Vec<String> = record
            .held_by(&holder)
            .filter(|slot| self.is_loaded(slot))
            .filter(|slot| !self.order_in_flight(now, &slot.server, slot.checks_fencing))
            .map(|slot| slot.server.clone())
            .collect();
        for server in finished {
            record.release(&holder, &server);
        }
    }

    fn is_loaded(&self, slot: &LoadingSlot) -> bool {
        let key = self.fleet.find(&slot.server);
        let held = key.and_then(|key| self.weights_loads.held.get(&key));
        held.into_iter()
            .flat_map(|held| &held.weights)
            .any(|held| held.model == slot.model && held.version == slot.weights_version)
    }

    fn acquire_slots(&self, now: Time, record: &mut WeightsLoadRecord) {
        let holder = self.holder();
        let limit = self
            .active_config
            .config()
            .map_or(0, |cfg| cfg.limits.loads_at_once);
        for wanted in self.weights_loads.wanted.values() {
            if self.order_in_flight(now, &wanted.server, wanted.checks_fencing) {
                continue;
            }
            if !record.reassign(now, &holder, wanted) {
                record.acquire(now, &holder, wanted, limit);
            }
        }
    }

    /// Reads the record again while a wanted load has no slot.
    fn refresh_if_waiting(&mut self, record: &WeightsLoadRecord, out: &mut Vec<Action>) {
        let holder = self.holder();
        let own = record.held_by(&holder).count();
        if own < self.weights_loads.wanted.len() {
            self.read_weights_record(out);
        }
    }

    fn read_weights_record(&mut self, out: &mut Vec<Action>) {
        let op = self.store_ops.next_id();
        let request = self.weights_loads.record.read(op);
        out.push(Action::Store { op, request });
    }

    /// Returns whether an order may still be in flight to a server that does
    /// not check fencing tokens and so would accept it after later ones.
    fn order_in_flight(&self, now: Time, server: &str, checks_fencing: bool) -> bool {
        let sent = self.weights_loads.sent_orders.get(server);
        !checks_fencing && sent.is_some_and(|sent| now < sent.in_flight_until)
    }

    /// Sends the orders of own slots, and retries those without effect.
    fn send_orders(&mut self, now: Time, out: &mut Vec<Action>) {
        let Some(record) = self.weights_loads.record.content() else {
            return;
        };
        let holder = self.holder();
        for slot in record.held_by(&holder).filter(|slot| slot.may_order(now)) {
            let Some(key) = self.fleet.find(&slot.server) else {
                continue;
            };
            let sent = self.weights_loads.sent_orders.get(&slot.server);
            if sent.is_some_and(|g| g.fencing == slot.fencing && now < g.retry_at) {
                continue;
            }
            let deadline = now.plus_millis(ORDER_FLIGHT_MS).min(slot.until);
            let sent = SentOrder {
                fencing: slot.fencing,
                in_flight_until: now.plus_millis(ORDER_FLIGHT_MS),
                retry_at: now.plus_millis(ORDER_RETRY_MS),
            };
            self.weights_loads
                .sent_orders
                .insert(slot.server.clone(), sent);
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

    fn schedule_poll(&mut self, now: Time) {
        let jitter_ms = self.rng.random_range(0..POLL_MS / 2);
        let at = now.plus_millis(POLL_MS + jitter_ms);
        self.weights_loads.next_poll_at = Some(at);
        self.timers.add(at, Timer::WeightsLoads);
    }

    /// Returns the name under which this router holds leases: its VM and incarnation.
    pub(crate) fn holder(&self) -> String {
        format!("{}/{}", self.identity.vm, self.identity.incarnation)
    }
}
