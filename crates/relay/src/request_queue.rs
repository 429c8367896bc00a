//! Requests that wait at a router until a backend server has room for them.
//!
//! First attempts come before retries. Among them, workspaces take turns; a request of a lower
//! priority takes more than one. Within a workspace each priority gets a share, higher ones a larger
//! one, so that none is starved, and requests of the same priority go by the time by which they must
//! begin. A request that can't begin in time by the pace at which requests have begun lately is
//! refused at once.

use std::collections::BTreeMap;
use std::collections::VecDeque;

use policy::Time;

use crate::RoomNeed;

/// Time over which the pace of begun and refused requests is counted, in milliseconds.
const PACE_WINDOW_MS: u64 = 1_000;

/// Requests a second that are assumed to begin at least.
const MIN_BEGUN_PER_S: f64 = 4.0;

/// Minimum and maximum of the time after which callers may retry, in milliseconds.
const RETRY_AFTER_RANGE_MS: (u64, u64) = (150, 700);

/// Turns that a workspace saves up while it has no requests waiting.
const SAVED_TURNS: f64 = 2.0;

/// Time in which what a workspace has begun counts by half less, in milliseconds.
const RECENT_HALF_LIFE_MS: f64 = 4_000.0;

/// Requests begun lately from which a workspace without waiting ones counts as active.
const MIN_RECENT: f64 = 0.5;

/// Multiple of the mean of the active workspaces from which one is over its share.
const OVER_SHARE_FACTOR: f64 = 1.25;

/// Priority from which lower ones take no more turns, so that none is starved.
const MAX_WEIGHED_PRIORITY: u32 = 7;

/// Most requests that wait at a router.
const MAX_WAITING: usize = 256;

/// Number of a waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that is to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Hash of the name of the caller's workspace; 0 for none.
    pub workspace: u64,
    /// Priority; 0 is the highest.
    pub priority: u32,
    /// Whether it was dispatched before.
    pub is_retry: bool,
    /// Time by which it must begin to be answered in time.
    pub begin_by: Time,
    /// Number that differs from request to request.
    pub seed: u64,
}

/// Why a request doesn't wait: it would not begin in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueRefusal {
    /// Time after which the caller should retry, in milliseconds.
    pub retry_after_ms: u64,
    /// Estimated time until the request would begin, in milliseconds.
    pub wait_ms: u64,
}

/// Number of events, of which old ones count less.
#[derive(Clone, Copy, Debug, Default)]
struct Recent {
    count: f64,
    as_of: Option<Time>,
}

impl Recent {
    fn at(&self, now: Time) -> f64 {
        let age_ms = self.as_of.map_or(0, |at| now.millis_since(at)) as f64;
        self.count * (-age_ms / RECENT_HALF_LIFE_MS).exp2()
    }

    fn add(&mut self, now: Time) {
        self.count = self.at(now) + 1.0;
        self.as_of = Some(now);
    }
}

#[derive(Clone, Copy, Debug)]
struct Waiting {
    ticket: Ticket,
    begin_by: Time,
}

/// Requests of one priority of a workspace, in the order in which they begin.
#[derive(Clone, Debug, Default)]
struct Line {
    waiting: Vec<Waiting>,
    /// Turns taken, raised to those of the others when it had none waiting.
    taken: f64,
}

/// Requests of one workspace, by priority.
#[derive(Clone, Debug, Default)]
struct Flow {
    lines: BTreeMap<u32, Line>,
    /// Turns taken, raised as for a line.
    taken: f64,
    recent: Recent,
}

/// First attempts or retries, by workspace.
#[derive(Clone, Debug, Default)]
struct Group {
    flows: BTreeMap<u64, Flow>,
    /// Turns that the workspace had taken whose request began last.
    latest: f64,
}

/// Where a waiting request stands.
#[derive(Clone, Copy, Debug)]
struct Place {
    is_retry: bool,
    workspace: u64,
    priority: u32,
}

/// Requests that wait at one router for the servers of one service.
#[derive(Clone, Debug, Default)]
pub struct RequestQueue {
    first_attempts: Group,
    retries: Group,
    places: BTreeMap<Ticket, Place>,
    next_ticket: u64,
    begun: VecDeque<Time>,
    refused: VecDeque<Time>,
}

/// Returns the turns that a request takes.
fn turns(priority: u32) -> f64 {
    f64::from(priority.min(MAX_WEIGHED_PRIORITY) + 1)
}

impl Flow {
    fn waiting(&self) -> usize {
        self.lines.values().map(|line| line.waiting.len()).sum()
    }

