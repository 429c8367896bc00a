//! Retries that a workspace may use.

use std::collections::HashMap;

use crate::interner::NameKey;

/// Retries that a workspace may use at once, in hundredths.
const BURST: u32 = 20 * 100;

/// Retries that each workspace may use; first attempts earn them.
#[derive(Debug, Default)]
pub(crate) struct RetryBudget {
    hundredths: HashMap<NameKey, u32>,
}

impl RetryBudget {
    /// Earns a part of a retry for a first attempt.
    pub(crate) fn earn(&mut self, workspace: NameKey, per_100: u32) {
        let left = self.hundredths.entry(workspace).or_insert(BURST);
        *left = left.saturating_add(per_100).min(BURST);
    }

    /// Uses a retry, if one is left.
    pub(crate) fn spend(&mut self, workspace: NameKey) -> bool {
        let left = self.hundredths.entry(workspace).or_insert(BURST);
        let Some(rest) = left.checked_sub(100) else {
            return false;
        };
        *left = rest;
        true
    }
}
