//! Messages to the actor that owns the node.

use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Explanation;
use policy::Member;
use policy::PeerMessage;
use policy::Refusal;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::oneshot;

use crate::CallCommand;

/// A message to the actor that owns the node.
#[derive(Debug)]
pub enum NodeMessage {
    /// A caller's request.
    Call {
        /// The request.
        req: Box<CallRequest>,
        /// Sends the node's commands to the call's task.
        tx: UnboundedSender<CallCommand>,
    },
    /// A request to explain where a completion would go.
    Explain {
        /// The request whose placement is explained.
        req: Box<CallRequest>,
        /// Returns the explanation or the refusal to the requester.
        tx: oneshot::Sender<Result<Explanation, Refusal>>,
    },
    /// A call's task has ended.
    CallEnded(CallId),
    /// A message of another router.
    Peer {
        /// The sender, as described by its introduction.
        from: Member,
        /// The message.
        message: PeerMessage,
    },
    /// Any other event for the node.
    Event(Event),
}
