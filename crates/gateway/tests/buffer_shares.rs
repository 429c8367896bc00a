//! Requests and responses of one service leave room in the buffers for those of other services.

use gateway::ConnectionKey;
use gateway::HeldFor;
use gateway::PortUsage;
use gateway::Room;
use gateway::ServiceKey;
use gateway::Stage;
use gateway::UsageLimits;
use policy::Time;

const KIB: u64 = 1 << 10;

const FAULTY: ServiceKey = ServiceKey(1);
const OTHER: ServiceKey = ServiceKey(2);

fn now() -> Time {
    Time::from_millis(1_000_000)
}

fn usage() -> PortUsage {
    PortUsage::new(UsageLimits {
        buffer_bytes: 10_000 * KIB,
        connection_bytes: u64::MAX,
        connections: u64::MAX,
        descriptors: u64::MAX,
        min_idle_ms: 200,
    })
}

/// Begins a request of a service if there is room for `bytes` bytes of it.
fn try_request(usage: &mut PortUsage, service: ServiceKey, bytes: u64) -> Option<ConnectionKey> {
    let key = usage.open(now());
    usage.begin_request(now(), key, 0);
    usage.set_service(key, service);
    if usage.buffer_room(now(), key, bytes, HeldFor::Request) != Room::Free {
        usage.close(key);
        return None;
    }
    usage.hold(now(), key, bytes, HeldFor::Request);
    usage.set_stage(now(), key, Stage::Running);
    Some(key)
}

/// Holds bytes of the response on a connection if there is room for them.
fn try_response(usage: &mut PortUsage, key: ConnectionKey, bytes: u64) -> bool {
    let has_room = usage.buffer_room(now(), key, bytes, HeldFor::Response) == Room::Free;
    if has_room {
        usage.hold(now(), key, bytes, HeldFor::Response);
    }
    has_room
}

#[test]
fn requests_of_one_service_leave_room_to_those_of_another() {
    let mut usage = usage();
    while try_request(&mut usage, FAULTY, 64 * KIB).is_some() {}

    assert!(try_request(&mut usage, OTHER, 64 * KIB).is_some());
}

// Guards against responses of one service that fill the buffers, so that requests of another are refused.
#[test]
fn responses_of_one_service_leave_room_to_another() {
    let mut usage = usage();
    let mut faulty = Vec::new();
    while let Some(key) = try_request(&mut usage, FAULTY, 64 * KIB) {
        faulty.push(key);
    }
    while faulty
        .iter()
        .any(|key| try_response(&mut usage, *key, 10 * KIB))
    {}

    let other = try_request(&mut usage, OTHER, 64 * KIB).unwrap();
    assert!(try_response(&mut usage, other, 64 * KIB));
}

// Guards against bytes that remain counted for a service after its requests.
#[test]
fn a_share_is_free_again_once_its_requests_are_over() {
    let mut usage = usage();
    let mut accepted = 0;
    for _ in 0..3 {
        let mut keys = Vec::new();
        while let Some(key) = try_request(&mut usage, FAULTY, 64 * KIB) {
            keys.push(key);
        }
        accepted = accepted.max(keys.len());
        assert_eq!(keys.len(), accepted);
        for (i, key) in keys.into_iter().enumerate() {
            if i % 2 == 0 {
                usage.end_request(now(), key);
                usage.begin_request(now(), key, 0);
            }
            usage.release(key, 64 * KIB, HeldFor::Request);
            usage.close(key);
        }
    }
    assert_eq!(usage.buffered_bytes(), 0);
}
