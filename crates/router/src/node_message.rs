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
    /// A caller's request, with the way back to its task.
    Call {
        /// Request.
        req: Box<CallRequest>,
        /// Way back to the call's task.
        tx: UnboundedSender<CallCommand>,
    },
    /// A question where a completion would go.
    Explain {
        /// Request.
        req: Box<CallRequest>,
        /// Way back.
        tx: oneshot::Sender<Result<Explanation, Refusal>>,
    },
    /// A call's task has ended.
    CallEnded(CallId),
    /// A message of another router.
    Peer {
        /// The router, as it introduced itself.
        from: Member,
        /// Message.
        message: PeerMessage,
    },
    /// Anything else that happened.
    Event(Event),
}
