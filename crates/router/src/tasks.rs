//! Groups of tasks that are awaited or aborted together.

use std::future::Future;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// A group of tasks that are awaited or aborted together.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl Tasks {
    /// Spawns a task. It is dropped at its current await point when the group is aborted.
    pub fn spawn<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.child_token();
        self.tracker.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Aborts all tasks and waits until they have been dropped.
    pub async fn abort(&self) {
        self.stop.cancel();
        self.join().await;
    }

    /// Waits until all tasks have ended on their own.
    pub async fn join(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
