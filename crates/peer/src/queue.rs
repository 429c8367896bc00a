//! Messages that wait for a router.

use std::collections::VecDeque;
use std::sync::Mutex;
use std::sync::PoisonError;

use policy::PeerMessage;
use tokio::sync::Notify;

/// Messages that wait for one router at most.
const MAX_WAITING: usize = 256;

/// Messages that are sent in one call at most.
const MAX_BATCH: usize = 64;

/// Messages that wait for a router; the oldest make room for new ones.
#[derive(Debug, Default)]
pub struct Queue {
    waiting: Mutex<VecDeque<PeerMessage>>,
    filled: Notify,
}

impl Queue {
    /// Adds a message and returns how many were dropped for it.
    pub fn push(&self, message: PeerMessage) -> u64 {
        let mut waiting = self.lock();
        let full = waiting.len() >= MAX_WAITING;
        if full {
            waiting.pop_front();
        }
        waiting.push_back(message);
        self.filled.notify_one();
        u64::from(full)
    }

    /// Waits for messages and takes some out; a large one comes alone.
    pub async fn pop_batch(&self) -> Vec<PeerMessage> {
        loop {
            let batch = self.take();
            if !batch.is_empty() {
                return batch;
            }
            self.filled.notified().await;
        }
    }

    /// Waits until there are messages.
    pub async fn filled(&self) {
        while self.lock().is_empty() {
            self.filled.notified().await;
        }
    }

    fn take(&self) -> Vec<PeerMessage> {
        let mut waiting = self.lock();
        let large = waiting.iter().position(is_large);
        let count = match large {
            Some(0) => 1,
            Some(at) => at.min(MAX_BATCH),
            None => waiting.len().min(MAX_BATCH),
        };
        waiting.drain(..count).collect()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, VecDeque<PeerMessage>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_large(message: &PeerMessage) -> bool {
    matches!(
        message,
        PeerMessage::Config { .. } | PeerMessage::Snapshot(_)
    )
}
