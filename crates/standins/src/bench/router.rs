//! Routers as the bench drives them.

use std::sync::Arc;

use policy::Action;
use policy::BackendReport;
use policy::CacheReport;
use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Generate;
use policy::LoadReport;
use policy::Member;
use policy::Node;
use policy::OpId;
use policy::PeerMessage;
use policy::StoreRequest;
use policy::StoreResult;
use policy::Time;
use policy::Work;

use config::Config;

use crate::bench::deployment;
use crate::bench::engine::Engine;
use crate::bench::setup::Setup;
use crate::bench::workload::Request;

/// What a router does.
pub enum Step {
    /// Send an attempt.
    Send(Send),
    /// Stop an attempt.
    Cancel {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// Engine.
        engine: usize,
    },
    /// Give a request up.
    Refuse {
        /// Request.
        request: usize,
        /// Why.
        reason: &'static str,
    },
    /// Send a message to another router.
    Peer {
        /// Router.
        to: usize,
        /// Message.
        message: PeerMessage,
    },
    /// Watch these engines and no others.
    Watch(Vec<usize>),
    /// Call the key-value service.
    Store {
        /// Name of the call.
        op: OpId,
        /// Call.
        request: StoreRequest,
    },
}

/// An attempt to send.
pub struct Send {
    /// Request.
    pub request: usize,
    /// Attempt.
    pub attempt: u32,
    /// Engine.
    pub engine: usize,
    /// Incarnation that the engine must have, 0 for any.
    pub incarnation: u64,
    /// Engine from which missing pieces are fetched, with its incarnation.
    pub fetch_from: Option<(usize, u64)>,
}

/// What a router may look at: only the oracle looks at the engines.
pub struct Sight<'a> {
    /// Deployment.
    pub setup: &'a Setup,
    /// All requests.
    pub requests: &'a [Request],
    /// All engines as they are now.
    pub engines: &'a [Engine],
}

/// Something that happens to a router.
pub enum Input {
    /// A request arrives.
    Arrive(usize),
    /// An engine, or the way to it, said something.
    Report {
        /// Request.
        request: usize,
        /// Attempt.
        attempt: u32,
        /// What was said.
        report: BackendReport,
    },
    /// A load report.
    Load(LoadReport),
    /// Changes of a cache.
    Cache(CacheReport),
    /// The membership list.
    Members(Vec<Member>),
    /// The configuration.
    Config(Arc<Config>),
    /// A message of another router.
    Peer {
        /// Sender.
        from: usize,
        /// Message.
        message: PeerMessage,
    },
    /// The result of a call to the key-value service.
    Store {
        /// Name of the call.
        op: OpId,
        /// Result.
        result: StoreResult,
    },
    /// The deadline that the router named has come.
    Tick,
}

/// A router under test.
pub trait Router {
    /// Takes something in and adds what is to be done to `out`.
    fn handle(&mut self, now_us: u64, input: Input, sight: &Sight<'_>, out: &mut Vec<Step>);

    /// Returns when [`Input::Tick`] is due.
    fn next_deadline_us(&self) -> Option<u64>;
}

/// The project's own state machine.
pub struct NodeRouter {
    node: Node,
    actions: Vec<Action>,
}

impl NodeRouter {
    /// Wraps a node.
    pub fn new(node: Node) -> NodeRouter {
        NodeRouter {
            node,
            actions: Vec::new(),
        }
    }
}

impl Router for NodeRouter {
    fn handle(&mut self, now_us: u64, input: Input, sight: &Sight<'_>, out: &mut Vec<Step>) {
        let event = event(input, sight);
        self.node.handle(Time(now_us), event, &mut self.actions);
        out.extend(self.actions.drain(..).filter_map(step));
    }

    fn next_deadline_us(&self) -> Option<u64> {
        self.node.next_deadline().map(|at| at.0)
    }
}

fn event(input: Input, sight: &Sight<'_>) -> Event {
    match input {
        Input::Arrive(request) => call(request, &sight.requests[request]),
        Input::Report {
            request,
            attempt,
            report,
        } => Event::Backend {
            call: CallId(request as u64),
            attempt: policy::AttemptId(attempt),
            report,
        },
        Input::Load(report) => Event::Load(report),
        Input::Cache(report) => Event::Cache(report),
        Input::Members(members) => Event::Members(members),
        Input::Config(config) => Event::Config { version: 1, config },
        Input::Peer { from, message } => Event::Peer {
            from: deployment::router_name(from),
            message,
        },
        Input::Store { op, result } => Event::Store { op, result },
        Input::Tick => Event::Tick,
    }
}

fn call(id: usize, request: &Request) -> Event {
    Event::Call(Box::new(CallRequest {
        call: CallId(id as u64),
        token_sha256: deployment::token(request.workspace),
        priority: Some(request.kind.priority.to_owned()),
        deadline: None,
        fingerprint: id as u64,
        work: Work::Generate(Generate {
            model: deployment::MODEL.to_owned(),
            blocks: request.blocks.clone(),
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.output_tokens as u32,
        }),
    }))
}

fn step(action: Action) -> Option<Step> {
    match action {
        Action::Dispatch(sent) => Some(Step::Send(Send {
            request: sent.at.call.0 as usize,
            attempt: sent.at.attempt.0,
            engine: deployment::engine_at(sent.address),
            incarnation: sent.incarnation.0,
            fetch_from: sent
                .fetch_from
                .map(|from| (deployment::engine_at(from.address), from.incarnation.0)),
        })),
        Action::Cancel(at) => Some(Step::Cancel {
            request: at.call.0 as usize,
            attempt: at.attempt.0,
            engine: at.server.0 as usize,
        }),
        Action::Refuse { call, refusal } => Some(Step::Refuse {
            request: call.0 as usize,
            reason: refusal.reason().name(),
        }),
        Action::SendPeer { to, message, .. } => Some(Step::Peer {
            to: deployment::router_named(&to),
            message,
        }),
        Action::Watch(servers) => Some(Step::Watch(
            servers.into_iter().map(|s| s.0 as usize).collect(),
        )),
        Action::Store { op, request } => Some(Step::Store { op, request }),
        Action::Retried { .. }
        | Action::LateReport { .. }
        | Action::ConfigApplied { .. }
        | Action::Respond { .. }
        | Action::Order(_)
        | Action::Stopped => None,
    }
}
