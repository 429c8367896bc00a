//! Handle for sending messages to the node's actor.

use policy::AttemptId;
use policy::BackendReport;
use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Explanation;
use policy::Member;
use policy::PeerMessage;
use policy::Refusal;
use ractor::ActorRef;
use tokio::sync::mpsc::unbounded_channel;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::oneshot;

use crate::CallCommand;
use crate::NodeMessage;

/// Handle with which the router's tasks send messages to the node's actor.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    actor: ActorRef<NodeMessage>,
}

impl NodeHandle {
    /// Creates a handle for `actor`.
    pub fn new(actor: ActorRef<NodeMessage>) -> NodeHandle {
        NodeHandle { actor }
    }

    /// Submits a caller's request and returns the channel of the node's commands for it.
    pub fn submit(&self, req: CallRequest) -> UnboundedReceiver<CallCommand> {
        let (tx, rx) = unbounded_channel();
        let req = Box::new(req);
        self.send(NodeMessage::Call { req, tx });
        rx
    }

    /// Returns where the node would send a completion, or the refusal that it would give; `None` if
    /// the actor has stopped.
    pub async fn explain(&self, req: CallRequest) -> Option<Result<Explanation, Refusal>> {
        let (tx, rx) = oneshot::channel();
        let req = Box::new(req);
        self.send(NodeMessage::Explain { req, tx });
        rx.await.ok()
    }

    /// Reports the progress or the result of an attempt.
    pub fn report(&self, call: CallId, attempt: AttemptId, report: BackendReport) {
        self.send_event(Event::Backend {
            call,
            attempt,
            report,
        });
    }

    /// Reports that a call's task has ended.
    pub fn call_ended(&self, call: CallId) {
        self.send(NodeMessage::CallEnded(call));
    }

    /// Delivers a message of another router.
    pub fn peer_message(&self, from: Member, message: PeerMessage) {
        self.send(NodeMessage::Peer { from, message });
    }

    /// Sends an event to the node.
    pub fn send_event(&self, event: Event) {
        self.send(NodeMessage::Event(event));
    }

    fn send(&self, message: NodeMessage) {
        // This fails only when the actor has panicked or the router is being killed.
        let _ = self.actor.cast(message);
    }
}
