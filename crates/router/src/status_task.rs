//! Publishes the router's status in the platform's key-value service.

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

/// Time to live of the status's lease, in milliseconds. The status expires if the lease isn't
/// renewed within this time.
const LEASE_MS: u64 = 30_000;

/// Mean time between two renewals of the lease, in milliseconds.
const RENEW_INTERVAL_MS: u64 = LEASE_MS / 4;

/// Mean time between two attempts while the platform is unreachable, in milliseconds.
const RETRY_INTERVAL_MS: u64 = 1_000;

/// Timeout of a call to the key-value service.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Number of consecutive conflicting writes after which the task waits before it tries again.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// Publishes the router's status in the platform's key-value service, under a lease.
pub struct StatusTask {
    /// Client of the platform's key-value service.
    pub key_value: Arc<dyn KeyValue>,
    /// State of the router, from which the status is updated.
    pub state: watch::Receiver<RouterState>,
    /// Status of the router, updated before each write.
    pub status: RouterStatus,
}

/// A published status: its lease, and the version of its key.
struct Published {
    lease: LeaseId,
    version: Version,
}

/// Why the status could not be written.
#[derive(Debug, Snafu)]
enum StatusError {
    #[snafu(display("{source}"))]
    Platform { source: Error },
    #[snafu(display("timed out"))]
    TimedOut,
    #[snafu(display("another writer holds the key"))]
    Contended,
}

impl StatusTask {
    /// Runs until all calls have ended after a shutdown, and then deletes the status.
    pub async fn run(mut self) {
        let mut published = None;
        while !self.state.borrow_and_update().stopped {
            let result = match published.take() {
                Some(Published { lease, version }) => self.write(lease, version).await,
                None => self.publish().await,
            };
            match result {
                Ok(done) => published = self.renew_until_change(done).await,
                Err(e) => {
                    log::warn!("event=status_not_written reason={:?}", e.to_string());
                    sleep(jitter::around(RETRY_INTERVAL_MS)).await;
                }
            }
        }
        if let Some(Published { version, .. }) = published {
            // If the deletion fails, the status expires with its lease.
            let _ = timeout(CALL_TIMEOUT, self.key_value.delete(&self.key(), version)).await;
        }
    }

    /// Renews the lease until the router's state changes. Returns `None` if the lease has expired
    /// and the status must be published again.
    async fn renew_until_change(&mut self, published: Published) -> Option<Published> {
        loop {
            tokio::select! {
                changed = self.state.changed() => {
                    return changed.is_ok().then_some(published);
                }
                () = sleep(jitter::around(RENEW_INTERVAL_MS)) => {}
            }
            let renewal = self.key_value.renew(published.lease);
            if let Ok(Ok(false)) = timeout(CALL_TIMEOUT, renewal).await {
                log::warn!("event=status_lease_lost");
                return None;
            }
        }
    }

    async fn publish(&mut self) -> Result<Published, StatusError> {
        let lease = with_timeout(self.key_value.grant(LEASE_MS)).await?;
        self.write(lease, 0).await
    }

    async fn write(
        &mut self,
        lease: LeaseId,
        mut expected: Version,
    ) -> Result<Published, StatusError> {
        let key = self.key();
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let value = self.value();
            let swap = self
                .key_value
                .compare_and_swap(&key, expected, value, Some(lease));
            match with_timeout(swap).await? {
                SwapOutcome::Written(version) => return Ok(Published { lease, version }),
                SwapOutcome::Conflict(current) => {
                    expected = current.map_or(0, |current| current.version)
                }
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
        let json = serde_json::to_vec(&self.status).expect("a status serializes to JSON");
        Bytes::from(json)
    }
}

async fn with_timeout<F, T>(call: F) -> Result<T, StatusError>
where
    F: std::future::Future<Output = platform::Result<T>>,
{
    match timeout(CALL_TIMEOUT, call).await {
        Ok(result) => result.context(PlatformSnafu),
        Err(_) => TimedOutSnafu.fail(),
    }
}
