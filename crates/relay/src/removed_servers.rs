//! Incarnations of backend servers whose registrations ended lately.

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Time;

use crate::BackendServer;
use crate::BrittlenessStatement;
use crate::Build;
use crate::LimitStatement;

/// Time for which a removed incarnation is remembered, in milliseconds. The store may come back
/// from a copy that is some seconds old.
const REMEMBERED_MS: u64 = 30_000;

/// What is remembered of an incarnation.
#[derive(Clone, Debug)]
struct RemovedServer {
    service: Arc<str>,
    build: Build,
    says_leaving: bool,
    limit_statement: Option<LimitStatement>,
    brittleness_statement: Option<BrittlenessStatement>,
    remembered_until: Time,
}

/// Incarnations whose registrations ended lately, by instance hash.
#[derive(Clone, Debug, Default)]
pub(crate) struct RemovedServers {
    by_instance_hash: BTreeMap<u64, RemovedServer>,
}

impl RemovedServers {
    /// Remembers a server whose registration ends now.
    pub(crate) fn record(&mut self, now: Time, server: &BackendServer) {
        self.by_instance_hash
            .retain(|_, removed| removed.remembered_until > now);
        let removed = RemovedServer {
            service: Arc::clone(&server.registration.service),
            build: server.build,
            says_leaving: server.says_leaving,
            limit_statement: server.limit_statement,
            brittleness_statement: server.brittleness_statement,
            remembered_until: now.plus_millis(REMEMBERED_MS),
        };
        self.by_instance_hash.insert(server.instance_hash, removed);
    }

    /// Returns whether an incarnation is remembered.
    pub(crate) fn contains(&self, now: Time, instance_hash: u64) -> bool {
        let removed = self.by_instance_hash.get(&instance_hash);
        removed.is_some_and(|removed| removed.remembered_until > now)
    }

    /// Sets what a server had said of itself before its registration ended, if it is remembered.
    pub(crate) fn restore(&self, server: &mut BackendServer) {
        if let Some(removed) = self.by_instance_hash.get(&server.instance_hash) {
            server.says_leaving = removed.says_leaving;
            server.limit_statement = removed.limit_statement;
            server.brittleness_statement = removed.brittleness_statement;
        }
    }

    /// Returns the builds of a service's remembered servers.
    pub(crate) fn builds<'a>(
        &'a self,
        now: Time,
        service: &'a str,
    ) -> impl Iterator<Item = Build> + 'a {
        let removed = self.by_instance_hash.values();
        let of_service = removed
            .filter(move |removed| &*removed.service == service && removed.remembered_until > now);
        of_service.map(|removed| removed.build)
    }
}
