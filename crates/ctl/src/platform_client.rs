//! Calls to the platform, retried at its other addresses until a deadline.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures::future::BoxFuture;
use platform::HttpKeyValue;
use platform::HttpMembershipList;
use platform::KeyValue;
use platform::Members;
use platform::MembershipList;
use platform::Result;
use tokio::time::sleep_until;
use tokio::time::Instant;

/// Time limit for the calls of a command to the platform, retries included; while it waits for
/// the routers, the deadline of that wait applies instead.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after the first failed attempt; it doubles with each further one.
const INITIAL_DELAY: Duration = Duration::from_millis(20);

/// Longest delay between two attempts.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Client of the platform, which is reachable at one or more addresses.
#[derive(Clone)]
pub struct PlatformClient {
    key_values: Vec<Arc<dyn KeyValue>>,
    membership_lists: Vec<Arc<dyn MembershipList>>,
    deadline: Instant,
}

impl PlatformClient {
    /// Creates a client of the platform at `addresses`, which connects on first use. The time
    /// limit of a command starts now.
    pub fn connect(addresses: &[SocketAddr]) -> PlatformClient {
        PlatformClient {
            key_values: addresses
                .iter()
                .map(|addr| key_value_client(*addr))
                .collect(),
            membership_lists: addresses
                .iter()
                .map(|addr| membership_client(*addr))
                .collect(),
            deadline: Instant::now() + COMMAND_TIMEOUT,
        }
    }

    /// Creates a client of a platform that runs in the same process, for tests.
    pub fn local<P>(platform: P) -> PlatformClient
    where
        P: KeyValue + MembershipList + 'static,
    {
        let platform = Arc::new(platform);
        PlatformClient {
            key_values: vec![platform.clone()],
            membership_lists: vec![platform],
            deadline: Instant::now() + COMMAND_TIMEOUT,
        }
    }

    /// Makes a call, which must be safe to retry, until it succeeds or the deadline passes.
    ///
    /// Each attempt goes to the next address. Returns the error of the last attempt.
    pub async fn retry<T, F>(&self, call: F) -> Result<T>
    where
        F: for<'a> Fn(&'a dyn KeyValue) -> BoxFuture<'a, Result<T>>,
    {
        let mut backoff = Backoff::new(self.deadline);
        loop {
            match call(self.key_value(&backoff)).await {
                Ok(response) => return Ok(response),
                Err(e) if !backoff.wait().await => return Err(e),
                Err(_) => {}
            }
        }
    }

    /// Returns the key-value service to use for the next attempt, by the number of failed attempts.
    pub fn key_value(&self, backoff: &Backoff) -> &dyn KeyValue {
        self.key_values[backoff.failed_attempts % self.key_values.len()].as_ref()
    }

    /// Returns the deadline of all calls.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns a copy of the client with another deadline.
    pub fn with_deadline(&self, deadline: Instant) -> PlatformClient {
        PlatformClient {
            deadline,
            ..self.clone()
        }
    }

    /// Reads the membership list, with retries as in [`PlatformClient::retry`].
    pub async fn members(&self) -> Result<Members> {
        let mut backoff = Backoff::new(self.deadline);
        loop {
            let list =
                &self.membership_lists[backoff.failed_attempts % self.membership_lists.len()];
            match list.members(0, 0).await {
                Ok(members) => return Ok(members),
                Err(e) if !backoff.wait().await => return Err(e),
                Err(_) => {}
            }
        }
    }
}

/// Retry state of one call: failed attempts and exponential backoff.
pub struct Backoff {
    failed_attempts: usize,
    delay: Duration,
    deadline: Instant,
}

impl Backoff {
    /// Creates the state of a call that isn't retried after `deadline`.
    pub fn new(deadline: Instant) -> Backoff {
        Backoff {
            failed_attempts: 0,
            delay: INITIAL_DELAY,
            deadline,
        }
    }

    /// Records a failed attempt and waits until the next one is due.
    ///
    /// Returns `false`, without waiting, if the next attempt would be after the deadline.
    pub async fn wait(&mut self) -> bool {
        let next = Instant::now() + self.delay;
        self.failed_attempts += 1;
        self.delay = MAX_DELAY.min(self.delay * 2);
        if next > self.deadline {
            return false;
        }
        sleep_until(next).await;
        true
    }
}

fn key_value_client(address: SocketAddr) -> Arc<dyn KeyValue> {
    Arc::new(HttpKeyValue::new(address))
}

fn membership_client(address: SocketAddr) -> Arc<dyn MembershipList> {
    Arc::new(HttpMembershipList::new(address))
}
