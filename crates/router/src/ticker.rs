//! Timer of the node.

use policy::Event;
use policy::Time;
use tokio::sync::watch;
use tokio::time::sleep_until;

use crate::clock;
use crate::NodeHandle;

/// Sends `Event::Tick` to the node when the latest deadline received from `rx` has passed, once
/// for each deadline received.
pub async fn run(mut rx: watch::Receiver<Option<Time>>, node: NodeHandle) {
    loop {
        let deadline = *rx.borrow_and_update();
        tokio::select! {
            changed = rx.changed() => if changed.is_err() {
                return;
            },
            () = wait(deadline) => {
                node.send_event(Event::Tick);
                if rx.changed().await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn wait(deadline: Option<Time>) {
    match deadline {
        Some(at) => {
            while clock::now() < at {
                sleep_until(clock::instant(at)).await;
            }
        }
        None => std::future::pending().await,
    }
}