    /// Returns the turns that the waiting requests will take.
    fn waiting_turns(&self) -> f64 {
        let lines = self.lines.iter();
        let turns = lines.map(|(priority, line)| turns(*priority) * line.waiting.len() as f64);
        turns.sum()
    }

    fn next_line(&self) -> Option<&Line> {
        let lines = self.lines.values().filter(|line| !line.waiting.is_empty());
        lines.min_by(|a, b| a.taken.total_cmp(&b.taken))
    }

    /// Returns the line of a priority, for a request that is added or begins at once.
    fn raised_line(&mut self, priority: u32) -> &mut Line {
        let least = self.next_line().map_or(0.0, |line| line.taken);
        let line = self.lines.entry(priority).or_default();
        if line.waiting.is_empty() {
            line.taken = line.taken.max(least);
        }
        line
    }
}

impl Group {
    /// Returns the workspace whose turn it is.
    fn next_flow(&self) -> Option<&Flow> {
        let flows = self.flows.values().filter(|flow| flow.waiting() > 0);
        flows.min_by(|a, b| a.taken.total_cmp(&b.taken))
    }

    /// Returns the turns that a workspace has taken, raised to those of the others less some saved
    /// ones if it has no requests waiting.
    fn raised(&self, workspace: u64) -> f64 {
        let flow = self.flows.get(&workspace);
        let taken = flow.map_or(0.0, |flow| flow.taken);
        if flow.is_some_and(|flow| flow.waiting() > 0) {
            return taken;
        }
        let least = self.next_flow().map_or(self.latest, |next| next.taken);
        taken.max(least - SAVED_TURNS)
    }

    /// Returns the flow of a workspace, for a request that is added or begins at once.
    fn raised_flow(&mut self, workspace: u64) -> &mut Flow {
        let taken = self.raised(workspace);
        let flow = self.flows.entry(workspace).or_default();
        flow.taken = taken;
        flow
    }

    /// Returns how many requests begin before a new one of `workspace`.
    fn ahead_of(&self, workspace: u64) -> usize {
        let own = self.flows.get(&workspace);
        let turn = self.raised(workspace) + own.map_or(0.0, Flow::waiting_turns);
        let others = self.flows.iter().filter(|(other, _)| **other != workspace);
        let others = others.map(|(_, flow)| {
            let before = (turn - flow.taken).ceil().max(0.0) as usize;
            before.min(flow.waiting())
        });
        own.map_or(0, Flow::waiting) + others.sum::<usize>()
    }

    fn waiting(&self) -> usize {
        self.flows.values().map(Flow::waiting).sum()
    }

    /// Counts a request that begins.
    fn count(&mut self, now: Time, workspace: u64, priority: u32) {
        let flow = self.flows.entry(workspace).or_default();
        flow.recent.add(now);
        self.latest = flow.taken;
        flow.taken += turns(priority);
        flow.lines.entry(priority).or_default().taken += turns(priority);
    }
}

impl RequestQueue {
    /// Returns how many requests wait.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no request waits.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    /// Adds a request, or refuses it if it can't begin in time.
    pub fn enter(&mut self, now: Time, request: &QueuedRequest) -> Result<Ticket, QueueRefusal> {
        let wait_ms = self.wait_ms(now, request);
        let left_ms = request.begin_by.millis_since(now);
        if wait_ms > left_ms || self.len() >= MAX_WAITING {
            return Err(self.refuse(now, request, wait_ms));
        }
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        let flow = self.group(request.is_retry).raised_flow(request.workspace);
        let line = flow.raised_line(request.priority);
        let begin_by = request.begin_by;
        let at = line.waiting.partition_point(|w| w.begin_by <= begin_by);
        line.waiting.insert(at, Waiting { ticket, begin_by });
        let place = Place {
            is_retry: request.is_retry,
            workspace: request.workspace,
            priority: request.priority,
        };
        self.places.insert(ticket, place);
        Ok(ticket)
    }

    /// Returns the request that is to begin next: one of a workspace within its share if there is
    /// one.
    pub fn next(&self, now: Time) -> Option<Ticket> {
        let flows = self.first_attempts.flows.iter();
        let within = flows.filter(|(workspace, flow)| {
            flow.waiting() > 0 && !self.is_over_share(now, **workspace)
        });
        let first = within.min_by(|(_, a), (_, b)| a.taken.total_cmp(&b.taken));
        let flow = first.map(|(_, flow)| flow);
        let flow = flow.or_else(|| self.first_attempts.next_flow());
        let line = flow.or_else(|| self.retries.next_flow())?.next_line()?;
        line.waiting.first().map(|waiting| waiting.ticket)
    }

