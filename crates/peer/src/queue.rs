//! The queue of messages to one router.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use policy::PeerMessage;
use tokio::sync::Notify;

/// Maximum number of messages queued for one router.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Maximum number of messages sent in one RPC.
const MAX_BATCH_MESSAGES: usize = 64;

/// Messages to one router that have not been sent. A full queue drops its
/// oldest message when a new one is added.
#[derive(Debug, Default)]
pub struct Queue {
    messages: Mutex<VecDeque<PeerMessage>>,
    message_added: Notify,
}

impl Queue {
    /// Adds a message and returns how many older ones were dropped, 0 or 1.
    pub fn push(&self, message: PeerMessage) -> u64 {
        let mut messages = self.lock();
        let full = messages.len() >= MAX_QUEUED_MESSAGES;
        if full {
            messages.pop_front();
        }
        messages.push_back(message);
        self.message_added.notify_one();
        u64::from(full)
    }

    /// Waits until the queue is not empty, then removes and returns the next
    /// batch. A large message is in a batch of its own.
    pub async fn pop_batch(&self) -> Vec<PeerMessage> {
        loop {
            let batch = self.try_pop_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.message_added.notified().await;
        }
    }

    /// Waits until the queue is not empty.
    pub async fn wait_nonempty(&self) {
        while self.lock().is_empty() {
            self.message_added.notified().await;
        }
    }

    /// Removes and returns the next batch, empty if there are no messages.
    fn try_pop_batch(&self) -> Vec<PeerMessage> {
        let mut messages = self.lock();
        let large = messages.iter().position(is_large);
        let count = match large {
            Some(0) => 1,
            Some(at) => at.min(MAX_BATCH_MESSAGES),
            None => messages.len().min(MAX_BATCH_MESSAGES),
        };
        messages.drain(..count).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<PeerMessage>> {
        self.messages.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns whether a message is of a kind that carries a whole configuration.
fn is_large(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Config { .. } | PeerMessage::Snapshot(_)
    )
}
