//! Outgoing connections to all other routers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;

use policy::PeerMessage;
use tokio::task::AbortHandle;
use tokio::task::JoinSet;

use crate::link::Link;
use crate::queue::Queue;
use crate::Introduction;
use crate::Observer;
use crate::Secret;

/// Outgoing connections to other routers, opened when the first message is sent.
pub struct Links {
    introduction: Arc<Introduction>,
    secret: Secret,
    observer: Arc<dyn Observer>,
    open: Mutex<OpenLinks>,
}

/// Running links and the tasks that serve them.
#[derive(Default)]
struct OpenLinks {
    by_vm: HashMap<String, OpenLink>,
    tasks: JoinSet<()>,
}

/// A running link to one router.
struct OpenLink {
    address: SocketAddr,
    queue: Arc<Queue>,
    task: AbortHandle,
}

impl Links {
    /// Creates a set without connections, for the router that `introduction` describes.
    pub fn new(introduction: Introduction, secret: Secret, observer: Arc<dyn Observer>) -> Links {
        Links {
            introduction: Arc::new(introduction),
            secret,
            observer,
            open: Mutex::default(),
        }
    }

    /// Queues a message for the router on VM `to` and returns at once.
    ///
    /// A full queue drops its oldest message, and a failed RPC the messages of its
    /// batch; both are counted. Messages that wait in a queue whose link is closed
    /// are dropped without being counted.
    pub fn send(&self, to: &str, address: SocketAddr, message: PeerMessage) {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        let dropped = self.queue_for(&mut open, to, address).push(message);
        self.observer.on_dropped(dropped);
    }

    /// Closes the connections to the VMs for which `keep` returns false, and
    /// drops the messages queued for them.
    pub fn retain<F>(&self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        let mut open = self.open.lock().unwrap_or_else(PoisonError::into_inner);
        open.by_vm.retain(|vm, link| {
            let kept = keep(vm);
            if !kept {
                link.task.abort();
            }
            kept
        });
    }

    /// Returns the queue of the router on VM `to`. Starts a link if there is
    /// none, or if the address of the router has changed.
    fn queue_for<'a>(&self, open: &'a mut OpenLinks, to: &str, address: SocketAddr) -> &'a Queue {
        let address_changed = open
            .by_vm
            .get(to)
            .is_some_and(|link| link.address != address);
        if address_changed {
            if let Some(link) = open.by_vm.remove(to) {
                link.task.abort();
            }
        }
        if !open.by_vm.contains_key(to) {
            let link = self.spawn_link(&mut open.tasks, address);
            open.by_vm.insert(to.to_owned(), link);
        }
        &open.by_vm[to].queue
    }

    fn spawn_link(&self, tasks: &mut JoinSet<()>, address: SocketAddr) -> OpenLink {
        // Removes finished tasks from the set, which otherwise keeps them forever.
        while tasks.try_join_next().is_some() {}
        let queue = Arc::new(Queue::default());
        let link = Link {
            address,
            queue: Arc::clone(&queue),
            secret: self.secret.clone(),
            introduction: Arc::clone(&self.introduction),
            observer: Arc::clone(&self.observer),
        };
        OpenLink {
            address,
            queue,
            task: tasks.spawn(link.run()),
        }
    }
}
