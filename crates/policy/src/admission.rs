//! What each workspace has in flight, and what it may have.

use std::collections::HashMap;

use config::Quota;

use crate::interner::NameKey;

/// What a workspace has in flight at this router.
#[derive(Clone, Copy, Debug, Default)]
struct InFlightUsage {
    requests: u32,
    prompt_tokens: u64,
}

/// Counts what each workspace has in flight.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    in_use: HashMap<NameKey, InFlightUsage>,
}

impl Admission {
    /// Admits a request if the quota allows.
    pub(crate) fn admit(&mut self, workspace: NameKey, tokens: u64, quota: &Quota) -> bool {
        let next = self.usage_with(workspace, tokens);
        if !next.fits(quota) {
            return false;
        }
        self.in_use.insert(workspace, next);
        true
    }

    /// Tells whether a request would be admitted.
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

    /// Takes an admitted request out again.
    pub(crate) fn release(&mut self, workspace: NameKey, tokens: u64) {
        let used = self.in_use.get_mut(&workspace).expect("it was admitted");
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
