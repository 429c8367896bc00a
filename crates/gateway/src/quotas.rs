//! What a router knows of the quotas of workspaces.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;

use policy::Time;
use relay::Configuration;
use relay::Quota;
use relay::QuotaAllocator;
use relay::QuotaLedger;
use tokio::sync::Notify;

use crate::clock::now;
use crate::log_event::LogEvent;
use crate::metrics::Metrics;
use crate::view_event::ViewEvent;

/// What this router knows of the quotas of workspaces.
pub struct Quotas {
    /// What this router may spend.
    pub ledger: RefCell<QuotaLedger>,
    /// Grants quotas to other routers.
    pub allocator: RefCell<QuotaAllocator>,
    /// Quotas in force, by the hash of the workspace's name.
    pub in_force: RefCell<HashMap<u64, Quota>>,
    /// Routers that may be allocators, as the ledger knows them.
    pub candidates: RefCell<Vec<u64>>,
    /// The latest message that carried this router's vote.
    pub latest_vote: Cell<Option<SentVote>>,
    /// The latest reply of an allocator that accepted this router's vote.
    pub latest_reply: Cell<Option<LatestReply>>,
    /// Wakes the requests that wait for a grant.
    pub replied: Notify,
    /// Wakes the task that sends due messages, if the next is due before the time until which it sleeps.
    pub due_changed: Notify,
    /// Time until which that task sleeps; none if it sleeps until it is woken.
    pub sleeps_until: Cell<Option<Time>>,
}

/// The latest message that carried this router's vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SentVote {
    /// Hash of the name of the router that got it.
    pub allocator: u64,
    /// Number of the message.
    pub seq: u64,
}

/// The latest reply of an allocator that accepted this router's vote.
#[derive(Clone, Copy, Debug)]
pub struct LatestReply {
    /// Hash of the name of that router.
    pub allocator: u64,
    /// When it was received.
    pub received_at: Time,
}

impl Quotas {
    /// Returns the state of a router that knows no quotas, by the hash of its name.
    pub fn new(own_hash: u64) -> Quotas {
        Quotas {
            ledger: RefCell::new(QuotaLedger::new(own_hash)),
            allocator: RefCell::new(QuotaAllocator::new(own_hash)),
            in_force: RefCell::default(),
            candidates: RefCell::default(),
            latest_vote: Cell::default(),
            latest_reply: Cell::default(),
            replied: Notify::new(),
            due_changed: Notify::new(),
            sleeps_until: Cell::default(),
        }
    }

    /// Sets the quotas in force.
    pub fn set(&self, configuration: &Configuration) {
        let now = now();
        let workspaces = configuration.workspaces.iter();
        let quotas = workspaces.filter_map(|w| Some((policy::name_hash(&w.name), w.quota?)));
        self.in_force.replace(quotas.collect());
        self.ledger.borrow_mut().set_quotas(now, configuration);
        self.allocator.borrow_mut().set_quotas(now, configuration);
        self.replied.notify_waiters();
        self.due_changed.notify_one();
    }

    /// Reports the quotas of a configuration that can't be used, in the log and as a metric.
    pub fn report_invalid(&self, configuration: &Configuration, metrics: &Metrics) {
        for invalid in &configuration.invalid_quotas {
            let mut workspaces = configuration.workspaces.iter();
            let workspace = workspaces.find(|w| w.name == invalid.workspace);
            let quota = workspace.and_then(|workspace| workspace.quota);
            ViewEvent::QuotaInvalid {
                version: configuration.version,
                workspace: &invalid.workspace,
                field: &invalid.field,
                reason: &invalid.reason,
                rate_per_s: quota.map(|quota| quota.rate_per_s),
            }
            .write();
            metrics.quotas.invalid.inc();
        }
    }

    /// Lets the routers to which this one grants quotas choose another one, as it stops.
    pub fn begin_stop(&self) {
        self.allocator.borrow_mut().begin_stop();
    }

    /// Returns whether some workspace has a quota.
    pub fn has_quotas(&self) -> bool {
        !self.in_force.borrow().is_empty()
    }
}
