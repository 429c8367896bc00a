//! Calls to the platform, repeated at its other addresses until a deadline.

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

/// Time within which the platform must answer, over all attempts of a command.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after the first failed attempt; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Longest pause between two attempts.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// The platform at one or more addresses.
#[derive(Clone)]
pub struct PlatformClient {
    stores: Vec<Arc<dyn KeyValue>>,
    lists: Vec<Arc<dyn MembershipList>>,
    deadline: Instant,
}

impl PlatformClient {
    /// Creates a client of the platform at `addresses`; it connects when first used.
    pub fn connect(addresses: &[SocketAddr]) -> PlatformClient {
        PlatformClient {
            stores: addresses.iter().map(|addr| store(*addr)).collect(),
            lists: addresses.iter().map(|addr| list(*addr)).collect(),
            deadline: Instant::now() + COMMAND_TIMEOUT,
        }
    }

    /// Creates a client of a platform in the same process.
    pub fn local<P>(platform: P) -> PlatformClient
    where
        P: KeyValue + MembershipList + 'static,
    {
        let platform = Arc::new(platform);
        PlatformClient {
            stores: vec![platform.clone()],
            lists: vec![platform],
            deadline: Instant::now() + COMMAND_TIMEOUT,
        }
    }

    /// Makes a call that may be repeated, until it is answered or the deadline is past.
    pub async fn repeat<T, F>(&self, call: F) -> Result<T>
    where
        F: for<'a> Fn(&'a dyn KeyValue) -> BoxFuture<'a, Result<T>>,
    {
        let mut attempts = Attempts::new(self.deadline);
        loop {
            match call(self.store(&attempts)).await {
                Ok(answer) => return Ok(answer),
                Err(e) if !attempts.pause().await => return Err(e),
                Err(_) => {}
            }
        }
    }

    /// Returns the key-value service at the address whose turn it is.
    pub fn store(&self, attempts: &Attempts) -> &dyn KeyValue {
        self.stores[attempts.failed % self.stores.len()].as_ref()
    }

    /// Returns the deadline of the command's calls.
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Returns a client whose calls have another deadline.
    pub fn until(&self, deadline: Instant) -> PlatformClient {
        PlatformClient {
            deadline,
            ..self.clone()
        }
    }

    /// Reads the membership list.
    pub async fn members(&self) -> Result<Members> {
        let mut attempts = Attempts::new(self.deadline);
        loop {
            let list = &self.lists[attempts.failed % self.lists.len()];
            match list.members(0, 0).await {
                Ok(members) => return Ok(members),
                Err(e) if !attempts.pause().await => return Err(e),
                Err(_) => {}
            }
        }
    }
}

/// Attempts of one call.
pub struct Attempts {
    failed: usize,
    pause: Duration,
    deadline: Instant,
}

impl Attempts {
    /// Creates the attempts of a call that is given up at `deadline`.
    pub fn new(deadline: Instant) -> Attempts {
        Attempts {
            failed: 0,
            pause: FIRST_PAUSE,
            deadline,
        }
    }

    /// Counts a failed attempt and pauses; `false` if the next would come past the deadline.
    pub async fn pause(&mut self) -> bool {
        let next = Instant::now() + self.pause;
        self.failed += 1;
        self.pause = LONGEST_PAUSE.min(self.pause * 2);
        if next > self.deadline {
            return false;
        }
        sleep_until(next).await;
        true
    }
}

fn store(address: SocketAddr) -> Arc<dyn KeyValue> {
    Arc::new(HttpKeyValue::new(address))
}

fn list(address: SocketAddr) -> Arc<dyn MembershipList> {
    Arc::new(HttpMembershipList::new(address))
}
