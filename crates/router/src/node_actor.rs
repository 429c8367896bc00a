//! The actor that owns the node, the state machine that decides on calls.

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
use crate::ActionExecutor;
use crate::CallCommand;
use crate::NodeHandle;
use crate::NodeMessage;
use crate::WatchedEngine;

/// The actor that owns the node: passes it events one at a time and executes the actions that it
/// returns.
#[derive(Debug)]
pub struct NodeActor;

/// Arguments with which the actor is spawned.
pub struct NodeArguments {
    /// The state machine.
    pub node: Node,
    /// Executes the node's actions.
    pub executor: ActionExecutor,
}

/// State of the actor: the node, and what is needed to execute its actions.
pub struct NodeState {
    node: Node,
    executor: ActionExecutor,
    /// Channels to the tasks of the calls in flight.
    calls: HashMap<CallId, UnboundedSender<CallCommand>>,
    /// Membership list, updated by the introductions of peers.
    members: Vec<Member>,
    /// Buffer of the node's actions, reused between events.
    actions: Vec<Action>,
    /// Publishes the node's next deadline to the ticker.
    deadline_tx: watch::Sender<Option<Time>>,
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
        let (deadline_tx, rx) = watch::channel(None);
        let handle = NodeHandle::new(myself);
        args.executor.tasks.spawn(ticker::run(rx, handle));
        Ok(NodeState {
            node: args.node,
            executor: args.executor,
            calls: HashMap::new(),
            members: Vec::new(),
            actions: Vec::new(),
            deadline_tx,
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
                state.handle_event(Event::Call(req), &handle);
            }
            NodeMessage::Explain { req, tx } => {
                // The caller may have disconnected.
                let _ = tx.send(state.node.explain(clock::now(), &req));
            }
            NodeMessage::CallEnded(call) => {
                state.calls.remove(&call);
            }
            NodeMessage::Peer { from, message } => state.on_peer_message(from, message, &handle),
            NodeMessage::Event(event) => state.handle_event(event, &handle),
        }
        Ok(())
    }
}

impl NodeState {
    /// Handles a message of another router. The membership list lags behind, so the sender's own
    /// introduction replaces its member entry if that is older or missing.
    fn on_peer_message(&mut self, from: Member, message: PeerMessage, handle: &NodeHandle) {
        let name = from.name.clone();
        let listed = self
            .members
            .iter()
            .any(|member| member.name == name && member.incarnation >= from.incarnation);
        if !listed {
            let mut members = self.members.clone();
            members.retain(|member| member.name != name);
            members.push(from);
            self.handle_event(Event::Members(members), handle);
        }
        let event = Event::Peer {
            from: name,
            message,
        };
        self.handle_event(event, handle);
    }

    fn handle_event(&mut self, event: Event, handle: &NodeHandle) {
        if let Event::Members(members) = &event {
            self.executor.on_members(members);
            self.members.clone_from(members);
        }
        let is_call = matches!(event, Event::Call(_));
        let start = Instant::now();
        self.node.handle(clock::now(), event, &mut self.actions);
        if is_call {
            self.executor
                .metrics
                .on_decision(start.elapsed().as_secs_f64());
        }
        let mut actions = std::mem::take(&mut self.actions);
        for action in actions.drain(..) {
            self.execute(action, handle);
        }
        self.actions = actions;
        self.deadline_tx.send_replace(self.node.next_deadline());
    }

    fn execute(&mut self, action: Action, handle: &NodeHandle) {
        match action {
            Action::Dispatch(dispatch) => {
                self.executor.on_dispatch(&dispatch);
                self.dispatch(dispatch, handle);
            }
            Action::Cancel(at) => {
                self.send_command(at.call, CallCommand::Cancel(at));
            }
            Action::Refuse { call, refusal } => {
                self.executor.on_refusal(call, &refusal);
                self.send_command(call, CallCommand::Refuse(refusal));
            }
            Action::Respond {
                call,
                response,
                replayed,
            } => {
                self.send_command(call, CallCommand::Respond { response, replayed });
            }
            Action::Retried { call, failure } => self.executor.on_retry(call, failure),
            Action::LateReport { call, attempt } => self.executor.on_late_report(call, attempt),
            Action::Store { op, request } => self.executor.store(op, request, handle),
            Action::SendPeer {
                to,
                address,
                message,
            } => self.executor.send_peer(&to, address, message),
            Action::ConfigApplied { version } => {
                let config = self.node.config().cloned();
                self.executor.on_config_in_force(version, config);
            }
            Action::Watch(servers) => {
                let engines = servers
                    .iter()
                    .map(|key| self.watched_engine(*key))
                    .collect();
                self.executor.watch(engines, handle);
            }
            Action::Order(order) => self.executor.order(order, handle),
            Action::Stopped => self.executor.on_stopped(),
        }
    }

    fn watched_engine(&self, key: ServerKey) -> WatchedEngine {
        let (name, address) = self.node.server_address(key);
        WatchedEngine {
            name: name.to_owned(),
            address,
        }
    }

    fn dispatch(&self, dispatch: Dispatch, handle: &NodeHandle) {
        let at = dispatch.at;
        if !self.send_command(at.call, CallCommand::Dispatch(dispatch)) {
            // The call's task has ended, so nothing was sent.
            let report = BackendReport::Failed {
                failure: Failure::NotConnected,
                delivered: 0,
            };
            handle.report(at.call, at.attempt, report);
        }
    }

    /// Sends a command to a call's task. Returns `false` if the task has ended.
    fn send_command(&self, call: CallId, command: CallCommand) -> bool {
        self.calls
            .get(&call)
            .is_some_and(|tx| tx.send(command).is_ok())
    }
}
