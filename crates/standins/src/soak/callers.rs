//! Callers: what they ask, how often they ask again, and what they hear.

use policy::AttemptId;
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
use crate::soak::happening::Happening;
use crate::soak::happening::Heard;
use crate::soak::request::Kind;
use crate::soak::request::Request;
use crate::soak::routers::CALLER_US;
use crate::soak::shell::ShellCall;
use crate::soak::world::World;
use crate::soak::Guarantee;

/// Sends of one request at most.
const SENDS: u32 = 8;

/// Prefix families that prompts share.
const FAMILIES: u64 = 5;

impl World {
    /// Makes a new request and sends it.
    pub(crate) fn on_new_request(&mut self) {
        if self.winding_down {
            return;
        }
        let id = self.requests.len() as u64 + 1;
        let kind = self.some_kind(id);
        let family = self.below(FAMILIES);
        let twice = matches!(kind, Kind::Booking { .. }) && self.one_in(3);
        let deadline_ms = 2_000 + self.below(8_000);
        let request = Request {
            kind,
            fingerprint: 1_000_000 + id,
            blocks: vec![PrefixHash(family), PrefixHash(100 + family)],
            received: 0,
            stream: None,
            attempt: Default::default(),
            sends: 0,
            open: 0,
            served: false,
            neighbour: false,
            mistaken: false,
            knowable: true,
            deadline: self.now.plus_millis(deadline_ms),
        };
        self.requests.insert(id, request);
        self.send_after(0, id);
        if twice {
            let us = match self.one_in(2) {
                true => 0,
                false => self.below(8_000_000),
            };
            self.send_after(us, id);
        }
        let us = 10_000 + self.below(150_000);
        self.after_us(us, Happening::NewRequest);
    }

    fn some_kind(&mut self, id: u64) -> Kind {
        match self.below(20) {
            0..=11 => Kind::Stream {
                tokens: 3 + self.below(40) as u32,
                crashes: self.some_crash(),
            },
            12..=16 => Kind::Booking {
                key: uuid_v7(self.now.as_millis(), id),
            },
            _ => Kind::Lookup,
        }
    }

    fn some_crash(&mut self) -> bool {
        let n = self.settings.one_crashing_in;
        n > 0 && self.one_in(n)
    }

    /// Sends a request through some router after a time.
    fn send_after(&mut self, us: u64, id: u64) {
        let router = self.any_router();
        let request = self.requests.get_mut(&id).expect("it was made");
        request.sends += 1;
        request.open += 1;
        let happening = Happening::Send {
            request: id,
            router,
        };
        self.after_us(us + CALLER_US, happening);
    }

    /// Hands a request to a router's process.
    pub(crate) fn on_send(&mut self, id: u64, router: usize) {
        let shell = &self.shells[router];
        if shell.node.is_none() {
            let heard = Heard::ConnectionLost;
            self.after_us(CALLER_US, Happening::Hear { request: id, heard });
            return;
        }
        if shell.frozen_until > self.now {
            let wait = shell.frozen_until.micros_since(self.now);
            let happening = Happening::Send {
                request: id,
                router,
            };
            self.after_us(wait, happening);
            return;
        }
        let call = self.next_call(router);
        let request = self.requests.get_mut(&id).expect("it was made");
        request.attempt = Default::default();
        let event = CallRequest {
            call,
            token_sha256: config::TOKEN.to_owned(),
            priority: None,
            deadline: Some(request.deadline.max(self.now.plus_millis(2_000))),
            fingerprint: request.fingerprint,
            work: work_of(request),
        };
        let shell_call = ShellCall {
            request: id,
            relay: TokenSequencer::new(request.received),
            attempt: Default::default(),
            failed: false,
            resume: request.stream,
            server: None,
        };
        self.shells[router].calls.insert(call, shell_call);
        let boot = self.shells[router].at;
        self.note(format!("request {id} comes to router {router} as {call:?}"));
        self.on_node(boot, Event::Call(Box::new(event)));
    }

    /// Gives a token to a caller.
    pub(crate) fn give_token(&mut self, id: u64, attempt: AttemptId, token: &Token) {
        let request = self.requests.get_mut(&id).expect("it was sent");
        self.ledger.on_token(id, request, attempt, token);
        request.received += 1;
        request.stream = Some(token.at);
    }

