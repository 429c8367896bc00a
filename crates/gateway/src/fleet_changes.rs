//! Applies changes to the set of backend servers, and does what follows from them.

use relay::FleetChange;
use relay::Reading;
use relay::Registration;
use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::server_end_event::ServerEndEvent;
use crate::server_event::ServerEvent;
use crate::stream_builds;

impl Context {
    /// Records that an incarnation of a backend server is over, as another server has its
    /// address, and announces it to other routers if it is new.
    pub fn mark_ended(&self, key: ServerKey) {
        let mut view = self.view.borrow_mut();
        if !view.fleet.mark_ended(now(), key) {
            return;
        }
        let Some(server) = view.fleet.get(key) else {
            return;
        };
        ServerEndEvent::Ended {
            server: &server.registration.id,
            address: server.registration.address,
        }
        .write();
        self.peers.announce_ended(server.instance_hash);
    }

    /// Adds or updates a backend server's registration.
    pub fn apply_registration(&self, registration: Registration, source: &str) {
        let change = self.view.borrow_mut().fleet.apply(now(), registration);
        self.on_fleet_change(change, source);
    }

    /// Ends a backend server's registration, or keeps it for a while if the store was
    /// unreachable shortly before: the platform restores the registrations of live servers.
    pub fn remove_registration(&self, id: &str, source: &str) {
        let change = {
            let mut view = self.view.borrow_mut();
            let outage_until = view.store_outage_until(now());
            view.fleet.remove_or_mark_missing(now(), id, outage_until)
        };
        self.on_fleet_change(change, source);
    }

    /// Replaces all registrations by `registrations`, unless newer ones are known. Missing ones
    /// are removed or kept as by [`Context::remove_registration`], by the outage that the router
    /// saw which read them.
    pub fn replace_registrations(
        &self,
        registrations: Vec<Registration>,
        reading: Reading,
        source: &str,
    ) {
        let changes = {
            let mut view = self.view.borrow_mut();
            view.fleet.replace(now(), registrations, reading)
        };
        self.on_fleet_changes(changes, source);
    }

    /// Logs changes to the set of backend servers, and does what follows from them.
    pub(crate) fn on_fleet_changes(&self, changes: Vec<FleetChange>, source: &str) {
        for change in changes {
            self.on_fleet_change(Some(change), source);
        }
    }

    /// Logs a change to the set of backend servers, and does what follows from it.
    pub(crate) fn on_fleet_change(&self, change: Option<FleetChange>, source: &str) {
        match change {
            None => {}
            Some(FleetChange::Removed(id)) => {
                let server = &*id;
                ServerEvent::Removed { server, source }.write();
                self.pool.sweep(&self.view.borrow().fleet);
            }
            Some(FleetChange::Added(key)) => {
                self.log_server(key, |registration| {
                    ServerEvent::Added {
                        registration,
                        source,
                    }
                    .write();
                });
                self.log_replaced(key);
                self.notify_if_first_of_build(key);
            }
            Some(FleetChange::Renewed(key)) => self.log_server(key, |registration| {
                let server = &*registration.id;
                ServerEndEvent::Renewed { server, source }.write();
            }),
            Some(FleetChange::Draining(key)) => self.log_server(key, |registration| {
                let server = &*registration.id;
                ServerEvent::Draining { server, source }.write();
            }),
            Some(FleetChange::Missing(key)) => self.log_server(key, |registration| {
                ServerEvent::Missing {
                    server: &registration.id,
                    outage_age_ms: self.outage_age_ms(),
                    source,
                }
                .write();
            }),
        }
    }

    /// Notifies other routers of the streams that began here, if a server is the first of its
    /// build.
    fn notify_if_first_of_build(&self, key: ServerKey) {
        let is_first = {
            let view = self.view.borrow();
            let Some(server) = view.fleet.get(key) else {
                return;
            };
            let of_service = view.fleet.of_service(&server.registration.service);
            let of_build = of_service.filter(|(_, other)| other.build == server.build);
            of_build.count() == 1
        };
        if is_first {
            stream_builds::notify_all(self);
        }
    }

    /// Logs which servers are assumed to be over as a later one is registered at their address.
    fn log_replaced(&self, by: ServerKey) {
        let view = self.view.borrow();
        let Some(later) = view.fleet.get(by) else {
            return;
        };
        let servers = view.fleet.iter().map(|(_, server)| server);
        for server in servers.filter(|server| server.is_replaced_by(later.instance_hash)) {
            ServerEndEvent::Replaced {
                server: &server.registration.id,
                by: &later.registration.id,
                address: later.registration.address,
            }
            .write();
        }
    }

    /// Logs an event of a backend server, if it is still known.
    fn log_server<F>(&self, key: ServerKey, log: F)
    where
        F: FnOnce(&Registration),
    {
        let view = self.view.borrow();
        if let Some(server) = view.fleet.get(key) {
            log(&server.registration);
        }
    }

    /// Returns the time since the outage of the store that excuses missing registrations, in
    /// milliseconds.
    fn outage_age_ms(&self) -> u64 {
        let view = self.view.borrow();
        let reading = view.fleet.reading();
        let outage_until =
            reading.map_or(view.store_unreachable_until, |r| r.outage_possible_until());
        now().millis_since(outage_until)
    }
}
