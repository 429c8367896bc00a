//! Publishes the router's status on the platform.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use platform::Error;
use platform::KeyValue;
use platform::LeaseId;
use platform::RouterStatus;
use platform::SwapOutcome;
use platform::Version;
use platform::ROUTER_STATUS_PREFIX;
use snafu::ResultExt;
use snafu::Snafu;
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::jitter;
use crate::RouterState;

/// Time after which a status that is not renewed lapses, in milliseconds.
const LEASE_MS: u64 = 30_000;

/// Mean time between two renewals, in milliseconds.
const RENEW_MS: u64 = LEASE_MS / 4;

/// Mean time between two tries while the platform can't be reached, in milliseconds.
const RETRY_MS: u64 = 1_000;

/// Time after which a call is given up.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Writes that are tried before the task pauses.
const WRITES_AT_ONCE: usize = 3;

/// Publishes the router's status on the platform, bound to a lease.
pub struct StatusTask {
    /// The platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// State of the router.
    pub state: watch::Receiver<RouterState>,
    /// Status, brought up to date before each write.
    pub status: RouterStatus,
}

struct Published {
    lease: LeaseId,
    version: Version,
}

#[derive(Debug, Snafu)]
enum StatusError {
    #[snafu(display("{source}"))]
    Platform { source: Error },
    #[snafu(display("no answer in time"))]
    TimedOut,
    #[snafu(display("another writer holds the key"))]
    Contended,
}

impl StatusTask {
    /// Runs until the router has stopped, and takes the status back then.
    pub async fn run(mut self) {
        let mut published = None;
        while !self.state.borrow_and_update().stopped {
            let result = match published.take() {
                Some(Published { lease, version }) => self.write(lease, version).await,
                None => self.publish().await,
            };
            match result {
                Ok(done) => published = self.hold(done).await,
                Err(e) => {
                    log::warn!("event=status_not_written reason={:?}", e.to_string());
                    sleep(jitter::around(RETRY_MS)).await;
                }
            }
        }
        if let Some(Published { version, .. }) = published {
            // A status that stays lapses with its lease.
            let _ = timeout(CALL_TIMEOUT, self.key_value.delete(&self.key(), version)).await;
        }
    }

    /// Renews the lease until the state changes; none once the lease is lost.
    async fn hold(&mut self, published: Published) -> Option<Published> {
        loop {
            tokio::select! {
                changed = self.state.changed() => {
                    return changed.is_ok().then_some(published);
                }
                () = sleep(jitter::around(RENEW_MS)) => {}
            }
            let renewal = self.key_value.renew(published.lease);
            if let Ok(Ok(false)) = timeout(CALL_TIMEOUT, renewal).await {
                log::warn!("event=status_lease_lost");
                return None;
            }
        }
    }

    async fn publish(&mut self) -> Result<Published, StatusError> {
        let lease = call(self.key_value.grant(LEASE_MS)).await?;
        self.write(lease, 0).await
    }

    async fn write(
        &mut self,
        lease: LeaseId,
        mut expected: Version,
    ) -> Result<Published, StatusError> {
        let key = self.key();
        for _ in 0..WRITES_AT_ONCE {
            let value = self.value();
            let swap = self
                .key_value
                .compare_and_swap(&key, expected, value, Some(lease));
            match call(swap).await? {
                SwapOutcome::Written(version) => return Ok(Published { lease, version }),
                SwapOutcome::Conflict(held) => expected = held.map_or(0, |held| held.version),
            }
        }
        ContendedSnafu.fail()
    }

    fn key(&self) -> String {
        format!("{ROUTER_STATUS_PREFIX}{}", self.status.vm)
    }

    fn value(&mut self) -> Bytes {
        let state = self.state.borrow();
        self.status.version = state.version;
        self.status.leaving = state.leaving;
        let json = serde_json::to_vec(&self.status).expect("a status is plain JSON");
        Bytes::from(json)
    }
}

async fn call<F, T>(call: F) -> Result<T, StatusError>
where
    F: std::future::Future<Output = platform::Result<T>>,
{
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result.context(PlatformSnafu),
        Err(_) => TimedOutSnafu.fail(),
    }
}
