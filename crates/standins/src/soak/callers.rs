//! Callers: which requests they make, when they submit them again, what they receive.

use policy::AttemptId;
use policy::CallId;
use policy::CallRequest;
use policy::Event;
use policy::Generate;
use policy::Incarnation;
use policy::PrefixHash;
use policy::Reason;
use policy::Refusal;
use policy::Resume;
use policy::ServiceCall;
use policy::StoredResponse;
use policy::TokenSequencer;
use policy::Work;

use crate::soak::config;
use crate::soak::engine::Token;
use crate::soak::request::Request;
use crate::soak::request::RequestKind;
use crate::soak::router_vm::RouterCall;
use crate::soak::routers::CALLER_LATENCY_US;
use crate::soak::scheduled_event::CallerResult;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Maximum number of times that a caller submits one request.
const MAX_SUBMISSIONS: u32 = 8;

/// Number of distinct prompt prefixes; each request uses one of them.
const PREFIX_FAMILIES: u64 = 5;

impl World {
    /// Creates a random request and submits it; a third of the bookings are submitted twice.
    pub(crate) fn on_new_request(&mut self) {
        if self.winding_down {
            return;
        }
        let id = self.requests.len() as u64 + 1;
        let kind = self.random_kind(id);
        let family = self.random_below(PREFIX_FAMILIES);
        let submitted_twice = matches!(kind, RequestKind::Booking { .. }) && self.one_in(3);
        let deadline_ms = 2_000 + self.random_below(8_000);
        let request = Request {
            kind,
            fingerprint: 1_000_000 + id,
            blocks: vec![PrefixHash(family), PrefixHash(100 + family)],
            received: 0,
            stream: None,
            attempt: Default::default(),
            submissions: 0,
            pending: 0,
            served: false,
            co_located: false,
            refused_as_poison: false,
            crashes_knowable: true,
            deadline: self.now.plus_millis(deadline_ms),
        };
        self.requests.insert(id, request);
        self.submit_after_us(0, id);
        if submitted_twice {
            let us = match self.one_in(2) {
                true => 0,
                false => self.random_below(8_000_000),
            };
            self.submit_after_us(us, id);
        }
        let us = 10_000 + self.random_below(150_000);
        self.schedule_after_us(us, ScheduledEvent::NewRequest);
    }

    fn random_kind(&mut self, id: u64) -> RequestKind {
        match self.random_below(20) {
            0..=11 => RequestKind::Stream {
                tokens: 3 + self.random_below(40) as u32,
                crashes: self.random_crash(),
            },
            12..=16 => RequestKind::Booking {
                key: uuid_v7(self.now.as_millis(), id),
            },
            _ => RequestKind::Lookup,
        }
    }

    fn random_crash(&mut self) -> bool {
        let n = self.settings.one_crashing_in;
        n > 0 && self.one_in(n)
    }

    /// Submits a request to a random router after `us` microseconds.
    fn submit_after_us(&mut self, us: u64, id: u64) {
        let router = self.random_router();
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.submissions += 1;
        request.pending += 1;
        let scheduled = ScheduledEvent::Submit {
            request: id,
            router,
        };
        self.schedule_after_us(us + CALLER_LATENCY_US, scheduled);
    }

    /// Passes a submitted request to a router's process; its connection breaks if that is down.
    pub(crate) fn on_submit(&mut self, id: u64, router: usize) {
        let vm = &self.vms[router];
        if vm.node.is_none() {
            let result = CallerResult::ConnectionLost;
            self.schedule_after_us(
                CALLER_LATENCY_US,
                ScheduledEvent::CallerResult {
                    request: id,
                    result,
                },
            );
            return;
        }
        if vm.frozen_until > self.now {
            let wait = vm.frozen_until.micros_since(self.now);
            let scheduled = ScheduledEvent::Submit {
                request: id,
                router,
            };
            self.schedule_after_us(wait, scheduled);
            return;
        }
        let call = self.next_call_id(router);
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.attempt = Default::default();
        let event = CallRequest {
            call,
            token_sha256: config::TOKEN_HASH.to_owned(),
            priority: None,
            deadline: Some(request.deadline.max(self.now.plus_millis(2_000))),
            fingerprint: request.fingerprint,
            work: work_of(request),
        };
        let router_call = RouterCall {
            request: id,
            sequencer: TokenSequencer::new(request.received),
            attempt: Default::default(),
            failed: false,
            resume: request.stream,
            server: None,
        };
        self.vms[router].calls.insert(call, router_call);
        let boot = self.vms[router].boot;
        self.add_trace_line(format!("request {id} comes to router {router} as {call:?}"));
        self.on_router_event(boot, Event::Call(Box::new(event)));
    }

