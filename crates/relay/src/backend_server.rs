//! One incarnation of a backend server, and what this router knows about it.

use std::collections::HashMap;

use policy::Time;

use crate::backend_pace::RequestSum;
use crate::own_requests::Load;
use crate::own_requests::OwnRequests;
use crate::responses::Responses;
use crate::server_end::ServerEnd;
use crate::server_pace::ServerPace;
use crate::server_room::ServerRoom;
use crate::BrittlenessStatement;
use crate::Build;
use crate::LimitStatement;
use crate::Registration;
use crate::Rejections;
use crate::RejectionsUpdate;
use crate::ServerState;

/// Time for which another router's report is valid, in milliseconds.
const OTHER_REPORT_TTL_MS: u64 = 1_500;

/// Factor by which prefill may exceed its estimate before an engine counts as unresponsive.
const PREFILL_SLACK_FACTOR: u64 = 2;

/// What another router, or the hub of a region, reported.
#[derive(Clone, Copy, Debug)]
struct OtherReport {
    load: Load,
    responses: Responses,
    valid_until: Time,
}

/// One incarnation of a backend server.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Its registration, with the newest version of each model's weights seen anywhere.
    pub registration: Registration,
    /// Hash of its id and start time; the same on every router.
    pub instance_hash: u64,
    /// Version of its software.
    pub build: Build,
    /// When its registration was last received.
    pub seen_at: Time,
    /// Time until which it gets no requests because it rejected one or failed.
    pub avoid_until: Time,
    /// Time until which it has asked this router for no requests.
    pub retry_at: Time,
    /// Time until which this router gets no permit for a request to it.
    pub permit_at: Time,
    /// Time until which it is expected to reject requests because it loads new weights.
    pub switching_until: Time,
    /// Rejections in a row, recorded where the room of servers is limited.
    pub rejections: Rejections,
    /// Room for requests of this router, renewed where the room of servers is limited.
    pub(crate) room: ServerRoom,
    /// Number of consecutive failures.
    pub failures: u32,
    /// Whether it has said in a response, to this router or another, that it leaves.
    pub(crate) says_leaving: bool,
    /// What it last said of a limit on its requests; none if it never named one.
    pub(crate) limit_statement: Option<LimitStatement>,
    /// What it last said of the rejections that it stands; none if it never did.
    pub(crate) brittleness_statement: Option<BrittlenessStatement>,
    /// Evidence that it is over although its registration remains.
    pub(crate) end: Option<ServerEnd>,
    /// When its registration was first found missing, if it is marked missing.
    pub(crate) missing_since: Option<Time>,
    /// How slow it is against the others of its service.
    pub(crate) pace: ServerPace,
    /// Its requests in flight over time, while paces are learned.
    pub(crate) request_sum: RequestSum,
    /// This router's requests in flight, and its responses to them.
    pub(crate) own: OwnRequests,
    /// Reports of other routers, by the hash of the router's or region's name.
    others: HashMap<u64, OtherReport>,
}

/// Returns the hash of an incarnation's id and start time; the same on every router.
pub(crate) fn instance_hash(registration: &Registration) -> u64 {
    policy::name_hash(&registration.id) ^ registration.started_ms
}

impl BackendServer {
    pub(crate) fn new(now: Time, registration: Registration) -> BackendServer {
        BackendServer {
            instance_hash: instance_hash(&registration),
            build: Build::new(&registration.build),
            pace: ServerPace::new(registration.weights.is_empty()),
            request_sum: RequestSum::default(),
            registration,
            seen_at: now,
            avoid_until: Time(0),
            retry_at: Time(0),
            permit_at: Time(0),
            switching_until: Time(0),
            rejections: Rejections::default(),
            room: ServerRoom::default(),
            failures: 0,
            says_leaving: false,
            limit_statement: None,
            brittleness_statement: None,
            end: None,
            missing_since: None,
            own: OwnRequests::default(),
            others: HashMap::new(),
        }
    }

    /// Returns for how long it has not responded to requests, in milliseconds, minus
    /// `PREFILL_SLACK_FACTOR` times the estimated prefill time outstanding for all routers.
    /// Counts the time without a response to this router, and that to any router.
    pub fn unresponsive_ms(&self, now: Time) -> u64 {
        let own_ms = self.own.silence_ms(now);
        let shared_ms = self.responses(now).shared_silence_ms(now);
        let slack_ms = self.prefill_slack_ms(now);
        own_ms.max(shared_ms).saturating_sub(slack_ms)
    }

    /// Returns for how long it has not responded to this router's requests, in milliseconds, less
    /// the same allowance for prefill.
    pub fn own_silence_ms(&self, now: Time) -> u64 {
        let slack_ms = self.prefill_slack_ms(now);
        self.own.silence_ms(now).saturating_sub(slack_ms)
    }

    /// Returns the time for which prefill may leave it without a response, in milliseconds.
    fn prefill_slack_ms(&self, now: Time) -> u64 {
        let slack_ms = self.load(now).prefill_ms * PREFILL_SLACK_FACTOR;
        (slack_ms as f64 * self.pace(now).max(1.0)) as u64
    }

    /// Returns when it last responded to this router.
    pub fn responded_at(&self) -> Option<Time> {
        self.own.responded_at()
    }

    /// Returns when it last responded to another router, as far as this one knows.
    pub fn responded_to_others_at(&self, now: Time) -> Option<Time> {
        let reports = self.valid_reports(now);
        reports
            .filter_map(|(_, other)| other.responses.responded_at)
            .max()
    }

    /// Returns this router's requests in flight.
    pub fn own_load(&self) -> Load {
        self.own.load()
    }

