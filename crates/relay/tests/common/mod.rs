//! Fixtures shared by the tests of the routing decisions.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;

use policy::Arrival;
use policy::Time;
use relay::CachePartition;
use relay::Fleet;
use relay::PlacementRequest;
use relay::Prompt;
use relay::PromptPart;
use relay::Reading;
use relay::Registration;
use relay::Revision;
use relay::ServerKey;
use relay::ServerState;
use relay::StreamBuild;
use relay::Weights;

pub const MODEL: &str = "long";
pub const SERVICE: &str = "engines";

/// A long prompt: a shared prefix and the part that only this request has.
pub const LONG: [PromptPart; 2] = [
    PromptPart {
        id: 1,
        tokens: 13_300,
    },
    PromptPart {
        id: 2,
        tokens: 3_700,
    },
];

pub fn at(ms: u64) -> Time {
    Time::from_millis(1_000_000 + ms)
}

pub fn registration(id: &str, weights: u64) -> Registration {
    Registration {
        id: id.into(),
        started_ms: 1,
        service: SERVICE.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        domain: "a".into(),
        slots: 24,
        build: "v1".into(),
        state: ServerState::Ready,
        weights: BTreeMap::from([(Arc::from(MODEL), weights)]),
    }
}

/// Time from which routers don't use replaced weights if it is unknown how long ago they were replaced.
pub const UNKNOWN_DUE_MS: u64 = 2_500;

/// Returns the record of a router that started at 0 and knows no announced weights. Replaced ones are due
/// `due_ms` after the announcement.
pub fn no_weights(due_ms: u64) -> Weights {
    Weights::new(due_ms, at(UNKNOWN_DUE_MS))
}

/// Records that a version was announced just now.
pub fn announce_now(weights: &mut Weights, now: Time, version: u64) {
    weights.confirm(now);
    weights.announce(Arrival::at(now), MODEL, version, 0);
}

/// Returns a reading of the store at a revision, some time after an outage.
pub fn reading(number: u64, outage_until: Time) -> Reading {
    reading_in(1, number, outage_until)
}

/// Returns a reading of the store at a revision of an era.
pub fn reading_in(era: u64, number: u64, outage_until: Time) -> Reading {
    Reading {
        as_of: Revision { era, number },
        read_at: at(0),
        outage_until,
        outages_known_since: Time(0),
    }
}

pub fn fleet(count: usize, weights: u64) -> Fleet {
    let mut fleet = Fleet::default();
    for i in 0..count {
        fleet.apply(at(0), registration(&format!("e{i}"), weights));
    }
    fleet
}

pub fn keys(fleet: &Fleet) -> Vec<ServerKey> {
    fleet.iter().map(|(key, _)| key).collect()
}

pub fn part(id: u64, tokens: u32) -> PromptPart {
    PromptPart { id, tokens }
}

pub fn request(parts: &[PromptPart]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: SERVICE,
        objective_ms: 800,
        deadline: at(60_000),
        prompt: Some(Prompt {
            model: MODEL,
            parts,
            partition: CachePartition::default(),
        }),
        stream_build: StreamBuild::Any,
        tried: &[],
        seed: 7,
    }
}
