//! The actor that owns the node.

use std::collections::HashMap;
use std::time::Instant;

use policy::Action;
use policy::BackendReport;
use policy::CallId;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::Member;
use policy::Node;
use policy::PeerMessage;
use policy::ServerKey;
use policy::Time;
use ractor::Actor;
use ractor::ActorProcessingErr;
use ractor::ActorRef;
use tokio::sync::mpsc::UnboundedSender;
use tokio::sync::watch;

use crate::clock;
use crate::ticker;
use crate::CallCommand;
use crate::Hands;
use crate::NodeHandle;
use crate::NodeMessage;
use crate::WatchedEngine;

/// The actor that owns the node: hands events in and carries actions out.
#[derive(Debug)]
pub struct NodeActor;

/// What the actor starts with.
pub struct NodeArguments {
    /// The node.
    pub node: Node,
    /// What carries actions out.
    pub hands: Hands,
}

/// State of the actor.
pub struct NodeState {
    node: Node,
    hands: Hands,
    calls: HashMap<CallId, UnboundedSender<CallCommand>>,
    members: Vec<Member>,
    actions: Vec<Action>,
    wake: watch::Sender<Option<Time>>,
}

impl Actor for NodeActor {
    type Msg = NodeMessage;
    type State = NodeState;
    type Arguments = NodeArguments;

    async fn pre_start(
        &self,
        myself: ActorRef<NodeMessage>,
        args: NodeArguments,
    ) -> Result<NodeState, ActorProcessingErr> {
        let (wake, rx) = watch::channel(None);
        let handle = NodeHandle::new(myself);
        args.hands.tasks.spawn(ticker::run(rx, handle));
        Ok(NodeState {
            node: args.node,
            hands: args.hands,
            calls: HashMap::new(),
            members: Vec::new(),
            actions: Vec::new(),
            wake,
        })
    }

    async fn handle(
        &self,
        myself: ActorRef<NodeMessage>,
        message: NodeMessage,
        state: &mut NodeState,
    ) -> Result<(), ActorProcessingErr> {
        let handle = NodeHandle::new(myself);
        match message {
            NodeMessage::Call { req, tx } => {
                state.calls.insert(req.call, tx);
                state.decide(Event::Call(req), &handle);
            }
            NodeMessage::Explain { req, tx } => {
                // Whoever asked may have gone away.
                let _ = tx.send(state.node.explain(clock::now(), &req));
            }
            NodeMessage::Ended(call) => {
                state.calls.remove(&call);
            }
            NodeMessage::Peer { from, message } => state.on_peer(from, message, &handle),
            NodeMessage::Event(event) => state.decide(event, &handle),
        }
        Ok(())
    }
}

impl NodeState {
    /// Takes in a message of a router. The membership list lags, so the router's
    /// own word on its address goes before an older entry, or none.
    fn on_peer(&mut self, from: Member, message: PeerMessage, handle: &NodeHandle) {
        let name = from.name.clone();
        let listed = self
            .members
            .iter()
            .any(|member| member.name == name && member.incarnation >= from.incarnation);
        if !listed {
            let mut members = self.members.clone();
            members.retain(|member| member.name != name);
            members.push(from);
            self.decide(Event::Members(members), handle);
        }
        let event = Event::Peer {
            from: name,
            message,
        };
        self.decide(event, handle);
    }

    fn decide(&mut self, event: Event, handle: &NodeHandle) {
        if let Event::Members(members) = &event {
            self.hands.on_members(members);
            self.members.clone_from(members);
        }
        let is_call = matches!(event, Event::Call(_));
        let start = Instant::now();
        self.node.handle(clock::now(), event, &mut self.actions);
        if is_call {
            self.hands
                .metrics
                .on_decision(start.elapsed().as_secs_f64());
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.carry_out(action, handle);
        }
        self.actions = actions;
        self.wake.send_replace(self.node.next_deadline());
    }

    fn carry_out(&mut self, action: Action, handle: &NodeHandle) {
        match action {
            Action::Dispatch(dispatch) => {
                self.hands.on_dispatch(&dispatch);
                self.dispatch(dispatch, handle);
            }
            Action::Cancel(at) => {
                self.command(at.call, CallCommand::Cancel(at));
            }
            Action::Refuse { call, refusal } => {
                self.hands.on_refusal(call, &refusal);
                self.command(call, CallCommand::Refuse(refusal));
            }
            Action::Respond {
                call,
                answer,
                replayed,
            } => {
                self.command(call, CallCommand::Answer { answer, replayed });
            }
            Action::Retried { call, failure } => self.hands.on_retry(call, failure),
            Action::LateReport { call, attempt } => self.hands.on_late_answer(call, attempt),
            Action::Store { op, request } => self.hands.store(op, request, handle),
            Action::SendPeer {
                to,
                address,
                message,
            } => self.hands.send_peer(&to, address, message),
            Action::ConfigApplied { version } => {
                let config = self.node.config().cloned();
                self.hands.on_in_force(version, config);
            }
            Action::Watch(servers) => {
                let engines = servers.iter().map(|key| self.watched(*key)).collect();
                self.hands.watch(engines, handle);
            }
            Action::Order(order) => self.hands.order(order, handle),
            Action::Stopped => self.hands.on_stopped(),
        }
    }

    fn watched(&self, key: ServerKey) -> WatchedEngine {
        let (name, address) = self.node.server_address(key);
        WatchedEngine {
            name: name.to_owned(),
            address,
        }
    }

    fn dispatch(&self, dispatch: Dispatch, handle: &NodeHandle) {
        let at = dispatch.at;
        if !self.command(at.call, CallCommand::Dispatch(dispatch)) {
            // The task has ended, so nothing was sent.
            let report = BackendReport::Failed {
                failure: Failure::NotConnected,
                delivered: 0,
            };
            handle.report(at.call, at.attempt, report);
        }
    }

    /// Tells a call's task something; `false` if the task has ended.
    fn command(&self, call: CallId, command: CallCommand) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|tx| tx.send(command).is_ok())
    }
}
