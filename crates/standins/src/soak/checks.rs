//! Checks that run periodically and at the end of a run.

use policy::Time;

use crate::soak::request::RequestKind;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Time that undisturbed routers have to apply a configuration version once it was observed, in
/// milliseconds.
const IN_FORCE_MS: u64 = 6_000;

/// Minimum number of co-located requests for a check of the share of lost ones.
const MIN_CO_LOCATED: u64 = 1_000;

impl World {
    /// Runs the periodic checks.
    pub(crate) fn on_check(&mut self) {
        self.check_in_force();
        self.schedule_after_us(1_000_000, ScheduledEvent::Check);
    }

    /// Checks that every undisturbed router has applied the version that was observed
    /// [`IN_FORCE_MS`] ago.
    ///
    /// A version is observed when an undisturbed router has applied it, or when it was accepted
    /// [`IN_FORCE_MS`] before and a router that watches the store could read it.
    fn check_in_force(&mut self) {
        let since = Time::from_millis(self.now.as_millis() - IN_FORCE_MS);
        let undisturbed = |world: &World, router: usize| {
            world.vms[router].undisturbed_for(world.now, IN_FORCE_MS)
        };
        let store_faulty_until = self.store.down_until.max(self.store.slow_until);
        let watch_works = self
            .vms
            .iter()
            .enumerate()
            .any(|(i, vm)| undisturbed(self, i) && vm.watch_down_until <= since && i < 3);
        let published = self.ledger.latest_accepted_by(since);
        let published_version = if store_faulty_until <= since && watch_works {
            published
        } else {
            0
        };
        let highest_applied = (0..self.vms.len())
            .filter(|i| undisturbed(self, *i))
            .map(|i: usize| self.vms[i].version)
            .max();
        let due = published_version
            .max(highest_applied.unwrap_or(0))
            .min(self.required_version);
        for router in 0..self.vms.len() {
            let version = self.vms[router].version;
            if undisturbed(self, router) && version < due {
                let details = format!("router {router} has version {version}, {due} is due");
                self.ledger
                    .report_violation(Guarantee::ConfigInForce, details);
            }
        }
        self.record_observed_version(published_version.max(highest_applied.unwrap_or(0)));
    }

    /// Records a version that undisturbed routers must have applied after [`IN_FORCE_MS`].
    fn record_observed_version(&mut self, version: u64) {
        self.observed_versions.push_back((self.now, version));
        while let Some((at, version)) = self.observed_versions.front().copied() {
            if at.plus_millis(IN_FORCE_MS) > self.now {
                break;
            }
            self.required_version = version;
            self.observed_versions.pop_front();
        }
    }

    /// Checks that each submission has a result and that few co-located requests were lost.
    pub(crate) fn check_end(&mut self) {
        let pending = self.requests.iter().find(|(_, r)| r.pending > 0);
        if let Some((id, request)) = pending {
            let details = format!(
                "request {id} has {} sends without an answer",
                request.pending
            );
            self.ledger.report_violation(Guarantee::Vanished, details);
        }
        let co_located = self
            .requests
            .values()
            .filter(|r| r.co_located && !crashes(&r.kind));
        let (mut all, mut served, mut refused_as_poison) = (0, 0, 0);
        for request in co_located {
            all += 1;
            served += u64::from(request.served);
            refused_as_poison += u64::from(request.refused_as_poison);
        }
        self.counts.insert("neighbours", all);
        self.counts.insert("neighbours_served", served);
        self.counts.insert("neighbours_mistaken", refused_as_poison);
        let lost = match self.settings.calm {
            true => all - served,
            false => refused_as_poison,
        };
        if all >= MIN_CO_LOCATED && lost * 100 > all {
            let details = format!("{lost} of {all} neighbours of crashes were lost");
            self.ledger.report_violation(Guarantee::Innocents, details);
        }
    }
}

fn crashes(kind: &RequestKind) -> bool {
    matches!(kind, RequestKind::Stream { crashes: true, .. })
}
