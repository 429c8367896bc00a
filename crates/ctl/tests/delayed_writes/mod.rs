//! A platform whose writes may take effect after the client has given up on them.

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

/// Time after which a client gives up on the response to a delayed write.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);

/// Delays of writes: one shorter and one longer than [`RESPONSE_TIMEOUT`].
const WRITE_DELAYS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(400)];

/// A platform whose next few writes are delayed and lose their responses.
#[derive(Clone)]
pub struct DelayedWrites {
    platform: Platform,
    /// Number of writes that are still to be delayed.
    remaining: Arc<AtomicU32>,
}

impl DelayedWrites {
    pub fn new(platform: Platform) -> DelayedWrites {
        DelayedWrites {
            platform,
            remaining: Arc::default(),
        }
    }

    pub fn inner(&self) -> &Platform {
        &self.platform
    }

    /// Delays a random number of the next writes, and makes a random number of writes that
    /// aren't delayed lose their responses.
    pub fn inject_faults<R>(&self, rng: &mut R)
    where
        R: Rng,
    {
        self.platform.lose_responses("", rng.random_range(0..8));
        self.remaining
            .store(rng.random_range(0..4), Ordering::Relaxed);
    }

    /// Returns the delay of the next write; `None` if it isn't delayed.
    fn next_delay(&self) -> Option<Duration> {
        let decrement = |remaining: u32| remaining.checked_sub(1);
        let remaining =
            self.remaining
                .fetch_update(Ordering::Relaxed, Ordering::Relaxed, decrement);
        remaining
            .ok()
            .map(|remaining| WRITE_DELAYS[remaining as usize % WRITE_DELAYS.len()])
    }
}

impl KeyValue for DelayedWrites {
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
        let Some(delay) = self.next_delay() else {
            return self.platform.compare_and_swap(key, expected, value, lease);
        };
        let platform = self.platform.clone();
        let key = key.to_owned();
        tokio::spawn(async move {
            sleep(delay).await;
            platform
                .compare_and_swap(&key, expected, value, lease)
                .await
        });
        let lost = Error::ResponseLost {
            step: "compare_and_swap",
            peer: "delayed writes".into(),
            reason: "delayed".into(),
        };
        async move {
            sleep(RESPONSE_TIMEOUT).await;
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

impl MembershipList for DelayedWrites {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        self.platform.members(seen, wait_ms)
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        self.platform.announce(member)
    }
}
