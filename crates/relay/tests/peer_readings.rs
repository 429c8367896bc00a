//! Which router's reading of the registrations a router relies on.

mod common;

use common::at;
use policy::Arrival;
use policy::Time;
use relay::PeerReading;
use relay::PeerReadings;
use relay::Reading;
use relay::ReadingUpdate;
use relay::Revision;

const PREFERRED: u64 = 1;

fn announcement(router: u64, read_at: Time) -> PeerReading {
    PeerReading {
        router,
        address: "127.0.0.1:9".parse().unwrap(),
        digest: 1,
        reading: Reading {
            as_of: Revision { era: 1, number: 5 },
            read_at,
            outage_until: Time(0),
            outages_known_since: Time(0),
        },
        routers: None,
    }
}

fn readings(announcements: &[PeerReading]) -> PeerReadings {
    let mut readings = PeerReadings::default();
    for announcement in announcements {
        readings.record(at(3_000), *announcement);
    }
    readings
}

fn best(readings: &PeerReadings, own: Option<u64>) -> Option<u64> {
    let best = readings.best(at(3_000), PREFERRED, own);
    best.map(|peer| peer.router)
}

#[test]
fn the_old_announcement_of_a_cut_off_router_does_not_hide_a_fresh_one() {
    let cut_off = announcement(PREFERRED, at(0));
    let readings = readings(&[announcement(2, at(2_900)), cut_off]);
    assert_eq!(best(&readings, None), Some(2));
}

#[test]
fn the_preferred_router_goes_before_one_that_read_later() {
    let preferred = announcement(PREFERRED, at(2_000));
    let readings = readings(&[preferred, announcement(2, at(2_900))]);
    assert_eq!(best(&readings, None), Some(PREFERRED));
}

#[test]
fn of_two_routers_that_read_for_themselves_the_one_with_the_lower_hash_goes_on() {
    let readings = readings(&[announcement(5, at(2_900)), announcement(6, at(2_950))]);
    assert_eq!(best(&readings, Some(5)), None);
    assert_eq!(best(&readings, Some(6)), Some(5));
}

#[test]
fn a_router_that_did_not_deliver_what_it_announced_is_ignored_for_a_while() {
    let mut readings = readings(&[announcement(PREFERRED, at(2_900))]);
    readings.ignore(at(3_000), PREFERRED);
    assert_eq!(best(&readings, None), None);
    let again = announcement(PREFERRED, at(5_000));
    readings.record(at(5_000), again);
    assert_eq!(readings.best(at(5_000), PREFERRED, None), Some(again));
}

#[test]
fn an_outage_is_that_of_the_router_with_the_latest_reading() {
    let mut earlier = announcement(2, at(2_000));
    earlier.reading.outage_until = at(1_900);
    let readings = readings(&[earlier, announcement(3, at(2_900))]);
    assert_eq!(readings.outage_until(at(3_000), at(1_500)), Some(Time(0)));
}

#[test]
fn a_reading_from_before_an_outage_does_not_deny_it() {
    let readings = readings(&[announcement(2, at(2_000))]);
    assert_eq!(readings.outage_until(at(3_000), at(2_100)), None);
}

#[test]
fn a_reading_of_an_earlier_era_of_the_store_is_not_used() {
    let mut readings = readings(&[announcement(2, at(2_900))]);
    readings.begin_era(2);
    readings.record(at(3_000), announcement(3, at(2_950)));
    assert_eq!(best(&readings, None), None);
}

// Guards against a router that was paused and relies on a reading that has waited for it meanwhile,
// while servers drain or leave.
#[test]
fn a_reading_in_a_message_that_may_have_waited_counts_as_old() {
    let update = ReadingUpdate {
        as_of: Revision { era: 1, number: 5 },
        age_ms: 100,
        outage_age_ms: 5_000,
        outages_known_ms: 4_000,
    };

    let reading = update.reading(Arrival::between(at(1_000), at(5_000)));

    assert!(!reading.is_fresh(at(5_000)));
    assert_eq!(reading.outage_until, at(0));
    assert_eq!(reading.outages_known_since, at(1_000));
}
