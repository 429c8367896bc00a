//! Retry budgets of workspaces.

use std::collections::HashMap;

use crate::interner::NameKey;

/// Maximum balance of a workspace, in hundredths of a retry.
const MAX_BALANCE: u32 = 20 * 100;

/// Retries available to each workspace; first attempts earn them.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    hundredths: HashMap<NameKey, u32>,
}

impl RetryBudget {
    /// Adds `per_100` hundredths of a retry for a first attempt.
    pub(crate) fn earn(&mut self, workspace: NameKey, per_100: u32) {
        let left = self.hundredths.entry(workspace).or_insert(MAX_BALANCE);
        *left = left.saturating_add(per_100).min(MAX_BALANCE);
    }

    /// Uses one retry; returns whether one was available.
    pub(crate) fn spend(&mut self, workspace: NameKey) -> bool {
        let left = self.hundredths.entry(workspace).or_insert(MAX_BALANCE);
        let Some(rest) = left.checked_sub(100) else {
            return false;
        };
        *left = rest;
        true
    }
}
