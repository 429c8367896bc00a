//! Tasks of one router, which end together.

use std::future::Future;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Tasks of one router, which end together.
#[derive(Clone, Debug, Default)]
pub struct Tasks {
    tracker: TaskTracker,
    stop: CancellationToken,
}

impl Tasks {
    /// Starts a task that is dropped wherever it stands once the tasks are cut.
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

    /// Cuts all tasks and waits until they are gone.
    pub async fn abort(&self) {
        self.stop.cancel();
        self.join().await;
    }

    /// Waits until all tasks have ended by themselves.
    pub async fn join(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}
