//! Announcements of the routers that read registrations from the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use policy::Time;

use crate::Reading;

/// Time for which a router's announcements are ignored after it failed to deliver the
/// registrations that it announced, in milliseconds.
const FAILED_FETCH_MS: u64 = 2_000;

/// Announcement of a router that reads registrations from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReading {
    /// Hash of the router's name.
    pub router: u64,
    /// Address of the router.
    pub address: SocketAddr,
    /// Hash of the registrations that it read, see `Fleet::digest`.
    pub digest: u64,
    /// Up to where and when it read them.
    pub reading: Reading,
    /// Hash of the routers that it has read, see `Peers::digest`.
    pub routers: Option<u64>,
}

/// The latest announcement of each router that reads registrations from the store.
#[derive(Clone, Debug, Default)]
pub struct PeerReadings {
    by_router: BTreeMap<u64, PeerReading>,
    /// Latest era of the store; readings of earlier ones are not used.
    era: u64,
    /// Routers that failed to deliver, and the time until which they are ignored.
    ignored_until: BTreeMap<u64, Time>,
}

impl PeerReadings {
    /// Records an announcement, and drops those that have become too old to be used.
    pub fn record(&mut self, now: Time, announcement: PeerReading) {
        if announcement.reading.as_of.era >= self.era {
            self.by_router.insert(announcement.router, announcement);
        }
        self.by_router.retain(|_, peer| peer.reading.is_fresh(now));
        self.ignored_until.retain(|_, until| *until > now);
    }

    /// Drops readings of eras of the store before `era`, and ignores those that still arrive.
    pub fn begin_era(&mut self, era: u64) {
        self.era = era;
        self.by_router
            .retain(|_, peer| peer.reading.as_of.era >= era);
    }

    /// Ignores a router for a while that failed to deliver what it announced.
    pub fn ignore(&mut self, now: Time, router: u64) {
        let until = now.plus_millis(FAILED_FETCH_MS);
        self.ignored_until.insert(router, until);
    }

    /// Returns the announcement to rely on, if any is fresh: that of the `preferred` router, else
    /// the latest. A router that reads the store itself gives its hash as `own`; it relies only
    /// on the preferred one or one with a lower hash, so that one of them goes on reading.
    pub fn best(&self, now: Time, preferred: u64, own: Option<u64>) -> Option<PeerReading> {
        let yields_to = |router| router == preferred || own.is_none_or(|own| router < own);
        let usable = self.by_router.values().filter(|peer| {
            peer.reading.is_fresh(now)
                && yields_to(peer.router)
                && self
                    .ignored_until
                    .get(&peer.router)
                    .is_none_or(|until| *until <= now)
        });
        usable
            .max_by_key(|peer| (peer.router == preferred, peer.reading.read_at))
            .copied()
    }

    /// Returns the end of the last outage, as known to the router with the latest fresh reading;
    /// none if no router has read the store after `since`.
    pub fn outage_until(&self, now: Time, since: Time) -> Option<Time> {
        let readings = self.by_router.values().map(|peer| peer.reading);
        let recent = readings.filter(|reading| reading.is_fresh(now) && reading.read_at > since);
        let latest = recent.max_by_key(|reading| reading.read_at)?;
        Some(latest.outage_possible_until())
    }
}
