//! Evidence that an incarnation of a backend server is over although it is still registered.

use policy::Time;

use crate::BackendServer;
use crate::Reading;

/// Intervals between renewals after which a registration has lapsed that isn't renewed: the platform
/// waits for three, and the latest renewal may be that long ago.
const LAPSE_INTERVALS: u64 = 4;

/// What shows that an incarnation is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndEvidence {
    /// A later incarnation of its service, with this instance hash, is registered at its address. The end
    /// is assumed until that incarnation is known not to be there.
    Replaced(u64),
    /// Another server responds at its address.
    OtherServer,
}

/// Evidence that an incarnation is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerEnd {
    /// What shows it.
    pub evidence: EndEvidence,
    /// When it was found.
    pub since: Time,
}

impl ServerEnd {
    /// Returns whether the evidence is refuted: the registration is still among those of `reading`, and would
    /// have lapsed by then unless its server renewed it after the evidence was found. Servers renew theirs
    /// each `heartbeat_ms`. During an outage, and for some time after it, the store keeps registrations
    /// without renewals.
    pub fn is_refuted_by(&self, reading: Reading, heartbeat_ms: u64) -> bool {
        let since = self.since.max(reading.restored_by());
        reading.read_at.millis_since(since) > heartbeat_ms * LAPSE_INTERVALS
    }
}

impl BackendServer {
    /// Returns whether it is over although its registration remains, as far as this router knows.
    pub fn is_over(&self) -> bool {
        self.end.is_some()
    }

    /// Returns whether it is assumed to be over as the incarnation with a given `instance_hash` is
    /// registered at its address.
    pub fn is_replaced_by(&self, instance_hash: u64) -> bool {
        let replaced = EndEvidence::Replaced(instance_hash);
        self.end.is_some_and(|end| end.evidence == replaced)
    }

    /// Records that a later incarnation is registered at its address.
    pub(crate) fn mark_replaced(&mut self, now: Time, by: u64) {
        let known = self.end.map(|end| end.evidence);
        if known == Some(EndEvidence::OtherServer) || self.is_replaced_by(by) {
            return;
        }
        let evidence = EndEvidence::Replaced(by);
        self.end = Some(ServerEnd {
            evidence,
            since: now,
        });
    }

    /// Records that another server responds at its address. Returns whether that is new.
    pub(crate) fn mark_ended(&mut self, now: Time) -> bool {
        let evidence = EndEvidence::OtherServer;
        let known = self.end.map(|end| end.evidence);
        if known == Some(evidence) {
            return false;
        }
        self.end = Some(ServerEnd {
            evidence,
            since: now,
        });
        true
    }

    /// Removes the evidence that it is over if a renewed registration refutes it. Returns whether it was
    /// removed.
    pub(crate) fn clear_refuted_end(&mut self, reading: Reading, heartbeat_ms: u64) -> bool {
        let end = self.end.filter(|_| self.missing_since.is_none());
        let is_refuted = end.is_some_and(|end| end.is_refuted_by(reading, heartbeat_ms));
        if is_refuted {
            self.end = None;
        }
        is_refuted
    }
}
