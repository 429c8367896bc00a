//! Counts calls to the membership list.

use std::sync::Arc;

use futures::future::BoxFuture;
use futures::FutureExt;
use platform::Member;
use platform::Members;
use platform::MembershipList;
use platform::Result;

use crate::counted_key_value::result_label;
use crate::Metrics;

/// Client of the membership list that counts its calls by kind and result.
pub struct CountedMembership {
    inner: Arc<dyn MembershipList>,
    metrics: Arc<Metrics>,
}

impl CountedMembership {
    /// Wraps `inner`, counting its calls in `metrics`.
    pub fn new(inner: Arc<dyn MembershipList>, metrics: Arc<Metrics>) -> CountedMembership {
        CountedMembership { inner, metrics }
    }
}

impl MembershipList for CountedMembership {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        let call = self.inner.members(seen, wait_ms);
        call.inspect(|result| {
            self.metrics
                .on_platform_call("members", result_label(result))
        })
        .boxed()
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        let call = self.inner.announce(member);
        call.inspect(|result| {
            self.metrics
                .on_platform_call("announce", result_label(result))
        })
        .boxed()
    }
}
