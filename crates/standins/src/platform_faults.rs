//! Faults and counters of the platform stand-in.

use std::collections::BTreeMap;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Read of a key.
    Get,
    /// Read of a prefix.
    List,
    /// Write of a key.
    CompareAndSwap,
    /// Deletion of a key.
    Delete,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    Renew,
    /// Watch of a key.
    Watch,
    /// Read of the membership list.
    Members,
    /// Entry in the membership list.
    Announce,
}

impl CallKind {
    /// Returns the step's name in errors.
    pub fn name(self) -> &'static str {
        match self {
            CallKind::Get => "get",
            CallKind::List => "list",
            CallKind::CompareAndSwap => "compare_and_swap",
            CallKind::Delete => "delete",
            CallKind::Grant => "grant",
            CallKind::Renew => "renew",
            CallKind::Watch => "watch",
            CallKind::Members => "members",
            CallKind::Announce => "announce",
        }
    }
}

/// What is wrong with the platform just now, and how often it was called.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformFaults {
    /// No call is served.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes yet that take effect but lose their answers.
    pub responses_to_lose: u32,
    /// Start of the keys whose writes lose their answers.
    pub lost_response_prefix: String,
    /// Time by which the membership list lags, in milliseconds.
    pub membership_lag_ms: u64,
    /// Calls by kind, failed ones included.
    pub calls: BTreeMap<CallKind, u64>,
}

impl PlatformFaults {
    /// Counts a call.
    pub(crate) fn count(&mut self, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Tells whether the answer of the write of `key` just done is to be lost.
    pub(crate) fn loses_response(&mut self, key: &str) -> bool {
        let loses = self.responses_to_lose > 0 && key.starts_with(&self.lost_response_prefix);
        self.responses_to_lose -= u32::from(loses);
        loses
    }
}
