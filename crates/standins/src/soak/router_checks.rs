//! Checks of what routers do against what they could know.

use policy::Dispatch;
use policy::Reason;
use policy::Refusal;

use crate::soak::network::Endpoint;
use crate::soak::router_vm::RouterVm;
use crate::soak::routers::endpoint_of;
use crate::soak::scheduled_event::Boot;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Time for which a started router may refuse calls for lack of a configuration, in milliseconds.
const CONFIG_GRACE_MS: u64 = 500;

/// Time within which a router reads the configuration if store and watch work, in milliseconds.
const CONFIG_READ_MS: u64 = 1_500;

/// Time after which every router's membership list shows a started router, in
/// milliseconds: lists are up to 10 s old and are fetched about once a second.
const MEMBER_LIST_LAG_MS: u64 = 12_000;

/// Time after which a leaving engine must get no new work, in milliseconds.
const LEAVING_GRACE_MS: u64 = 3_000;

impl World {
    /// Checks that an attempt expects no outdated incarnation and isn't new work for an
    /// engine that is leaving.
    pub(crate) fn check_dispatch(&mut self, boot: Boot, dispatch: &Dispatch, request: u64) {
        let Endpoint::Engine(engine) = endpoint_of(&dispatch.server_name) else {
            return;
        };
        let vm = &self.vms[boot.router];
        let known = vm
            .known_incarnations
            .get(&dispatch.server_name)
            .copied()
            .unwrap_or(0);
        if dispatch.incarnation.0 < known {
            let details = format!(
                "router {} relies on {} of {} but was told of {known}",
                boot.router, dispatch.incarnation.0, dispatch.server_name
            );
            self.ledger.report_violation(Guarantee::CacheTruth, details);
        }
        let resumes = vm
            .calls
            .values()
            .any(|c| c.request == request && c.resume.is_some());
        let undisturbed = vm.undisturbed_for(self.now, LEAVING_GRACE_MS);
        let leaving = self.engines[engine].leaving_since;
        let late = leaving.is_some_and(|since| since.plus_millis(LEAVING_GRACE_MS) < self.now);
        if late && undisturbed && !resumes {
            let details = format!(
                "router {} sent request {request} to {}, which is leaving",
                boot.router, dispatch.server_name
            );
            self.ledger.report_violation(Guarantee::Leaving, details);
        }
    }

    /// Checks that a router doesn't lack a configuration that it could have obtained.
    pub(crate) fn check_restart(&mut self, boot: Boot, refusal: Refusal) {
        let undisturbed = self.vms[boot.router].undisturbed_for(self.now, CONFIG_GRACE_MS);
        let config_available = self.some_peer_has_config() || self.can_read_config(boot);
        if undisturbed && config_available && refusal.reason() == Reason::NotConfigured {
            let details = format!("{boot:?} still has no configuration");
            self.ledger.report_violation(Guarantee::Restart, details);
        }
    }

    /// Returns whether a router with a configuration is undisturbed and on every membership list.
    fn some_peer_has_config(&self) -> bool {
        let has_config =
            |vm: &RouterVm| vm.version > 0 && vm.undisturbed_for(self.now, MEMBER_LIST_LAG_MS);
        self.vms.iter().any(has_config)
    }

    /// Returns whether a router has had time to read the configuration from the store.
    fn can_read_config(&self, boot: Boot) -> bool {
        let watch_down_until = self.vms[boot.router].watch_down_until;
        let store_faulty_until = self.store.down_until.max(self.store.slow_until);
        let readable_at = store_faulty_until
            .max(watch_down_until)
            .plus_millis(CONFIG_READ_MS);
        readable_at <= self.now && self.vms[boot.router].undisturbed_for(self.now, CONFIG_READ_MS)
    }
}
