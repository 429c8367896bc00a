//! Keeps a VM on the membership list.

use std::sync::Arc;
use std::time::Duration;

use platform::Member;
use platform::MembershipList;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Time between two announcements, in milliseconds.
const ANNOUNCE_MS: u64 = 200;

/// Keeps a VM on the membership list until dropped.
#[derive(Debug)]
pub struct Announcer {
    task: JoinHandle<()>,
}

impl Announcer {
    /// Announces what `member` returns again and again, while it returns something.
    pub fn start<F>(list: Arc<dyn MembershipList>, member: F) -> Announcer
    where
        F: Fn() -> Option<Member> + Send + 'static,
    {
        let task = tokio::spawn(async move {
            loop {
                if let Some(member) = member() {
                    // The next announcement makes up for one that failed.
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