    /// Returns what room a request of `workspace` needs.
    pub fn need(&self, now: Time, workspace: u64) -> RoomNeed {
        if self.is_over_share(now, workspace) {
            RoomNeed::OverShare
        } else {
            RoomNeed::Usual
        }
    }

    /// Returns whether the workspace of a request has lately begun more requests here than its share.
    /// What such a request needs is granted only if others leave it.
    fn is_over_share(&self, now: Time, workspace: u64) -> bool {
        let recent = |flow: &Flow| flow.recent.at(now);
        let flows = self.first_attempts.flows.values();
        let active = flows.filter(|flow| recent(flow) >= MIN_RECENT || flow.waiting() > 0);
        let (count, sum) = active.fold((0, 0.0), |(count, sum), flow| {
            (count + 1, sum + recent(flow))
        });
        let own = self
            .first_attempts
            .flows
            .get(&workspace)
            .map_or(0.0, recent);
        count > 1 && own > sum / f64::from(count) * OVER_SHARE_FACTOR
    }

    /// Removes a request that begins.
    pub fn begin(&mut self, now: Time, ticket: Ticket) {
        if let Some(place) = self.remove(ticket) {
            self.count(now, place);
        }
    }

    /// Counts a request that begins without waiting.
    pub fn begin_at_once(&mut self, now: Time, request: &QueuedRequest) {
        let flow = self.group(request.is_retry).raised_flow(request.workspace);
        flow.raised_line(request.priority);
        let place = Place {
            is_retry: request.is_retry,
            workspace: request.workspace,
            priority: request.priority,
        };
        self.count(now, place);
    }

    /// Removes a request that doesn't begin.
    pub fn leave(&mut self, ticket: Ticket) {
        self.remove(ticket);
    }

    /// Refuses a request that waited in vain or can't wait, and returns when its caller may retry.
    pub fn refuse(&mut self, now: Time, request: &QueuedRequest, wait_ms: u64) -> QueueRefusal {
        self.refused.push_back(now);
        forget_old(now, &mut self.refused);
        let left_ms = request.begin_by.millis_since(now);
        // Callers that were refused lately are served one after another when they return.
        let spread_ms = self.refused.len() as f64 / self.begun_per_s(now) * 1_000.0;
        let spread_ms = (spread_ms as u64).clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1);
        let retry_after_ms = wait_ms.saturating_sub(left_ms) + request.seed % spread_ms;
        QueueRefusal {
            retry_after_ms: retry_after_ms.clamp(RETRY_AFTER_RANGE_MS.0, RETRY_AFTER_RANGE_MS.1),
            wait_ms,
        }
    }

    /// Returns the estimated time until a new request begins, in milliseconds.
    fn wait_ms(&self, now: Time, request: &QueuedRequest) -> u64 {
        let ahead = if request.is_retry {
            self.first_attempts.waiting() + self.retries.ahead_of(request.workspace)
        } else {
            self.first_attempts.ahead_of(request.workspace)
        };
        ((ahead + 1) as f64 / self.begun_per_s(now) * 1_000.0) as u64
    }

    fn begun_per_s(&self, now: Time) -> f64 {
        let is_recent = |at: &&Time| now.millis_since(**at) < PACE_WINDOW_MS;
        let begun = self.begun.iter().filter(is_recent).count();
        (begun as f64 * 1_000.0 / PACE_WINDOW_MS as f64).max(MIN_BEGUN_PER_S)
    }

    fn group(&mut self, is_retry: bool) -> &mut Group {
        if is_retry {
            &mut self.retries
        } else {
            &mut self.first_attempts
        }
    }

    fn count(&mut self, now: Time, place: Place) {
        let group = self.group(place.is_retry);
        group.count(now, place.workspace, place.priority);
        self.begun.push_back(now);
        forget_old(now, &mut self.begun);
    }

    fn remove(&mut self, ticket: Ticket) -> Option<Place> {
        let place = self.places.remove(&ticket)?;
        let flow = self.group(place.is_retry).flows.get_mut(&place.workspace);
        let line = flow.and_then(|flow| flow.lines.get_mut(&place.priority));
        if let Some(line) = line {
            line.waiting.retain(|waiting| waiting.ticket != ticket);
        }
        Some(place)
    }
}

fn forget_old(now: Time, times: &mut VecDeque<Time>) {
    while times
        .front()
        .is_some_and(|at| now.millis_since(*at) >= PACE_WINDOW_MS)
    {
        times.pop_front();
    }
}
