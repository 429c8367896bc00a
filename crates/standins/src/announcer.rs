//! Keeps a VM's record on the membership list.

use std::sync::Arc;
use std::time::Duration;

use platform::Member;
use platform::MembershipList;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Interval between announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 200;

/// Announces a VM to the membership list at a fixed interval until dropped.
#[derive(Debug)]
pub struct Announcer {
    task: JoinHandle<()>,
}

impl Announcer {
    /// Starts a task that announces the record that `member` returns, once per interval.
    ///
    /// An interval in which `member` returns `None` is skipped.
    pub fn start<F>(list: Arc<dyn MembershipList>, member: F) -> Announcer
    where
        F: Fn() -> Option<Member> + Send + 'static,
    {
        let task = tokio::spawn(async move {
            loop {
                if let Some(member) = member() {
                    // A failed announcement is repeated at the next interval.
                    let _ = list.announce(member).await;
                }
                sleep(Duration::from_millis(ANNOUNCE_MS)).await;
            }
        });
        Announcer { task }
    }
}

impl Drop for Announcer {
    fn drop(&mut self) {
        self.task.abort();
    }
}