    /// Returns how many of this router's requests have no response yet.
    pub fn own_waiting(&self) -> u32 {
        self.own.waiting()
    }

    /// Returns the requests of all routers in flight, as far as this router knows.
    pub fn load(&self, now: Time) -> Load {
        self.load_with(now, |_| true)
    }

    /// Returns the requests of this router and of the routers for which `counts` is true.
    pub fn load_with<F>(&self, now: Time, counts: F) -> Load
    where
        F: Fn(u64) -> bool,
    {
        let counted = self
            .valid_reports(now)
            .filter(|(router, _)| counts(*router));
        counted.fold(self.own.load(), |sum, (_, other)| Load {
            requests: sum.requests + other.load.requests,
            prefill_ms: sum.prefill_ms + other.load.prefill_ms,
        })
    }

    /// Returns what all routers observed of its responses, as far as this router knows.
    pub fn responses(&self, now: Time) -> Responses {
        self.responses_with(now, |_| true)
    }

    /// Returns what this router and the routers for which `counts` is true observed of its
    /// responses.
    pub fn responses_with<F>(&self, now: Time, counts: F) -> Responses
    where
        F: Fn(u64) -> bool,
    {
        let counted = self
            .valid_reports(now)
            .filter(|(router, _)| counts(*router));
        counted.fold(self.own.responses(now), |sum, (_, other)| {
            sum.merge(other.responses)
        })
    }

    /// Returns the age of the oldest valid report of another router, in milliseconds.
    pub fn load_age_ms(&self, now: Time) -> u64 {
        let ages = self
            .valid_reports(now)
            .map(|(_, other)| OTHER_REPORT_TTL_MS - other.valid_until.millis_since(now));
        ages.max().unwrap_or(0)
    }

    /// Records another router's report.
    pub fn set_other_report(&mut self, now: Time, router: u64, load: Load, responses: Responses) {
        let report = OtherReport {
            load,
            responses,
            valid_until: now.plus_millis(OTHER_REPORT_TTL_MS),
        };
        self.others.insert(router, report);
    }

    /// Removes another router's report.
    pub(crate) fn clear_other_report(&mut self, router: u64) {
        self.others.remove(&router);
    }

    /// Returns the version of its weights of `model`.
    pub fn weights(&self, model: &str) -> Option<u64> {
        self.registration.weights.get(model).copied()
    }

    /// Records a version of its weights if it is newer than the known one, and returns
    /// whether it is. A model that isn't registered is ignored.
    pub fn record_weights(&mut self, model: &str, version: u64) -> bool {
        let Some(known) = self.registration.weights.get_mut(model) else {
            return false;
        };
        if *known >= version {
            return false;
        }
        *known = version;
        true
    }

    /// Records that it is expected to reject requests until `until` while it loads
    /// `version` of a model's weights. Ignored if it already has that version.
    pub fn expect_switch(&mut self, model: &str, version: u64, until: Time) {
        if self.weights(model).is_none_or(|has| has < version) {
            self.switching_until = self.switching_until.max(until);
        }
    }

    /// Returns whether it may get new requests.
    pub fn takes_requests(&self, now: Time) -> bool {
        self.is_ready() && self.ready_at() <= now
    }

    /// Returns the time from which it may get new requests, as far as this router knows.
    pub fn ready_at(&self) -> Time {
        self.avoid_until
            .max(self.switching_until)
            .max(self.retry_at)
            .max(self.permit_at)
            .max(self.rejections.until())
    }

    /// Returns whether it gets no requests because it rejected one or failed.
    pub fn is_avoided(&self, now: Time) -> bool {
        self.avoid_until.max(self.rejections.until()) > now
    }

    /// Returns what other routers are to know of its rejections, if anything.
    pub fn rejections_update(&self, now: Time) -> Option<RejectionsUpdate> {
        self.rejections.update(now, self.instance_hash)
    }

    /// Returns whether it runs and isn't draining, as far as this router knows.
    pub fn is_ready(&self) -> bool {
        self.registration.state == ServerState::Ready && !self.is_over() && !self.says_leaving
    }

    /// Records that a request of this router failed without a response.
    pub fn record_failure(&mut self, now: Time) {
        self.own.record_failure(now);
    }

    pub(crate) fn begin_request(&mut self, now: Time, prefill_ms: u64) {
        self.own.begin(now, prefill_ms);
        self.room.begin();
    }

    /// Records that this router doesn't read the response to one of its requests at present.
    pub fn begin_hold_back(&mut self) {
        self.own.begin_hold_back();
    }

    /// Records that it reads that again.
    pub fn end_hold_back(&mut self, now: Time) {
        self.own.end_hold_back(now);
    }

    pub(crate) fn end_request(&mut self, prefill_ms: u64) {
        self.own.end(prefill_ms);
        self.room.end();
    }

    /// Applies a newer registration of the same incarnation. Returns whether it began to drain.
    pub(crate) fn update_registration(
        &mut self,
        now: Time,
        mut registration: Registration,
    ) -> bool {
        let previous_state = self.registration.state;
        for (model, version) in &self.registration.weights {
            if let Some(reported) = registration.weights.get_mut(model) {
                *reported = (*reported).max(*version);
            }
        }
        if previous_state == ServerState::Draining {
            registration.state = ServerState::Draining;
        }
        self.seen_at = now;
        self.missing_since = None;
        self.registration = registration;
        previous_state == ServerState::Ready && self.registration.state == ServerState::Draining
    }

    fn valid_reports(&self, now: Time) -> impl Iterator<Item = (u64, &OtherReport)> {
        let reports = self.others.iter().map(|(router, other)| (*router, other));
        reports.filter(move |(_, other)| other.valid_until > now)
    }
}
