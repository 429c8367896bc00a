//! Request to close a connection.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::close_reason::CloseReason;

/// Whether a connection is to be closed, and why. The accounting of the port makes the request, and the task
/// that serves the connection carries it out.
#[derive(Debug, Default)]
pub struct CloseRequest {
    reason: Cell<Option<CloseReason>>,
    made: Notify,
}

impl CloseRequest {
    /// Requests that the connection is closed; the first reason counts.
    pub fn make(&self, reason: CloseReason) {
        if self.reason.get().is_none() {
            self.reason.set(Some(reason));
        }
        self.made.notify_one();
    }

    /// Returns whether it was made.
    pub fn is_made(&self) -> bool {
        self.reason.get().is_some()
    }

    /// Completes when it is made.
    pub async fn made(&self) -> CloseReason {
        loop {
            if let Some(reason) = self.reason.get() {
                return reason;
            }
            self.made.notified().await;
        }
    }
}
