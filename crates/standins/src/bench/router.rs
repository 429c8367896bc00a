//! Interface between the simulation and the routers under test.

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

/// What a router asks the simulation to do.
pub enum Output {
    /// Dispatch an attempt to an engine.
    Dispatch(Dispatch),
    /// Cancel an attempt.
    Cancel {
        /// Index of the request.
        request: usize,
        /// Number of the attempt.
        attempt: u32,
        /// Index of the engine.
        engine: usize,
    },
    /// Refuse a request.
    Refuse {
        /// Index of the request.
        request: usize,
        /// Reason in the statistics.
        reason: &'static str,
    },
    /// Send a message to another router.
    Peer {
        /// Index of the receiving router.
        to: usize,
        /// Message to send.
        message: PeerMessage,
    },
    /// Subscribe to the reports of these engines and of no others.
    Watch(Vec<usize>),
    /// Call the key-value service.
    Store {
        /// Id that the result refers to.
        op: OpId,
        /// Request to the service.
        request: StoreRequest,
    },
}

/// An attempt to dispatch.
pub struct Dispatch {
    /// Index of the request.
    pub request: usize,
    /// Number of the attempt.
    pub attempt: u32,
    /// Index of the engine.
    pub engine: usize,
    /// Incarnation that the engine must have; 0 for any.
    pub incarnation: u64,
    /// Engine to fetch missing blocks from, with its incarnation.
    pub fetch_from: Option<(usize, u64)>,
}

/// State of the simulation that a router may read; only the oracle uses `engines`.
pub struct SimulationView<'a> {
    /// Constants of the deployment.
    pub setup: &'a Setup,
    /// All requests of the run, also future ones.
    pub requests: &'a [Request],
    /// Current state of all engines.
    pub engines: &'a [Engine],
}

/// An event that a router handles.
pub enum Input {
    /// The request with this index has arrived.
    Arrive(usize),
    /// An attempt progressed, ended or failed.
    Report {
        /// Index of the request.
        request: usize,
        /// Number of the attempt.
        attempt: u32,
        /// What happened to the attempt.
        report: BackendReport,
    },
    /// Load report of an engine.
    Load(LoadReport),
    /// Cache events of an engine.
    Cache(CacheReport),
    /// New membership list.
    Members(Vec<Member>),
    /// The configuration, once after each start.
    Config(Arc<Config>),
    /// Message of another router.
    Peer {
        /// Index of the sender.
        from: usize,
        /// The message.
        message: PeerMessage,
    },
    /// Result of a call to the key-value service.
    Store {
        /// Id of the call.
        op: OpId,
        /// The result.
        result: StoreResult,
    },
    /// The time that [`Router::next_deadline_us`] returned has been reached.
    Tick,
}

/// A router under test.
pub trait Router {
    /// Handles an event and appends the resulting outputs to `out`.
    fn handle(
        &mut self,
        now_us: u64,
        input: Input,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    );

    /// Returns the time at which the router needs [`Input::Tick`], in microseconds, if any.
    fn next_deadline_us(&self) -> Option<u64>;
}

/// The state machine of the real routers, [`Node`].
pub struct NodeRouter {
    node: Node,
    actions: Vec<Action>,
}

impl NodeRouter {
    /// Creates a router from a node.
    pub fn new(node: Node) -> NodeRouter {
        NodeRouter {
            node,
            actions: Vec::new(),
        }
    }
}

impl Router for NodeRouter {
    fn handle(
        &mut self,
        now_us: u64,
        input: Input,
        view: &SimulationView<'_>,
        out: &mut Vec<Output>,
    ) {
        let event = policy_event(input, view);
        self.node.handle(Time(now_us), event, &mut self.actions);
        out.extend(self.actions.drain(..).filter_map(output));
    }

    fn next_deadline_us(&self) -> Option<u64> {
        self.node.next_deadline().map(|at| at.0)
    }
}

fn policy_event(input: Input, view: &SimulationView<'_>) -> Event {
    match input {
        Input::Arrive(request) => call_event(request, &view.requests[request]),
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

fn call_event(id: usize, request: &Request) -> Event {
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

fn output(action: Action) -> Option<Output> {
    match action {
        Action::Dispatch(dispatch) => Some(Output::Dispatch(Dispatch {
            request: dispatch.at.call.0 as usize,
            attempt: dispatch.at.attempt.0,
            engine: deployment::engine_index(dispatch.address),
            incarnation: dispatch.incarnation.0,
            fetch_from: dispatch
                .fetch_from
                .map(|from| (deployment::engine_index(from.address), from.incarnation.0)),
        })),
        Action::Cancel(at) => Some(Output::Cancel {
            request: at.call.0 as usize,
            attempt: at.attempt.0,
            engine: at.server.0 as usize,
        }),
        Action::Refuse { call, refusal } => Some(Output::Refuse {
            request: call.0 as usize,
            reason: refusal.reason().name(),
        }),
        Action::SendPeer { to, message, .. } => Some(Output::Peer {
            to: deployment::router_index(&to),
            message,
        }),
        Action::Watch(servers) => Some(Output::Watch(
            servers.into_iter().map(|s| s.0 as usize).collect(),
        )),
        Action::Store { op, request } => Some(Output::Store { op, request }),
        Action::Retried { .. }
        | Action::LateReport { .. }
        | Action::ConfigApplied { .. }
        | Action::Respond { .. }
        | Action::Order(_)
        | Action::Stopped => None,
    }
}
