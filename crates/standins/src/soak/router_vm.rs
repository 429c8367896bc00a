//! The process around one router's state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use policy::AttemptId;
use policy::CallId;
use policy::Node;
use policy::ServerKey;
use policy::Time;
use policy::TokenSequencer;

use crate::soak::request::StreamLocation;
use crate::soak::scheduled_event::Boot;

/// A call at a router's process.
#[derive(Debug)]
pub(crate) struct RouterCall {
    pub(crate) request: u64,
    pub(crate) sequencer: TokenSequencer,
    pub(crate) attempt: AttemptId,
    /// Whether the present attempt has failed.
    pub(crate) failed: bool,
    /// Stream that the caller resumes.
    pub(crate) resume: Option<StreamLocation>,
    /// Server that runs the present attempt.
    pub(crate) server: Option<String>,
}

/// A router's VM with the process on it.
pub(crate) struct RouterVm {
    pub(crate) boot: Boot,
    /// State machine, none while the process is down.
    pub(crate) node: Option<Node>,
    pub(crate) calls: BTreeMap<CallId, RouterCall>,
    /// Streams whose last token was passed on; the state machine may not know yet.
    pub(crate) completed_streams: BTreeSet<CallId>,
    pub(crate) next_call_id: u64,
    pub(crate) watched: BTreeSet<ServerKey>,
    pub(crate) frozen_until: Time,
    pub(crate) up_since: Time,
    /// End of the latest run of the process.
    pub(crate) stopped_at: Time,
    /// Time until which its watch of the configuration hears nothing.
    pub(crate) watch_down_until: Time,
    /// End of the latest fault that concerns it.
    pub(crate) disturbed_until: Time,
    pub(crate) stopping: bool,
    /// Time by which a graceful stop must have ended.
    pub(crate) stop_deadline: Time,
    /// Time of the latest membership list that it fetched.
    pub(crate) members_as_of: Time,
    /// Earliest tick that is queued.
    pub(crate) tick_at: Option<Time>,
    /// Highest incarnation of each engine that it was told of.
    pub(crate) known_incarnations: BTreeMap<String, u64>,
    /// Version in force.
    pub(crate) version: u64,
}

impl RouterVm {
    /// Creates a VM whose process is down.
    pub(crate) fn new(router: usize) -> RouterVm {
        RouterVm {
            boot: Boot { router, boot: 0 },
            node: None,
            calls: BTreeMap::new(),
            completed_streams: BTreeSet::new(),
            next_call_id: 1,
            watched: BTreeSet::new(),
            frozen_until: Time::default(),
            up_since: Time::default(),
            stopped_at: Time::default(),
            watch_down_until: Time::default(),
            disturbed_until: Time::default(),
            stopping: false,
            stop_deadline: Time::default(),
            members_as_of: Time::default(),
            tick_at: None,
            known_incarnations: BTreeMap::new(),
            version: 0,
        }
    }

    /// Starts the process with this state machine.
    pub(crate) fn start(&mut self, now: Time, node: Node) {
        self.node = Some(node);
        self.up_since = now;
    }

    /// Ends the process; returns the requests that it cut.
    pub(crate) fn stop(&mut self, now: Time) -> Vec<u64> {
        let router = self.boot.router;
        let boot = self.boot.boot + 1;
        let cut = std::mem::take(&mut self.calls);
        *self = RouterVm {
            boot: Boot { router, boot },
            stopped_at: now,
            disturbed_until: self.disturbed_until,
            watch_down_until: self.watch_down_until,
            ..RouterVm::new(router)
        };
        cut.into_values().map(|call| call.request).collect()
    }

    /// Notes a fault that concerns this router.
    pub(crate) fn mark_disturbed(&mut self, until: Time) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Tells whether no fault has concerned it for `ms` milliseconds.
    pub(crate) fn undisturbed_for(&self, now: Time, ms: u64) -> bool {
        let since = self.disturbed_until.max(self.up_since);
        self.node.is_some() && !self.stopping && since.plus_millis(ms) <= now
    }
}
