//! A router with its view of the servers, its queue and its messages.

use std::collections::BTreeMap;

use policy::Arrival;
use policy::Time;
use relay::turn_ms;
use relay::Configuration;
use relay::Fleet;
use relay::Gossip;
use relay::LoadUpdate;
use relay::Placement;
use relay::PlacementRequest;
use relay::PrefixStores;
use relay::QueuedRequest;
use relay::Rejection;
use relay::RequestQueue;
use relay::Residency;
use relay::Routers;
use relay::ServerKey;
use relay::StreamBuild;
use relay::Ticket;
use relay::Unplaceable;

use crate::common::no_weights;
use crate::common::SERVICE;

/// A request as its router sees it.
#[derive(Clone, Debug)]
pub struct Call {
    pub request: usize,
    pub queued: QueuedRequest,
    pub objective_ms: u64,
    pub deadline: Time,
    pub tried: Vec<ServerKey>,
}

/// What becomes of a call at the router.
#[derive(Debug)]
pub enum Step {
    Sent(Call, ServerKey),
    Refused { call: Call, retry_after_ms: u64 },
}

pub struct Router {
    pub hash: u64,
    pub region: u64,
    pub domain: &'static str,
    pub fleet: Fleet,
    pub queue: RequestQueue,
    routers: usize,
    waiting: BTreeMap<Ticket, Call>,
    sent_loads: Vec<LoadUpdate>,
}

impl Router {
    pub fn new(
        hash: u64,
        region: u64,
        domain: &'static str,
        fleet: Fleet,
        routers: usize,
    ) -> Router {
        Router {
            hash,
            region,
            domain,
            fleet,
            queue: RequestQueue::default(),
            routers,
            waiting: BTreeMap::new(),
            sent_loads: Vec::new(),
        }
    }

    /// Sends a request, lets it wait or refuses it.
    pub fn submit(&mut self, now: Time, cfg: &Configuration, call: Call) -> Option<Step> {
        if !cfg.has_quotas() {
            return Some(match self.choose(now, cfg, &call) {
                Ok(server) => Step::Sent(call, server),
                Err(e) => Step::Refused {
                    call,
                    retry_after_ms: e.retry_after_ms(),
                },
            });
        }
        if self.queue.is_empty() {
            if let Ok(server) = self.choose(now, cfg, &call) {
                self.queue.begin_at_once(now, &call.queued);
                return Some(Step::Sent(call, server));
            }
        }
        match self.queue.enter(now, &call.queued) {
            Ok(ticket) => {
                self.waiting.insert(ticket, call);
                None
            }
            Err(refusal) => Some(Step::Refused {
                call,
                retry_after_ms: refusal.retry_after_ms,
            }),
        }
    }

    /// Sends the waiting requests for which there is room, and refuses those that are late.
    pub fn pump(&mut self, now: Time, cfg: &Configuration) -> Vec<Step> {
        let mut steps = Vec::new();
        let late = self
            .waiting
            .iter()
            .filter(|(_, call)| call.queued.begin_by <= now);
        for ticket in late.map(|(ticket, _)| *ticket).collect::<Vec<_>>() {
            self.queue.leave(ticket);
            let call = self.waiting.remove(&ticket).unwrap();
            let retry_after_ms = self.queue.refuse(now, &call.queued, 0).retry_after_ms;
            steps.push(Step::Refused {
                call,
                retry_after_ms,
            });
        }
        while let Some(ticket) = self.queue.next(now) {
            let call = self.waiting[&ticket].clone();
            let Ok(server) = self.choose(now, cfg, &call) else {
                break;
            };
            self.queue.begin(now, ticket);
            self.waiting.remove(&ticket);
            steps.push(Step::Sent(call, server));
        }
        steps
    }

    /// Chooses a server and counts the request as sent there.
    fn choose(
        &mut self,
        now: Time,
        cfg: &Configuration,
        call: &Call,
    ) -> Result<ServerKey, Unplaceable> {
        let routers = Routers {
            own_hash: self.hash,
            count: self.routers,
        };
        let need = self.queue.need(now, call.queued.workspace);
        self.fleet.renew_rooms(now, SERVICE, routers, need);
        let placement = Placement {
            fleet: &self.fleet,
            residency: &Residency::default(),
            weights: &no_weights(5_000),
            stores: PrefixStores {
                configuration: Some(cfg),
                regions: &BTreeMap::new(),
            },
            limits_room: cfg.has_quotas(),
            domain: self.domain,
            now,
        };
        let choice = placement.choose(&PlacementRequest {
            service: SERVICE,
            objective_ms: call.objective_ms,
            deadline: call.deadline,
            prompt: None,
            stream_build: StreamBuild::Any,
            tried: &call.tried,
            seed: call.queued.seed,
        })?;
        self.fleet.begin_request(now, choice.server, 0);
        Ok(choice.server)
    }

