//! State of a request that is being served.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;

use bytes::Bytes;
use http::request;
use policy::Time;
use relay::Admission;
use relay::CachePartition;
use relay::Route;
use relay::ServerKey;
use relay::StreamBuild;
use relay::SuspectKey;
use relay::Workspace;

use crate::accepted::Accepted;
use crate::accepted_connection::AcceptedConnection;
use crate::accepted_connection::Delivery;
use crate::attempted_server::AttemptedServer;
use crate::buffer_hold::BufferHold;
use crate::clock::now;
use crate::cluster_view::ClusterView;
use crate::codec::RequestHead;
use crate::context::Context;
use crate::log_event::LogEvent;
use crate::places::HeldPlace;
use crate::request_event::RequestEnded;
use crate::request_event::RequestEvent;
use crate::spent_quota::SpentQuota;

/// Longest time until the response if the caller names none, in milliseconds after arrival.
pub const DEFAULT_MAX_WAIT_MS: u64 = 30_000;

/// Time after the deadline for which a response is still awaited, in milliseconds:
/// the backend server's own timeout response may be in transit.
pub const DEADLINE_GRACE_MS: u64 = 120;

/// A request being served, with its attempts so far.
pub struct Exchange {
    /// State of this router.
    pub cx: Rc<Context>,
    /// Connection of the caller.
    pub caller: Rc<AcceptedConnection>,
    /// Head that the caller sent.
    pub head: request::Parts,
    /// Fields read from the head.
    pub parsed: RequestHead,
    /// Body that the caller sent.
    pub body: Bytes,
    /// Counts the request as buffered.
    pub hold: Option<BufferHold>,
    /// Route that matched.
    pub route: Arc<Route>,
    /// Workspace of the caller's key.
    pub workspace: Option<Arc<Workspace>>,
    /// Service picked for it from the route's shares.
    pub service: Arc<str>,
    /// When its head was read.
    pub arrived_at: Time,
    /// When the response is due.
    pub deadline: Time,
    /// Version of the configuration under which it was accepted.
    pub configuration: u64,
    /// Fingerprint that recognizes the same request under another id.
    pub fingerprint: SuspectKey,
    /// What crashes of its backend servers are blamed on.
    pub suspects: Vec<SuspectKey>,
    /// Where the response may go on, if it is a stream.
    pub stream_build: Cell<StreamBuild>,
    /// Backend server of the latest attempt; none before the first.
    pub latest_server: Option<AttemptedServer>,
    /// Backend servers of the attempts so far.
    pub tried: Vec<ServerKey>,
    /// What the next or latest attempt takes of its workspace's quota, if that has one.
    pub quota: Option<SpentQuota>,
    /// Place of the latest attempt in its backend server, if that needs one.
    pub place: Option<HeldPlace>,
    /// Attempts so far, of any outcome.
    pub attempts: u32,
    /// Attempts that the backend server ran or may have run.
    pub executions: u32,
    /// Latest attempts that backend servers rejected, counted where the room of servers is limited.
    pub rejections_in_a_row: Cell<u32>,
    /// Number that differs from request to request.
    pub seed: u64,
    /// Whether its final outcome was recorded.
    pub finished: bool,
}

impl Exchange {
    /// Sets the deadline and picks the service of a request.
    pub fn new(cx: Rc<Context>, caller: Rc<AcceptedConnection>, accepted: Accepted) -> Exchange {
        let max_wait_ms = accepted.parsed.max_wait_ms.unwrap_or(DEFAULT_MAX_WAIT_MS);
        let route = accepted.route;
        Exchange {
            cx,
            caller,
            service: accepted.service,
            deadline: accepted
                .arrived_at
                .plus_millis(max_wait_ms.min(route.timeout_ms)),
            head: accepted.head,
            parsed: accepted.parsed,
            body: accepted.body,
            hold: Some(accepted.hold),
            route,
            workspace: accepted.workspace,
            arrived_at: accepted.arrived_at,
            configuration: accepted.configuration,
            fingerprint: accepted.fingerprint,
            suspects: accepted.suspects,
            stream_build: Cell::default(),
            latest_server: None,
            tried: Vec::new(),
            quota: None,
            place: None,
            attempts: 0,
            executions: 0,
            rejections_in_a_row: Cell::new(0),
            seed: accepted.seed,
            finished: false,
        }
    }

    /// Returns the time left until the deadline, in milliseconds.
    pub fn left_ms(&self) -> u64 {
        self.deadline.millis_since(now())
    }

    /// Returns the requests with which it shares cached prompt parts, by the present configuration.
    pub fn cache_partition(&self, view: &ClusterView) -> CachePartition {
        let configuration = view.configuration.as_ref();
        configuration.map_or_else(CachePartition::default, |configuration| {
            configuration.cache_partition(self.workspace.as_deref())
        })
    }

    /// Checks that none of the request's suspects is blocked; otherwise returns the time until
    /// which one is. If the request is to be sent as a trial, records that.
    pub fn admit(&self) -> Result<(), Time> {
        match self.cx.admission(&self.suspects) {
            Admission::Free => Ok(()),
            Admission::Trial => {
                self.cx.begin_trial(&self.suspects);
                Ok(())
            }
            Admission::Blocked(until) => Err(until),
        }
    }

    /// Frees what only attempts need, and records the outcome once the caller has the whole response, or
    /// has left. `outcome` is that of a response that was delivered.
    pub fn finish_when_delivered(mut self, outcome: &'static str, status: u16, server: ServerKey) {
        self.body = Bytes::new();
        self.hold = None;
        self.place = None;
        let caller = Rc::clone(&self.caller);
        caller.set_on_end(move |delivery| {
            let outcome = match delivery {
                Delivery::Whole => outcome,
                Delivery::CallerLeft => "caller_left",
                Delivery::Closed => "caller_closed",
            };
            self.finish(outcome, status, Some(server));
        });
    }

    /// Returns the outcome of a request whose caller takes no more of the response.
    pub fn undelivered_outcome(&self) -> &'static str {
        match self.caller.broken_delivery() {
            Delivery::Closed => "caller_closed",
            Delivery::Whole | Delivery::CallerLeft => "caller_left",
        }
    }

    /// Records the final outcome of the request in metrics and log.
    pub fn finish(&mut self, outcome: &str, status: u16, server: Option<ServerKey>) {
        self.finished = true;
        let took = now().micros_since(self.arrived_at);
        self.cx.metrics.requests.with_label_values(&[outcome]).inc();
        self.cx
            .metrics
            .times
            .to_end
            .observe(took as f64 / 1_000_000.0);
        let server = server.map(|key| self.cx.server_name(key));
        let ended = RequestEnded {
            id: &self.parsed.id,
            route: &self.route.name,
            workspace: self.workspace.as_deref().map(|w| &*w.name),
            service: &self.service,
            configuration: self.configuration,
            outcome,
            status,
            server: server.as_deref(),
            attempts: self.attempts,
            executions: self.executions,
            took_ms: took / 1_000,
            left_ms: self.left_ms(),
        };
        RequestEvent::Ended(ended).write();
    }
}
