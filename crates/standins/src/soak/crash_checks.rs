//! Checks that a request crashes no more engines than routers can know of.

use crate::soak::ledger::Crash;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Time within which undisturbed routers have notified each other of a crash, in milliseconds.
const CRASH_GOSSIP_MS: u64 = 500;

/// Time after which every router's membership list shows a started router, in
/// milliseconds: lists are up to 10 s old and are fetched about once a second.
const MEMBER_LIST_LAG_MS: u64 = 12_000;

/// Time within which a starting router has read the stored strikes, in milliseconds.
const STRIKES_READ_MS: u64 = 2_500;

/// Number of engines that one request may crash.
const MAX_ENGINE_CRASHES: usize = 2;

impl World {
    /// Records that a request crashed an engine and checks the bound on such crashes.
    pub(crate) fn on_crashing_request(&mut self, index: usize, request: u64, router: usize) {
        let fingerprint = self.requests[&request].fingerprint;
        let unknowable = !self.requests[&request].crashes_knowable;
        let crash = Crash {
            at: self.now,
            router,
            undisturbed: self.vms[router].undisturbed_for(self.now, 0),
            maybe_unlisted: !self.vms[router].undisturbed_for(self.now, MEMBER_LIST_LAG_MS),
        };
        let crashes = self.ledger.on_crash(fingerprint, crash);
        self.add_trace_line(format!("request {request} crashes engine {index}"));
        self.count("crashes_by_request");
        if crashes > MAX_ENGINE_CRASHES && unknowable {
            self.count("crashes_beyond_bound_unknowable");
        } else if crashes > MAX_ENGINE_CRASHES {
            let details = format!("request {request} crashed {crashes} engines");
            self.ledger.report_violation(Guarantee::CrashBound, details);
        }
        self.crash_engine(index, Some(request));
    }

    /// Returns whether a router could know of all earlier crashes by a request, so that the
    /// bound on crashes applies.
    ///
    /// The router must be undisturbed, and must have been up at each crash or have read the
    /// stored strikes since. The router of each crash must have been undisturbed then, and
    /// must have stayed up until it had passed the crash on, by gossip or through the store.
    pub(crate) fn could_know_crashes(&self, fingerprint: u64, router: usize) -> bool {
        let vm = &self.vms[router];
        let store_until = self.store.down_until.max(self.store.slow_until);
        let crashes = self.ledger.crashes_of(fingerprint);
        let all_reported = crashes.iter().all(|crash| {
            let observer = &self.vms[crash.router];
            let maybe_unlisted =
                !vm.undisturbed_for(self.now, MEMBER_LIST_LAG_MS) || crash.maybe_unlisted;
            let reported_at = match maybe_unlisted && store_until <= crash.at {
                true => crash.at.plus_millis(STRIKES_READ_MS),
                false => crash.at.plus_millis(CRASH_GOSSIP_MS),
            };
            if maybe_unlisted && store_until > crash.at {
                return false;
            }
            let observer_stopped =
                observer.stopped_at >= crash.at && observer.stopped_at <= reported_at;
            let strikes_read =
                store_until <= vm.up_since && vm.undisturbed_for(self.now, STRIKES_READ_MS);
            let knows_strikes = vm.up_since <= crash.at || strikes_read;
            crash.undisturbed && !observer_stopped && knows_strikes && reported_at <= self.now
        });
        all_reported && vm.undisturbed_for(self.now, CRASH_GOSSIP_MS)
    }
}
