//! Admission by quota: what each workspace has in flight at this router.

use std::collections::HashMap;

use config::Quota;

use crate::interner::NameKey;

/// Requests and prompt tokens that a workspace has in flight at this router.
#[derive(Clone, Copy, Debug, Default)]
struct InFlightUsage {
    requests: u32,
    prompt_tokens: u64,
}

/// Tracks the usage of each workspace and checks it against the quota.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    in_use: HashMap<NameKey, InFlightUsage>,
}

impl Admission {
    /// Counts a request as in flight if the quota allows it; returns whether it does.
    pub(crate) fn admit(&mut self, workspace: NameKey, tokens: u64, quota: &Quota) -> bool {
        let next = self.usage_with(workspace, tokens);
        if !next.fits(quota) {
            return false;
        }
        self.in_use.insert(workspace, next);
        true
    }

    /// Returns whether the quota allows the request.
    pub(crate) fn would_admit(&self, workspace: NameKey, tokens: u64, quota: &Quota) -> bool {
        self.usage_with(workspace, tokens).fits(quota)
    }

    fn usage_with(&self, workspace: NameKey, tokens: u64) -> InFlightUsage {
        let used = self.in_use.get(&workspace).copied().unwrap_or_default();
        InFlightUsage {
            requests: used.requests + 1,
            prompt_tokens: used.prompt_tokens + tokens,
        }
    }

    /// Removes an admitted request from the usage.
    pub(crate) fn release(&mut self, workspace: NameKey, tokens: u64) {
        let used = self
            .in_use
            .get_mut(&workspace)
            .expect("only admitted requests are released");
        used.requests -= 1;
        used.prompt_tokens -= tokens;
    }
}

impl InFlightUsage {
    fn fits(&self, quota: &Quota) -> bool {
        self.requests <= quota.requests_in_flight
            && self.prompt_tokens <= quota.prompt_tokens_in_flight
    }
}
