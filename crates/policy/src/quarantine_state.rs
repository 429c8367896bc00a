//! Requests on trial at this router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::quarantine_record::QuarantineRecord;
use crate::quarantine_record::QUARANTINE_KEY;
use crate::shared_record::SharedRecord;
use crate::CallId;
use crate::ServerKey;
use crate::Time;

/// A call that is on trial.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuarantinedCall {
    pub(crate) server: ServerKey,
    pub(crate) fingerprint: u64,
    /// Time from which it counts as harmless, once it has its first token.
    pub(crate) cleared_at: Option<Time>,
}

/// Calls that are on trial, or wait for it.
#[derive(Debug)]
pub(crate) struct Quarantine {
    pub(crate) record: SharedRecord<QuarantineRecord>,
    pub(crate) waiting: BTreeSet<CallId>,
    /// Calls whose trial begins once the record is written.
    pub(crate) starting: BTreeMap<CallId, QuarantinedCall>,
    pub(crate) running: BTreeMap<CallId, QuarantinedCall>,
    /// Whether trials are looked at again later.
    pub(crate) scheduled: bool,
}

impl Quarantine {
    /// Creates a router without trials.
    pub(crate) fn new() -> Quarantine {
        Quarantine {
            record: SharedRecord::new(QUARANTINE_KEY),
            waiting: BTreeSet::new(),
            starting: BTreeMap::new(),
            running: BTreeMap::new(),
            scheduled: false,
        }
    }

    /// Tells whether a request of this router is on trial at a server.
    pub(crate) fn is_busy(&self, server: ServerKey) -> bool {
        self.running
            .values()
            .chain(self.starting.values())
            .any(|quarantined| quarantined.server == server)
    }

    /// Tells whether a request is on trial at this router.
    pub(crate) fn has(&self, fingerprint: u64) -> bool {
        self.running
            .values()
            .chain(self.starting.values())
            .any(|quarantined| quarantined.fingerprint == fingerprint)
    }

    /// Tells whether there is nothing to see to.
    pub(crate) fn is_idle(&self, holder: &str) -> bool {
        let recorded = self
            .record
            .content()
            .is_some_and(|content| content.entries.iter().any(|t| t.holder == holder));
        self.waiting.is_empty() && self.running.is_empty() && !recorded
    }

    /// Takes a call out that no longer runs.
    pub(crate) fn end(&mut self, id: CallId) {
        self.waiting.remove(&id);
        self.starting.remove(&id);
        self.running.remove(&id);
    }
}
