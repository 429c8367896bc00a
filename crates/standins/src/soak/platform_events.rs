//! Events at the platform: calls to its store, and its membership list.

use policy::Event;
use policy::Incarnation;
use policy::Member;
use policy::MemberRole;
use policy::OpId;
use policy::StoreRequest;
use policy::StoreResult;

use crate::soak::config;
use crate::soak::network::Endpoint;
use crate::soak::scheduled_event::Boot;
use crate::soak::world::World;

impl World {
    /// Handles a call at the key-value service and sends its result, unless that is lost.
    pub(crate) fn on_store_call(&mut self, boot: Boot, op: OpId, request: &StoreRequest) {
        if !self.platform_up() {
            let result = StoreResult::Unavailable;
            self.send_event_after_us(1_000, boot, Event::Store { op, result });
            return;
        }
        let injects_minor_faults = self.injects_minor_faults();
        let result = match request {
            _ if injects_minor_faults && self.one_in(40) => StoreResult::ResponseLost,
            _ => self.store.call(self.now, request),
        };
        let lost = injects_minor_faults && self.one_in(15);
        let (from, to) = (Endpoint::Platform, Endpoint::Router(boot.router));
        if lost || !self.network.delivers(self.now, from, to) {
            self.count("store_answers_lost");
            return;
        }
        let slow = self.store.slow_until > self.now;
        let us = 500 + self.random_below(if slow { 3_000_000 } else { 3_000 });
        self.send_event_after_us(us, boot, Event::Store { op, result });
    }

    /// Records a new version of the membership list with the current state of all VMs.
    pub(crate) fn record_members(&mut self) {
        let mut list = Vec::new();
        for (i, vm) in self.vms.iter().enumerate() {
            if vm.node.is_some() {
                let incarnation = vm.boot.boot + 1;
                let name = config::vm_name(i);
                let role = MemberRole::Router;
                list.push(member(name, role, 7_000, i, incarnation, vm.stopping));
            }
        }
        for (i, engine) in self.engines.iter().enumerate() {
            let leaving = engine.leaving_since.is_some();
            let name = config::engine_name(i);
            let role = MemberRole::BackendServer;
            list.push(member(name, role, 8_000, i, engine.incarnation, leaving));
        }
        self.members.insert(self.now, list);
    }
}

fn member(
    name: String,
    role: MemberRole,
    ports: usize,
    index: usize,
    incarnation: u64,
    leaving: bool,
) -> Member {
    let domain = index % 3;
    Member {
        name,
        role,
        address: config::address(ports, index),
        region: format!("region{domain}"),
        failure_domain: format!("domain{domain}"),
        incarnation: Incarnation(incarnation),
        leaving,
    }
}
