//! The process around one router's state machine.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use policy::AttemptId;
use policy::CallId;
use policy::Node;
use policy::ServerKey;
use policy::Time;
use policy::TokenSequencer;

use crate::soak::happening::Boot;
use crate::soak::request::StreamAt;

/// A call at a router's process.
#[derive(Debug)]
pub(crate) struct ShellCall {
    pub(crate) request: u64,
    pub(crate) relay: TokenSequencer,
    pub(crate) attempt: AttemptId,
    /// Whether the present attempt has failed.
    pub(crate) failed: bool,
    /// Stream that the caller resumes.
    pub(crate) resume: Option<StreamAt>,
    /// Server that runs the present attempt.
    pub(crate) server: Option<String>,
}

/// A router's VM with the process on it.
pub(crate) struct Shell {
    pub(crate) at: Boot,
    /// State machine, none while the process is down.
    pub(crate) node: Option<Node>,
    pub(crate) calls: BTreeMap<CallId, ShellCall>,
    /// Streams whose last token was passed on; the state machine may not know yet.
    pub(crate) ended: BTreeSet<CallId>,
    pub(crate) next_call: u64,
    pub(crate) watched: BTreeSet<ServerKey>,
    pub(crate) frozen_until: Time,
    pub(crate) up_since: Time,
    /// End of the latest run of the process.
    pub(crate) killed_at: Time,
    /// Time until which its watch of the configuration hears nothing.
    pub(crate) deaf_until: Time,
    /// End of the latest fault that concerns it.
    pub(crate) disturbed_until: Time,
    pub(crate) stopping: bool,
    /// Time by which a graceful stop must have ended.
    pub(crate) stop_by: Time,
    /// Time of the latest membership list that it fetched.
    pub(crate) listed_at: Time,
    /// Earliest tick that is queued.
    pub(crate) tick_at: Option<Time>,
    /// Highest incarnation of each engine that it was told of.
    pub(crate) told: BTreeMap<String, u64>,
    /// Version in force.
    pub(crate) version: u64,
}

impl Shell {
    /// Creates a VM whose process is down.
    pub(crate) fn new(router: usize) -> Shell {
        Shell {
            at: Boot { router, boot: 0 },
            node: None,
            calls: BTreeMap::new(),
            ended: BTreeSet::new(),
            next_call: 1,
            watched: BTreeSet::new(),
            frozen_until: Time::default(),
            up_since: Time::default(),
            killed_at: Time::default(),
            deaf_until: Time::default(),
            disturbed_until: Time::default(),
            stopping: false,
            stop_by: Time::default(),
            listed_at: Time::default(),
            tick_at: None,
            told: BTreeMap::new(),
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
        let router = self.at.router;
        let boot = self.at.boot + 1;
        let cut = std::mem::take(&mut self.calls);
        *self = Shell {
            at: Boot { router, boot },
            killed_at: now,
            disturbed_until: self.disturbed_until,
            deaf_until: self.deaf_until,
            ..Shell::new(router)
        };
        cut.into_values().map(|call| call.request).collect()
    }

    /// Notes a fault that concerns this router.
    pub(crate) fn disturb(&mut self, until: Time) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Tells whether no fault has concerned it for `ms` milliseconds.
    pub(crate) fn calm_for(&self, now: Time, ms: u64) -> bool {
        let since = self.disturbed_until.max(self.up_since);
        self.node.is_some() && !self.stopping && since.plus_millis(ms) <= now
    }
}
