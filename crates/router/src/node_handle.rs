//! The way to the node.

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

/// The way to the node, for all tasks of a router.
#[derive(Clone, Debug)]
pub struct NodeHandle {
    actor: ActorRef<NodeMessage>,
}

impl NodeHandle {
    /// Creates the way to an actor.
    pub fn new(actor: ActorRef<NodeMessage>) -> NodeHandle {
        NodeHandle { actor }
    }

    /// Hands a caller's request in and returns what the node says of it.
    pub fn submit(&self, req: CallRequest) -> UnboundedReceiver<CallCommand> {
        let (tx, rx) = unbounded_channel();
        let req = Box::new(req);
        self.send(NodeMessage::Call { req, tx });
        rx
    }

    /// Asks where a completion would go; none if the node is gone.
    pub async fn explain(&self, req: CallRequest) -> Option<Result<Explanation, Refusal>> {
        let (tx, rx) = oneshot::channel();
        let req = Box::new(req);
        self.send(NodeMessage::Explain { req, tx });
        rx.await.ok()
    }

    /// Tells what became of an attempt.
    pub fn report(&self, call: CallId, attempt: AttemptId, report: BackendReport) {
        self.send_event(Event::Backend {
            call,
            attempt,
            report,
        });
    }

    /// Tells that a call's task has ended.
    pub fn call_ended(&self, call: CallId) {
        self.send(NodeMessage::CallEnded(call));
    }

    /// Hands in a message of another router.
    pub fn peer_message(&self, from: Member, message: PeerMessage) {
        self.send(NodeMessage::Peer { from, message });
    }

    /// Tells something that happened.
    pub fn send_event(&self, event: Event) {
        self.send(NodeMessage::Event(event));
    }

    fn send(&self, message: NodeMessage) {
        // The actor is gone only while the router is being cut.
        let _ = self.actor.cast(message);
    }
}
