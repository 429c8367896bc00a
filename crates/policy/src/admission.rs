//! What each workspace has in flight, and what it may have.

use std::collections::HashMap;

use config::Quota;

use crate::interner::NameKey;

/// What a workspace has in flight at this router.
#[derive(Clone, Copy, Debug, Default)]
struct InUse {
    requests: u32,
    prompt_tokens: u64,
}

/// Counts what each workspace has in flight.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    in_use: HashMap<NameKey, InUse>,
}

impl Admission {
    /// Admits a request if the quota allows.
    pub(crate) fn admit(&mut self, workspace: NameKey, tokens: u64, quota: &Quota) -> bool {
        let used = self.in_use.entry(workspace).or_default();
        let requests = used.requests + 1;
        let prompt_tokens = used.prompt_tokens + tokens;
        if requests > quota.requests_in_flight || prompt_tokens > quota.prompt_tokens_in_flight {
            return false;
        }
        *used = InUse {
            requests,
            prompt_tokens,
        };
        true
    }

    /// Takes an admitted request out again.
    pub(crate) fn release(&mut self, workspace: NameKey, tokens: u64) {
        let used = self.in_use.get_mut(&workspace).expect("it was admitted");
        used.requests -= 1;
        used.prompt_tokens -= tokens;
    }
}
