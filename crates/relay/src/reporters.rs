//! Which routers' loads are known.
//!
//! In a network partition the reports of one side show servers as half empty, whose other requests
//! come from the other side.

use std::collections::HashMap;

use policy::Time;

/// Time for which a report counts, in milliseconds; as that of a load.
const VALID_MS: u64 = 1_500;

/// The latest report of one router, or of the hub of a region.
#[derive(Clone, Copy, Debug)]
struct Report {
    /// Routers whose requests it counts; 0 if unknown.
    routers: u32,
    valid_until: Time,
}

/// The latest reports, by the hash of the router's or region's name.
#[derive(Clone, Debug, Default)]
pub(crate) struct Reporters {
    reports: HashMap<u64, Report>,
}

impl Reporters {
    /// Records a report that counts the requests of some routers; 0 if unknown.
    pub(crate) fn record(&mut self, now: Time, source: u64, routers: u32) {
        self.reports.retain(|_, report| report.valid_until > now);
        let valid_until = now.plus_millis(VALID_MS);
        let report = Report {
            routers,
            valid_until,
        };
        self.reports.insert(source, report);
    }

    /// Returns the number of routers that the reports of sources count for which `counts` is true;
    /// none if one of them doesn't say.
    pub(crate) fn counted<F>(&self, now: Time, counts: F) -> Option<u32>
    where
        F: Fn(u64) -> bool,
    {
        let valid = self.reports.iter().filter(|(_, r)| r.valid_until > now);
        let counted = valid.filter(|(source, _)| counts(**source));
        let routers = counted.map(|(_, r)| (r.routers > 0).then_some(r.routers));
        routers.sum()
    }
}
