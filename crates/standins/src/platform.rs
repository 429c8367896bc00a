//! The platform in memory.

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

/// Time after which a member goes away unless announced again, in milliseconds.
const MEMBER_TTL_MS: u64 = 30_000;

/// The platform in memory, with faults that tests switch; clones share its state.
#[derive(Clone, Debug)]
pub struct Platform {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    started: Instant,
    state: Mutex<State>,
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
    /// Creates an empty platform that works.
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

    /// Switches an outage on or off: no call is served, waiting ones fail.
    pub fn set_outage(&self, outage: bool) {
        self.state().faults.outage = outage;
        self.notify();
    }

    /// Sets the delay of each call.
    pub fn set_delay_ms(&self, delay_ms: u64) {
        self.state().faults.delay_ms = delay_ms;
    }

    /// Lets the next `writes` writes of keys that start with `prefix` take effect
    /// and loses their answers. Leases and members count as keys with empty names.
    pub fn lose_responses(&self, prefix: &str, writes: u32) {
        let mut state = self.state();
        state.faults.lost_answers = writes;
        prefix.clone_into(&mut state.faults.lost_prefix);
    }

    /// Returns the number of answers that are yet to be lost.
    pub fn responses_to_lose(&self) -> u32 {
        self.state().faults.lost_answers
    }

    /// Sets the time by which the membership list lags.
    pub fn set_membership_lag_ms(&self, lag_ms: u64) {
        self.state().faults.membership_lag_ms = lag_ms;
        self.notify();
    }

    /// Takes a member off the list, as the platform does with a dead VM.
    pub fn remove_member(&self, name: &str) {
        let now = self.now();
        self.state().members.remove(now, name);
        self.notify();
    }

    /// Returns the number of calls of a kind, failed ones included.
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

    fn now(&self) -> u64 {
        u64::try_from(self.shared.started.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn notify(&self) {
        self.shared.changed.send_modify(|changes| *changes += 1);
    }

    async fn enter(&self, kind: CallKind) -> Result<()> {
        self.state().faults.count(kind);
        self.check(kind)?;
        let delay_ms = self.state().faults.delay_ms;
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        self.check(kind)
    }

    fn check(&self, kind: CallKind) -> Result<()> {
        if !self.state().faults.outage {
            return Ok(());
        }
        Err(Error::Unreachable {
            step: kind.name(),
            peer: PEER.to_owned(),
            reason: "outage".to_owned(),
        })
    }

    async fn read<T, F>(&self, kind: CallKind, read: F) -> Result<T>
    where
        F: FnOnce(&mut State, u64) -> T,
    {
        self.enter(kind).await?;
        let now = self.now();
        Ok(read(&mut self.state(), now))
    }

    async fn write<T, F>(&self, kind: CallKind, key: &str, write: F) -> Result<T>
    where
        F: FnOnce(&mut State, u64) -> T,
    {
        self.enter(kind).await?;
        let now = self.now();
        let (answer, lost) = {
            let mut state = self.state();
            let answer = write(&mut state, now);
            (answer, state.faults.loses_answer(key))
        };
        self.notify();
        if !lost {
            return Ok(answer);
        }
        Err(Error::ResponseLost {
            step: kind.name(),
            peer: PEER.to_owned(),
            reason: "lost on purpose".to_owned(),
        })
    }

    /// Calls `poll` at each change until it is satisfied or `wait_ms` have gone by.
    async fn wait<T, F>(&self, kind: CallKind, wait_ms: u64, mut poll: F) -> Result<T>
    where
        F: FnMut(&mut State, u64) -> Poll<T>,
    {
        let mut changes = self.shared.changed.subscribe();
        self.enter(kind).await?;
        let deadline = self.now() + wait_ms;
        loop {
            changes.borrow_and_update();
            self.check(kind)?;
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
const PEER: &str = "platform in memory";

/// Name under which writes without a key lose their answers.
const NO_KEY: &str = "";

struct Poll<T> {
    value: T,
    satisfied: bool,
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
        self.wait(CallKind::Watch, wait_ms, move |state, now| {
            let value = state.store.get(now, &key);
            let version = value.as_ref().map_or(0, |held| held.version);
            let key = key.clone();
            Poll {
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
        self.wait(CallKind::Members, wait_ms, move |state, now| {
            let lag_ms = state.faults.membership_lag_ms;
            let members = state.members.members(now, lag_ms);
            Poll {
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