    /// Records a token that reaches its caller.
    pub(crate) fn deliver_token(&mut self, id: u64, attempt: AttemptId, token: &Token) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        self.ledger.on_token(id, request, attempt, token);
        request.received += 1;
        request.stream = Some(token.location);
    }

    /// Handles the end of a submission at its caller.
    pub(crate) fn on_caller_result(&mut self, id: u64, result: CallerResult) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.pending -= 1;
        match result {
            CallerResult::Refused(refusal) => self.on_refused(id, refusal),
            CallerResult::Responded { response, replayed } => {
                self.on_response(id, &response, replayed)
            }
            CallerResult::Ended => self.on_stream_completed(id),
            CallerResult::ConnectionLost => self.on_connection_lost(id),
        }
    }

    fn on_refused(&mut self, id: u64, refusal: Refusal) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.received = 0;
        request.stream = None;
        request.refused_as_poison |= refusal.reason() == Reason::CrashedEngines;
        let kind = kind_name(&request.kind);
        let crashes = matches!(request.kind, RequestKind::Stream { crashes: true, .. });
        let (outcome, reason) = (refusal.outcome().name(), refusal.reason().name());
        self.add_outcome(format!("{kind}/{outcome}/{reason}"));
        let gone = refusal.reason() == Reason::StreamGone;
        let again = refusal.retry_at().is_some() || gone || crashes || kind == "booking";
        if again {
            let us = 20_000 + self.random_below(1_500_000);
            self.resubmit_after_us(us, id);
        }
    }

    fn on_response(&mut self, id: u64, response: &StoredResponse, replayed: bool) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.served = true;
        let kind = kind_name(&request.kind);
        match request.kind.clone() {
            RequestKind::Booking { key } => self.ledger.on_booking_response(&key, response),
            RequestKind::Lookup | RequestKind::Stream { .. } => {
                let own = format!("request {id} ");
                if !response.body.starts_with(own.as_bytes()) {
                    let details = format!("request {id} got the answer {response:?}");
                    self.ledger
                        .report_violation(Guarantee::WholeAnswer, details);
                }
            }
        }
        self.add_outcome(format!(
            "{kind}/answered{}",
            if replayed { "_again" } else { "" }
        ));
        if kind == "booking" && self.one_in(3) {
            let us = 100_000 + self.random_below(10_000_000);
            self.resubmit_after_us(us, id);
        }
    }

    fn on_stream_completed(&mut self, id: u64) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        request.served = true;
        let received = request.received;
        if let RequestKind::Stream { tokens, .. } = request.kind {
            self.ledger.on_stream_end(id, received, tokens);
        }
        self.add_outcome("stream/whole".to_owned());
    }

    fn on_connection_lost(&mut self, id: u64) {
        let resumes = !self.one_in(5);
        let request = self
            .requests
            .get_mut(&id)
            .expect("requests are never removed");
        let kind = kind_name(&request.kind);
        if !resumes {
            request.received = 0;
            request.stream = None;
        }
        self.add_outcome(format!("{kind}/connection_lost"));
        let us = 10_000 + self.random_below(500_000);
        self.resubmit_after_us(us, id);
    }

    /// Submits a request again after `us` microseconds, unless it was submitted too often.
    fn resubmit_after_us(&mut self, us: u64, id: u64) {
        if self.requests[&id].submissions < MAX_SUBMISSIONS {
            self.submit_after_us(us, id);
        }
    }

    fn add_outcome(&mut self, outcome: String) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }

    /// Returns a new call id for a router's process.
    fn next_call_id(&mut self, router: usize) -> CallId {
        let vm = &mut self.vms[router];
        vm.next_call_id += 1;
        CallId(vm.next_call_id)
    }
}

fn work_of(request: &Request) -> Work {
    match (&request.kind, request.stream) {
        (RequestKind::Stream { .. }, Some(location)) => Work::Resume(Resume {
            workspace: config::WORKSPACE.to_owned(),
            server: config::engine_name(location.engine),
            incarnation: Incarnation(location.incarnation),
            delivered: request.received,
        }),
        (RequestKind::Stream { tokens, .. }, None) => Work::Generate(Generate {
            model: config::MODEL.to_owned(),
            blocks: request.blocks.clone(),
            prompt_tokens: 4_100,
            max_tokens: *tokens,
        }),
        (RequestKind::Booking { key }, _) => service_call("POST", Some(key.clone())),
        (RequestKind::Lookup, _) => service_call("GET", None),
    }
}

fn service_call(method: &str, key: Option<String>) -> Work {
    Work::Service(ServiceCall {
        service: config::SERVICE.to_owned(),
        method: method.to_owned(),
        path: "/blocks".to_owned(),
        key,
    })
}

fn kind_name(kind: &RequestKind) -> &'static str {
    match kind {
        RequestKind::Stream { crashes: true, .. } => "crashing_stream",
        RequestKind::Stream { .. } => "stream",
        RequestKind::Booking { .. } => "booking",
        RequestKind::Lookup => "lookup",
    }
}

fn uuid_v7(at_ms: u64, id: u64) -> String {
    let (high, low) = (at_ms >> 16, at_ms & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{id:012x}")
}
