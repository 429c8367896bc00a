//! In-memory platform: key-value store and membership list, with fault injection.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
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
use tokio::sync::watch;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::Instant;

use crate::platform_faults::PlatformFaults;
use crate::CallKind;
use crate::KeyValueStore;
use crate::MemberStore;

/// Time after which a member is removed unless it is announced again, in milliseconds.
const MEMBER_TTL_MS: u64 = 30_000;

/// In-memory platform with faults that tests switch on and off. Clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    state: Mutex<State>,
    /// Counts changes of the state, to wake waiting calls.
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct State {
    store: KeyValueStore,
    members: MemberStore,
    faults: PlatformFaults,
}

impl Default for Platform {
    fn default() -> Platform {
        Platform::new()
    }
}

impl Platform {
    /// Creates an empty platform without faults.
    pub fn new() -> Platform {
        let shared = Shared {
            started: Instant::now(),
            state: Mutex::default(),
            changed: watch::Sender::new(0),
        };
        Platform {
            shared: Arc::new(shared),
        }
    }

    /// Switches an outage on or off; during an outage all calls fail, also waiting ones.
    pub fn set_outage(&self, outage: bool) {
        self.state().faults.outage = outage;
        self.notify();
    }

    /// Sets the delay of each call, in milliseconds.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state().faults.delay_ms = delay_ms;
    }

    /// Drops the responses to the next `writes` writes of keys that start with `prefix`; the writes
    /// themselves take effect.
    ///
    /// Lease grants, renewals and announcements count as writes of the empty key.
    pub fn lose_responses(&self, prefix: &str, writes: u32) {
        let mut state = self.state();
        state.faults.responses_to_lose = writes;
        prefix.clone_into(&mut state.faults.lost_response_prefix);
    }

    /// Returns the number of responses still to be dropped.
    pub fn responses_to_lose(&self) -> u32 {
        self.state().faults.responses_to_lose
    }

    /// Sets the age of the membership list that readers get, in milliseconds.
    pub fn set_membership_lag_ms(&self, lag_ms: u64) {
        self.state().faults.membership_lag_ms = lag_ms;
        self.notify();
    }

    /// Removes a member from the list, as the platform does when a VM has failed.
    pub fn remove_member(&self, name: &str) {
        let now = self.now();
        self.state().members.remove(now, name);
        self.notify();
    }

    /// Returns the number of calls of a kind, including failed ones.
    pub fn calls(&self, kind: CallKind) -> u64 {
        let calls = &self.state().faults.calls;
        calls.get(&kind).copied().unwrap_or(0)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the time since the platform was created, in milliseconds.
    fn now(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|changes| *changes += 1);
    }

    /// Counts a call, applies the delay and fails during an outage.
    async fn begin_call(&self, kind: CallKind) -> Result<()> {
        self.state().faults.count(kind);
        self.check_outage(kind)?;
        let delay_ms = self.state().faults.delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        self.check_outage(kind)
    }

    /// Returns an error during an outage.
    fn check_outage(&self, kind: CallKind) -> Result<()> {
        if !self.state().faults.outage {
            return Ok(());
        }
        Err(Error::Unreachable {
            step: kind.name(),
            peer: PEER_NAME.to_owned(),
            reason: "outage".to_owned(),
        })
    }

    async fn read<T, F>(&self, kind: CallKind, read: F) -> Result<T>
    where
        F: FnOnce(&mut State, u64) -> T,
    {
        self.begin_call(kind).await?;
        let now = self.now();
        Ok(read(&mut self.state(), now))
    }

    async fn write<T, F>(&self, kind: CallKind, key: &str, write: F) -> Result<T>
    where
        F: FnOnce(&mut State, u64) -> T,
    {
        self.begin_call(kind).await?;
        let now = self.now();
        let (response, lost) = {
            let mut state = self.state();
            let response = write(&mut state, now);
            (response, state.faults.loses_response(key))
        };
        self.notify();
        if !lost {
            return Ok(response);
        }
        Err(Error::ResponseLost {
            step: kind.name(),
            peer: PEER_NAME.to_owned(),
            reason: "response dropped by fault injection".to_owned(),
        })
    }

    /// Calls `poll` now and at each change, until it is satisfied or `wait_ms` have passed.
    async fn long_poll<T, F>(&self, kind: CallKind, wait_ms: u64, mut poll: F) -> Result<T>
    where
        F: FnMut(&mut State, u64) -> PollResult<T>,
    {
        let mut changes = self.shared.changed.subscribe();
        self.begin_call(kind).await?;
        let deadline = self.now() + wait_ms;
        loop {
            changes.borrow_and_update();
            self.check_outage(kind)?;
            let now = self.now();
            let polled = poll(&mut self.state(), now);
            if polled.satisfied || now >= deadline {
                return Ok(polled.value);
            }
            let wake_at = polled.next_at.map_or(deadline, |at| at.min(deadline));
            tokio::select! {
                _ = changes.changed() => {}
                () = sleep_until(self.instant(wake_at)) => {}
            }
        }
    }

    fn instant(&self, at_ms: u64) -> Instant {
        self.shared.started + Duration::from_millis(at_ms)
    }
}