    pub fn on_begun(&mut self, now: Time, server: ServerKey, sent_at: Time) -> bool {
        self.fleet.end_prefill(now, server, 0);
        self.fleet.end_waiting(server);
        let server = self.fleet.get_mut(server).unwrap();
        server.rejections.record_ran(now, sent_at)
    }

    /// Records a rejection; returns whether the other routers are to know at once.
    pub fn on_rejected(
        &mut self,
        now: Time,
        cfg: &Configuration,
        key: ServerKey,
        sent_at: Time,
    ) -> bool {
        let turn_ms = self.turn_ms(now, key);
        let server = self.fleet.get_mut(key).unwrap();
        let is_news = if cfg.has_quotas() {
            let is_shared = server.load(now).requests <= server.registration.slots;
            let rejection = Rejection {
                sent_at,
                is_shared,
                turn_ms: if is_shared { turn_ms } else { 0 },
            };
            server.rejections.record(now, rejection) && is_shared
        } else {
            server.avoid_until = now.plus_millis(250);
            false
        };
        self.fleet.end_prefill(now, key, 0);
        self.fleet.end_waiting(key);
        self.fleet.end_request(key, 0);
        is_news
    }

    /// Records a request that failed as its server crashed.
    pub fn on_failed(&mut self, now: Time, key: ServerKey, has_begun: bool) {
        if !has_begun {
            self.fleet.end_waiting(key);
        }
        self.fleet.end_request(key, 0);
        let server = self.fleet.get_mut(key).unwrap();
        server.avoid_until = now.plus_millis(700);
        server.failures += 1;
        server.record_failure(now);
    }

    /// Returns the message for the other routers, of a hub with the loads of `in_region`.
    pub fn message(&mut self, now: Time, in_region: Option<&[u64]>) -> Gossip {
        let counts = |router: u64| in_region.is_some_and(|routers| routers.contains(&router));
        let servers = self.fleet.iter().map(|(_, server)| server);
        let loads = servers.filter_map(|server| LoadUpdate::new(now, server, counts));
        let loads: Vec<_> = loads.collect();
        let servers = self.fleet.iter().map(|(_, server)| server);
        let rejections = servers.filter_map(|server| server.rejections_update(now));
        let message = Gossip {
            from: self.hash,
            region: in_region.map(|_| self.region),
            loads: loads.clone(),
            rejections: rejections.collect(),
            counted_routers: self.fleet.counted_routers(now, counts),
            ..Gossip::default()
        };
        self.sent_loads = loads;
        message
    }

    /// Applies a message; returns whether it holds news of rejections.
    pub fn apply(&mut self, now: Time, message: &Gossip) -> bool {
        let is_own_region = message.region == Some(self.region);
        let own = is_own_region.then(|| self.sent_loads.clone());
        message.apply(
            now,
            &mut self.fleet,
            &mut Residency::default(),
            own.as_deref(),
        );
        let mut is_news = false;
        for update in &message.rejections {
            let key = self.fleet.by_instance_hash(update.server).unwrap();
            let turn_ms = self.turn_ms(now, key);
            let server = self.fleet.get_mut(key).unwrap();
            is_news |= server.rejections.merge(Arrival::at(now), *update, turn_ms);
        }
        is_news
    }

    fn turn_ms(&self, now: Time, key: ServerKey) -> u64 {
        let server = self.fleet.get(key).unwrap();
        let in_a_row = u64::from(server.rejections.in_a_row(now));
        let hash = policy::rendezvous_weight(server.instance_hash, in_a_row);
        let own = policy::rendezvous_weight(hash, self.hash);
        let routers = 1..=self.routers as u64;
        let before = routers.filter(|other| policy::rendezvous_weight(hash, *other) > own);
        turn_ms(before.count())
    }
}
