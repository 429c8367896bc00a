//! VM with a router process around one state machine.

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

/// A call that a router process has in flight.
#[derive(Debug)]
pub(crate) struct RouterCall {
    /// Id of the caller's request.
    pub(crate) request: u64,
    /// Order check of the tokens that are passed to the caller.
    pub(crate) sequencer: TokenSequencer,
    /// Latest attempt.
    pub(crate) attempt: AttemptId,
    /// Whether the latest attempt has failed.
    pub(crate) failed: bool,
    /// Stream that the caller asked to resume.
    pub(crate) resume: Option<StreamLocation>,
    /// Server of the latest attempt.
    pub(crate) server: Option<String>,
}

/// A VM and the router process on it.
pub(crate) struct RouterVm {
    /// Current or next execution of the process.
    pub(crate) boot: Boot,
    /// State machine, `None` while the process is down.
    pub(crate) node: Option<Node>,
    /// Calls in flight.
    pub(crate) calls: BTreeMap<CallId, RouterCall>,
    /// Calls whose last token was delivered, which the state machine may not know yet.
    pub(crate) completed_streams: BTreeSet<CallId>,
    pub(crate) next_call_id: u64,
    /// Engines whose load reports the state machine has requested.
    pub(crate) watched: BTreeSet<ServerKey>,
    /// Time until which the process handles no events.
    pub(crate) frozen_until: Time,
    /// Start of the current execution.
    pub(crate) up_since: Time,
    /// End of the latest execution.
    pub(crate) stopped_at: Time,
    /// Time until which its reads of the configuration fail.
    pub(crate) watch_down_until: Time,
    /// End of the latest fault that affects this router.
    pub(crate) disturbed_until: Time,
    /// Whether a graceful stop has begun.
    pub(crate) stopping: bool,
    /// Time until which a graceful stop must not cut off calls.
    pub(crate) stop_deadline: Time,
    /// Point in time whose membership list the router read last.
    pub(crate) members_as_of: Time,
    /// Time of the earliest queued tick.
    pub(crate) tick_at: Option<Time>,
    /// Highest announced incarnation of each server, by name.
    pub(crate) known_incarnations: BTreeMap<String, u64>,
    /// Version of the applied configuration, 0 if there is none.
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

    /// Starts the process with a new state machine.
    pub(crate) fn start(&mut self, now: Time, node: Node) {
        self.node = Some(node);
        self.up_since = now;
    }

    /// Ends the process; returns the requests that were in flight.
    pub(crate) fn stop(&mut self, now: Time) -> Vec<u64> {
        let router = self.boot.router;
        let boot = self.boot.boot + 1;
        let lost_calls = std::mem::take(&mut self.calls);
        *self = RouterVm {
            boot: Boot { router, boot },
            stopped_at: now,
            disturbed_until: self.disturbed_until,
            watch_down_until: self.watch_down_until,
            ..RouterVm::new(router)
        };
        lost_calls.into_values().map(|call| call.request).collect()
    }

    /// Records a fault that affects this router until a time.
    pub(crate) fn mark_disturbed(&mut self, until: Time) {
        self.disturbed_until = self.disturbed_until.max(until);
    }

    /// Returns whether the router has been up and without a fault for `ms` milliseconds
    /// and isn't stopping.
    pub(crate) fn undisturbed_for(&self, now: Time, ms: u64) -> bool {
        let since = self.disturbed_until.max(self.up_since);
        self.node.is_some() && !self.stopping && since.plus_millis(ms) <= now
    }
}