/// Name of the platform in errors.
const PEER_NAME: &str = "in-memory platform";

/// Key under which writes without a key are matched when responses are dropped.
const NO_KEY: &str = "";

/// Result of one poll.
struct PollResult<T> {
    /// Current value, returned also after a timeout.
    value: T,
    /// Whether the call can return now.
    satisfied: bool,
    /// Next time at which the value may change by itself, in milliseconds.
    next_at: Option<u64>,
}

impl KeyValue for Platform {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        let key = key.to_owned();
        self.read(CallKind::Get, move |state, now| state.store.get(now, &key))
            .boxed()
    }

    fn list(&self, prefix: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        let prefix = prefix.to_owned();
        self.read(CallKind::List, move |state, now| {
            state.store.list(now, &prefix)
        })
        .boxed()
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        lease: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>> {
        let key = key.to_owned();
        async move {
            self.write(CallKind::CompareAndSwap, &key, |state, now| {
                state
                    .store
                    .compare_and_swap(now, &key, expected, value, lease)
            })
            .await
        }
        .boxed()
    }

    fn delete(&self, key: &str, expected: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        let key = key.to_owned();
        async move {
            self.write(CallKind::Delete, &key, |state, now| {
                state.store.delete(now, &key, expected)
            })
            .await
        }
        .boxed()
    }

    fn grant(&self, ttl_ms: u64) -> BoxFuture<'_, Result<LeaseId>> {
        self.write(CallKind::Grant, NO_KEY, move |state, now| {
            state.store.grant(now, ttl_ms)
        })
        .boxed()
    }

    fn renew(&self, lease: LeaseId) -> BoxFuture<'_, Result<bool>> {
        self.write(CallKind::Renew, NO_KEY, move |state, now| {
            state.store.renew(now, lease)
        })
        .boxed()
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        let key = key.to_owned();
        self.long_poll(CallKind::Watch, wait_ms, move |state, now| {
            let value = state.store.get(now, &key);
            let version = value.as_ref().map_or(0, |versioned| versioned.version);
            let key = key.clone();
            PollResult {
                value: Change { key, value },
                satisfied: version != seen,
                next_at: state.store.next_expiry(),
            }
        })
        .boxed()
    }
}

impl MembershipList for Platform {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        self.long_poll(CallKind::Members, wait_ms, move |state, now| {
            let lag_ms = state.faults.membership_lag_ms;
            let members = state.members.members(now, lag_ms);
            PollResult {
                satisfied: members.version != seen,
                value: members,
                next_at: state.members.next_change(now, lag_ms),
            }
        })
        .boxed()
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        self.write(CallKind::Announce, NO_KEY, move |state, now| {
            state.members.announce(now, member, now + MEMBER_TTL_MS);
        })
        .boxed()
    }
}
