//! The platform in memory.

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Mutex;
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
use tokio::time::timeout;

/// The platform in memory; it can be down.
pub struct FakePlatform {
    keys: Mutex<BTreeMap<String, Versioned>>,
    changed: watch::Sender<u64>,
    members: watch::Sender<Members>,
    down: AtomicBool,
    lags: AtomicBool,
}

impl FakePlatform {
    pub fn new() -> FakePlatform {
        FakePlatform {
            keys: Mutex::default(),
            changed: watch::channel(0).0,
            members: watch::channel(Members::default()).0,
            down: AtomicBool::new(false),
            lags: AtomicBool::new(false),
        }
    }

    pub fn set_down(&self, down: bool) {
        self.down.store(down, Ordering::SeqCst);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Makes the membership list stay as it is.
    pub fn let_members_lag(&self) {
        self.lags.store(true, Ordering::SeqCst);
    }

    pub fn put(&self, key: &str, value: Vec<u8>) {
        let version = self.held(key).map_or(0, |held| held.version) + 1;
        let value = Bytes::from(value);
        let mut keys = self.keys.lock().unwrap();
        keys.insert(key.to_owned(), Versioned { version, value });
        drop(keys);
        self.changed.send_modify(|n| *n += 1);
    }

    /// Loses a key.
    pub fn forget(&self, key: &str) {
        self.keys.lock().unwrap().remove(key);
    }

    pub fn held(&self, key: &str) -> Option<Versioned> {
        self.keys.lock().unwrap().get(key).cloned()
    }

    /// Waits until a key holds what `wanted` accepts.
    pub async fn holds<F>(&self, key: &str, wanted: F)
    where
        F: Fn(Option<Versioned>) -> bool,
    {
        let mut changed = self.changed.subscribe();
        changed.wait_for(|_| wanted(self.held(key))).await.unwrap();
    }

    /// Waits until this many VMs are on the list.
    pub async fn has_members(&self, count: usize) {
        let mut members = self.members.subscribe();
        members
            .wait_for(|list| list.members.len() >= count)
            .await
            .unwrap();
    }

    fn check(&self) -> Result<()> {
        if self.down.load(Ordering::SeqCst) {
            return Err(Error::Unreachable {
                step: "call",
                peer: "platform".to_owned(),
                reason: "down".to_owned(),
            });
        }
        Ok(())
    }
}

impl KeyValue for FakePlatform {
    fn get(&self, key: &str) -> BoxFuture<'_, Result<Option<Versioned>>> {
        let held = self.check().map(|()| self.held(key));
        async { held }.boxed()
    }

    fn list(&self, _: &str) -> BoxFuture<'_, Result<Vec<(String, Versioned)>>> {
        let held = self.check().map(|()| Vec::new());
        async { held }.boxed()
    }

    fn compare_and_swap(
        &self,
        key: &str,
        expected: Version,
        value: Bytes,
        _: Option<LeaseId>,
    ) -> BoxFuture<'_, Result<SwapOutcome>> {
        let swap = self.check().map(|()| {
            let held = self.held(key);
            if held.as_ref().map_or(0, |held| held.version) != expected {
                return SwapOutcome::Conflict(held);
            }
            self.put(key, value.into());
            SwapOutcome::Written(expected + 1)
        });
        async { swap }.boxed()
    }

    fn delete(&self, key: &str, _: Version) -> BoxFuture<'_, Result<SwapOutcome>> {
        let deleted = self.check().map(|()| {
            self.keys.lock().unwrap().remove(key);
            self.changed.send_modify(|n| *n += 1);
            SwapOutcome::Written(0)
        });
        async { deleted }.boxed()
    }

    fn grant(&self, _: u64) -> BoxFuture<'_, Result<LeaseId>> {
        let lease = self.check().map(|()| LeaseId(1));
        async { lease }.boxed()
    }

    fn renew(&self, _: LeaseId) -> BoxFuture<'_, Result<bool>> {
        let renewed = self.check().map(|()| true);
        async { renewed }.boxed()
    }

    fn watch(&self, key: &str, seen: Version, wait_ms: u64) -> BoxFuture<'_, Result<Change>> {
        let key = key.to_owned();
        async move {
            let version = || self.held(&key).map_or(0, |held| held.version);
            let mut changed = self.changed.subscribe();
            let news = changed.wait_for(|_| version() != seen || self.check().is_err());
            let _ = timeout(Duration::from_millis(wait_ms), news).await;
            self.check()?;
            let value = self.held(&key);
            Ok(Change { key, value })
        }
        .boxed()
    }
}

impl MembershipList for FakePlatform {
    fn members(&self, seen: u64, wait_ms: u64) -> BoxFuture<'_, Result<Members>> {
        async move {
            self.check()?;
            let mut members = self.members.subscribe();
            let news = members.wait_for(|list| list.version != seen);
            let _ = timeout(Duration::from_millis(wait_ms), news).await;
            self.check()?;
            let members = self.members.borrow().clone();
            Ok(members)
        }
        .boxed()
    }

    fn announce(&self, member: Member) -> BoxFuture<'_, Result<()>> {
        let lags = self.lags.load(Ordering::SeqCst);
        let announced = self.check().map(|()| {
            if lags {
                return;
            }
            self.members.send_modify(|list| {
                list.version += 1;
                list.members.retain(|m| m.name != member.name);
                list.members.push(member);
            });
        });
        async { announced }.boxed()
    }
}