    /// Lets a caller hear of its request.
    pub(crate) fn on_hear(&mut self, id: u64, heard: Heard) {
        let request = self.requests.get_mut(&id).expect("it was sent");
        request.open -= 1;
        match heard {
            Heard::Refused(refusal) => self.on_refused(id, refusal),
            Heard::Answered { answer, replayed } => self.on_answered(id, &answer, replayed),
            Heard::Ended => self.on_ended(id),
            Heard::ConnectionLost => self.on_connection_lost(id),
        }
    }

    fn on_refused(&mut self, id: u64, refusal: Refusal) {
        let request = self.requests.get_mut(&id).expect("it was sent");
        request.received = 0;
        request.stream = None;
        request.mistaken |= refusal.reason() == Reason::CrashedEngines;
        let kind = kind_name(&request.kind);
        let crashes = matches!(request.kind, Kind::Stream { crashes: true, .. });
        let (outcome, reason) = (refusal.outcome().name(), refusal.reason().name());
        self.add_outcome(format!("{kind}/{outcome}/{reason}"));
        let gone = refusal.reason() == Reason::StreamGone;
        let again = refusal.retry_at().is_some() || gone || crashes || kind == "booking";
        if again {
            let us = 20_000 + self.below(1_500_000);
            self.send_again(us, id);
        }
    }

    fn on_answered(&mut self, id: u64, answer: &StoredResponse, replayed: bool) {
        let request = self.requests.get_mut(&id).expect("it was sent");
        request.served = true;
        let kind = kind_name(&request.kind);
        match request.kind.clone() {
            Kind::Booking { key } => self.ledger.on_booking_answer(&key, answer),
            Kind::Lookup | Kind::Stream { .. } => {
                let own = format!("request {id} ");
                if !answer.body.starts_with(own.as_bytes()) {
                    let seen = format!("request {id} got the answer {answer:?}");
                    self.ledger.broken(Guarantee::WholeAnswer, seen);
                }
            }
        }
        self.add_outcome(format!(
            "{kind}/answered{}",
            if replayed { "_again" } else { "" }
        ));
        if kind == "booking" && self.one_in(3) {
            let us = 100_000 + self.below(10_000_000);
            self.send_again(us, id);
        }
    }

    fn on_ended(&mut self, id: u64) {
        let request = self.requests.get_mut(&id).expect("it was sent");
        request.served = true;
        let received = request.received;
        if let Kind::Stream { tokens, .. } = request.kind {
            self.ledger.on_end(id, received, tokens);
        }
        self.add_outcome("stream/whole".to_owned());
    }

    fn on_connection_lost(&mut self, id: u64) {
        let resumes = !self.one_in(5);
        let request = self.requests.get_mut(&id).expect("it was sent");
        let kind = kind_name(&request.kind);
        if !resumes {
            request.received = 0;
            request.stream = None;
        }
        self.add_outcome(format!("{kind}/connection_lost"));
        let us = 10_000 + self.below(500_000);
        self.send_again(us, id);
    }

    fn send_again(&mut self, us: u64, id: u64) {
        if self.requests[&id].sends < SENDS {
            self.send_after(us, id);
        }
    }

    fn add_outcome(&mut self, outcome: String) {
        *self.outcomes.entry(outcome).or_default() += 1;
    }
}

fn work_of(request: &Request) -> Work {
    match (&request.kind, request.stream) {
        (Kind::Stream { .. }, Some(at)) => Work::Resume(Resume {
            workspace: config::WORKSPACE.to_owned(),
            server: config::engine_name(at.engine),
            incarnation: Incarnation(at.incarnation),
            delivered: request.received,
        }),
        (Kind::Stream { tokens, .. }, None) => Work::Generate(Generate {
            model: config::MODEL.to_owned(),
            blocks: request.blocks.clone(),
            prompt_tokens: 4_100,
            max_tokens: *tokens,
        }),
        (Kind::Booking { key }, _) => service_call("POST", Some(key.clone())),
        (Kind::Lookup, _) => service_call("GET", None),
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

fn kind_name(kind: &Kind) -> &'static str {
    match kind {
        Kind::Stream { crashes: true, .. } => "crashing_stream",
        Kind::Stream { .. } => "stream",
        Kind::Booking { .. } => "booking",
        Kind::Lookup => "lookup",
    }
}

fn uuid_v7(at_ms: u64, id: u64) -> String {
    let (high, low) = (at_ms >> 16, at_ms & 0xffff);
    format!("{high:08x}-{low:04x}-7000-8000-{id:012x}")
}
