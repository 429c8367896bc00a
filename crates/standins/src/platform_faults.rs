//! Injected faults and call counters of the platform stand-in.

use std::collections::BTreeMap;

/// Kind of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum CallKind {
    /// Reads a key.
    Get,
    /// Lists the keys with a prefix.
    List,
    /// Writes a key.
    CompareAndSwap,
    /// Deletes a key.
    Delete,
    /// Grants a lease.
    Grant,
    /// Renews a lease.
    Renew,
    /// Waits for a change of a key.
    Watch,
    /// Waits for a change of the membership list.
    Members,
    /// Adds or updates a member of the list.
    Announce,
}

impl CallKind {
    /// Returns the name of the call in errors.
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

/// Faults that are in effect, and the number of calls so far.
#[derive(Clone, Debug, Default)]
pub(crate) struct PlatformFaults {
    /// Whether all calls fail.
    pub outage: bool,
    /// Delay of each call, in milliseconds.
    pub delay_ms: u64,
    /// Number of writes still to be executed without a response.
    pub responses_to_lose: u32,
    /// Prefix of the keys whose writes get no response.
    pub lost_response_prefix: String,
    /// Age of the membership list that readers get, in milliseconds.
    pub membership_lag_ms: u64,
    /// Number of calls by kind, including failed ones.
    pub calls: BTreeMap<CallKind, u64>,
}

impl PlatformFaults {
    /// Counts a call.
    pub(crate) fn count(&mut self, kind: CallKind) {
        *self.calls.entry(kind).or_default() += 1;
    }

    /// Returns whether to drop the response to a write of `key`; if so, one fewer is left to drop.
    pub(crate) fn loses_response(&mut self, key: &str) -> bool {
        let loses = self.responses_to_lose > 0 && key.starts_with(&self.lost_response_prefix);
        self.responses_to_lose -= u32::from(loses);
        loses
    }
}
