//! Replies of other routers that are awaited.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

use crate::clock::now;

/// Replies to this router's questions, by the number of the question.
pub struct PendingReplies<T> {
    next_id: Cell<u64>,
    waiting: RefCell<HashMap<u64, UnboundedSender<T>>>,
}

impl<T> Default for PendingReplies<T> {
    fn default() -> PendingReplies<T> {
        PendingReplies {
            next_id: Cell::default(),
            waiting: RefCell::default(),
        }
    }
}

impl<T> PendingReplies<T> {
    /// Returns the number of a new question, and what receives the replies to it.
    pub fn begin(&self) -> (u64, UnboundedReceiver<T>) {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let (tx, rx) = mpsc::unbounded_channel();
        let mut waiting = self.waiting.borrow_mut();
        waiting.retain(|_, tx| !tx.is_closed());
        waiting.insert(id, tx);
        (id, rx)
    }

    /// Passes a reply on to the task that asked; dropped if that no longer waits.
    pub fn settle(&self, id: u64, reply: T) {
        if let Some(tx) = self.waiting.borrow().get(&id) {
            // Fails if the question was given up just now.
            let _ = tx.send(reply);
        }
    }
}

/// Waits for the first reply to a question that was just asked; none if it isn't here within
/// `limit`. That counts the time for which this process is paused: what a reply permits has expired
/// by then, although it is found before the timer is.
pub async fn reply_within<T>(rx: &mut UnboundedReceiver<T>, limit: Duration) -> Option<T> {
    let asked_at = now();
    let reply = timeout(limit, rx.recv()).await.ok().flatten();
    let took = Duration::from_millis(now().millis_since(asked_at));
    reply.filter(|_| took <= limit)
}
