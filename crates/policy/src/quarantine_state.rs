//! Quarantined calls of this router.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::quarantine_record::QuarantineRecord;
use crate::quarantine_record::QUARANTINE_KEY;
use crate::shared_record::SharedRecord;
use crate::CallId;
use crate::ServerKey;
use crate::Time;

/// A call that runs in quarantine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct QuarantinedCall {
    pub(crate) server: ServerKey,
    pub(crate) fingerprint: u64,
    /// Time from which it is considered harmless; none before its first token.
    pub(crate) cleared_at: Option<Time>,
}

/// Calls that run in quarantine or wait for it.
#[derive(Debug)]
pub(crate) struct Quarantine {
    pub(crate) record: SharedRecord<QuarantineRecord>,
    /// Calls that wait for an engine.
    pub(crate) waiting: BTreeSet<CallId>,
    /// Calls that start once the record with their entries is written.
    pub(crate) starting: BTreeMap<CallId, QuarantinedCall>,
    /// Calls that were dispatched and are not yet considered harmless.
    pub(crate) running: BTreeMap<CallId, QuarantinedCall>,
    /// Whether a timer for the next check is set.
    pub(crate) scheduled: bool,
}

impl Quarantine {
    /// Creates an empty quarantine.
    pub(crate) fn new() -> Quarantine {
        Quarantine {
            record: SharedRecord::new(QUARANTINE_KEY),
            waiting: BTreeSet::new(),
            starting: BTreeMap::new(),
            running: BTreeMap::new(),
            scheduled: false,
        }
    }

    /// Returns whether a quarantined call of this router runs or starts on a server.
    pub(crate) fn is_busy(&self, server: ServerKey) -> bool {
        self.running
            .values()
            .chain(self.starting.values())
            .any(|quarantined| quarantined.server == server)
    }

    /// Returns whether this router has a request with this fingerprint in quarantine.
    pub(crate) fn has(&self, fingerprint: u64) -> bool {
        self.running
            .values()
            .chain(self.starting.values())
            .any(|quarantined| quarantined.fingerprint == fingerprint)
    }

    /// Returns whether no call waits or runs, and the record has no entry of `holder`.
    pub(crate) fn is_idle(&self, holder: &str) -> bool {
        let recorded = self
            .record
            .content()
            .is_some_and(|content| content.entries.iter().any(|e| e.holder == holder));
        self.waiting.is_empty() && self.running.is_empty() && !recorded
    }

    /// Removes a call that has ended.
    pub(crate) fn end(&mut self, id: CallId) {
        self.waiting.remove(&id);
        self.starting.remove(&id);
        self.running.remove(&id);
    }
}
