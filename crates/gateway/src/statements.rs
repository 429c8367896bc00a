//! What backend servers say of themselves in responses, to this router or to others.

use policy::Arrival;
use policy::Time;
use relay::BackendServer;
use relay::Brittleness;
use relay::BrittlenessUpdate;
use relay::FleetChange;
use relay::LimitUpdate;
use relay::RateLimit;
use relay::ServerKey;
use relay::ServerStatement;

use crate::clock::now;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::server_event::ServerEvent;

impl Context {
    /// Records that a backend server has said in a response that it leaves. `source` is
    /// `response` for a response to this router, `peer` for one to another.
    pub fn mark_leaving(&self, key: ServerKey, source: &str) {
        if self.view.borrow_mut().fleet.mark_leaving(key) {
            self.metrics.servers.leaving_by_response.inc();
            self.on_fleet_change(Some(FleetChange::Draining(key)), source);
            self.peers.wake.notify_one();
        }
    }

    /// Records the limit on its requests that a backend server names to a request sent at
    /// `sent_at`, or that it names none.
    pub fn record_limit(&self, key: ServerKey, limit: Option<RateLimit>, sent_at: Time) {
        self.change_limit(key, "response", |server| {
            server.record_limit(now(), limit, sent_at)
        });
    }

    /// Merges what a backend server said of its limit to another router.
    pub fn merge_limit(&self, key: ServerKey, message: Arrival, update: LimitUpdate) {
        self.change_limit(key, "peer", |server| {
            server.merge_limit(update.statement(message))
        });
    }

    /// Records the rejections that a backend server stands by a response to a request sent at
    /// `sent_at`, or that it names none.
    pub fn record_brittleness(
        &self,
        key: ServerKey,
        brittleness: Option<Brittleness>,
        sent_at: Time,
    ) {
        self.change_brittleness(key, "response", |server| {
            server.record_brittleness(now(), brittleness, sent_at)
        });
    }

    /// Merges what a backend server said of rejections to another router.
    pub fn merge_brittleness(&self, key: ServerKey, message: Arrival, update: BrittlenessUpdate) {
        self.change_brittleness(key, "peer", |server| {
            server.merge_brittleness(update.statement(message))
        });
    }

    /// Records what backend servers have said of themselves in responses to other routers.
    pub fn apply_statements(&self, message: Arrival, statements: &[ServerStatement]) {
        for statement in statements {
            let key = self.view.borrow().fleet.by_instance_hash(statement.server);
            let Some(key) = key else {
                continue;
            };
            if statement.leaving {
                self.mark_leaving(key, "peer");
            }
            if let Some(update) = statement.limit {
                self.merge_limit(key, message, update);
            }
            if let Some(update) = statement.brittleness {
                self.merge_brittleness(key, message, update);
            }
        }
    }

    /// Applies a change to what is known of a server's limit. If it returns that the limit has
    /// changed, that is logged and sent to the other routers at once.
    fn change_limit<F>(&self, key: ServerKey, source: &str, change: F)
    where
        F: FnOnce(&mut BackendServer) -> bool,
    {
        let mut view = self.view.borrow_mut();
        let Some(server) = view.fleet.get_mut(key) else {
            return;
        };
        let before = server.limit();
        if !change(server) {
            return;
        }
        ServerEvent::Limit {
            server: &server.registration.id,
            before,
            limit: server.limit(),
            source,
        }
        .write();
        self.peers.wake.notify_one();
    }

    /// The same for the rejections that it stands.
    fn change_brittleness<F>(&self, key: ServerKey, source: &str, change: F)
    where
        F: FnOnce(&mut BackendServer) -> bool,
    {
        let mut view = self.view.borrow_mut();
        let Some(server) = view.fleet.get_mut(key) else {
            return;
        };
        if !change(server) {
            return;
        }
        ServerEvent::Brittle {
            server: &server.registration.id,
            rejections_per_s: server.brittleness().map(|b| b.rejections_per_s),
            source,
        }
        .write();
        self.peers.wake.notify_one();
    }
}
