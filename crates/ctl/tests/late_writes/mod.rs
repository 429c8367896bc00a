//! A platform whose writes may take effect long after their answers were lost.

use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::BoxFuture;
use futures::FutureExt;
use platform::Change;
use platform::Error;
use platform::KeyValue;
use platform::LeaseId;
use platform::Member;
use platform::Members;
use platform::MembershipList;
use platform::Result;
use platform::SwapOutcome;
use platform::Version;
use platform::Versioned;
use rand::Rng;
use standins::Platform;
use tokio::time::sleep;

/// Time after which an answer is given up.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// Times by which a write comes late, before and after its answer is given up.
const LATENESS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(400)];

/// A platform whose writes may take effect long after their answers were lost.
#[derive(Clone)]
pub struct LateWrites {
    platform: Platform,
    late: Arc<AtomicU32>,
}

impl LateWrites {
    pub fn new(platform: Platform) -> LateWrites {
        LateWrites {
            platform,
            late: Arc::default(),
        }
    }

    pub fn stand_in(&self) -> &Platform {
        &self.platform
    }

    /// Lets some of the next writes lose their answers, or come late as well.
    pub fn disturb<R>(&self, rng: &mut R)
    where
        R: Rng,
    {
        self.platform.lose_responses("", rng.random_range(0..8));
        self.late.store(rng.random_range(0..4), Ordering::Relaxed);
    }

    /// Returns the lateness of the next write, none if it comes in time.
    fn lateness(&self) -> Option<Duration> {
        let less = |late: u32| late.checked_sub(1);
        let late = self
            .late
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, less);
        late.ok()
            .map(|late| LATENESS[late as usize % LATENESS.len()])
    }
}

impl KeyValue for LateWrites {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        self.platform.get(key)
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        self.platform.list(prefix)
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>> {
        let Some(lateness) = self.lateness() else {
            return self.platform.compare_and_swap(key, expected, value, lease);
        };
        let platform = self.platform.clone();
        let key = key.to_owned();
        tokio::spawn(async move {
            sleep(lateness).await;
            platform
                .compare_and_swap(&key, expected, value, lease)
                .await
        });
        let lost = Error::ResponseLost {
            step: "compare_and_swap",
            peer: "late writes".into(),
            reason: "comes late".into(),
        };
        async move {
            sleep(ANSWER_TIMEOUT).await;
            Err(lost)
        }
        .boxed()
    }

    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        self.platform.delete(key, expected)
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>> {
        self.platform.grant(ttl_ms)
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>> {
        self.platform.renew(lease)
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        self.platform.watch(key, seen, wait_ms)
    }
}

impl MembershipList for LateWrites {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        self.platform.members(seen, wait_ms)
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        self.platform.announce(member)
    }
}
