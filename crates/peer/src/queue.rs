//! Messages that wait for a router.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use policy::PeerMessage;
use tokio::sync::Notify;

/// Messages that wait for one router at most.
const MAX_QUEUED_MESSAGES: usize = 256;

/// Messages that are sent in one call at most.
const MAX_BATCH_MESSAGES: usize = 64;

/// Messages that wait for a router; the oldest make room for new ones.
#[derive(Debug, Default)]
pub struct Queue {
    messages: Mutex<VecDeque<PeerMessage>>,
    message_added: Notify,
}

impl Queue {
    /// Adds a message and returns how many were dropped for it.
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

    /// Waits for messages and takes some out; a large one comes alone.
    pub async fn pop_batch(&self) -> Vec<PeerMessage> {
        loop {
            let batch = self.try_pop_batch();
            if !batch.is_empty() {
                return batch;
            }
            self.message_added.notified().await;
        }
    }

    /// Waits until there are messages.
    pub async fn wait_nonempty(&self) {
        while self.lock().is_empty() {
            self.message_added.notified().await;
        }
    }

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

fn is_large(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Config { .. } | PeerMessage::Snapshot(_)
    )
}
