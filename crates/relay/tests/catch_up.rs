//! How soon a router gets a configuration that another one has, in simulated time: over all orders
//! of sources that are dead, silent, slow or behind themselves.

use policy::Time;
use proptest::prelude::*;
use relay::CatchUp;
use relay::ConfigurationSource;

/// Time from the acknowledgement of a configuration until it must be in force, in milliseconds.
const IN_FORCE_MS: u64 = 2_500;

/// Time from the acknowledgement until other routers have announced it, in milliseconds: the store's
/// delivery to them and a message.
const ANNOUNCED_MS: u64 = 350;

/// Interval at which a router looks whether it is behind, in milliseconds.
const POLL_MS: u64 = 100;

/// Time for which a router waits for the response to a fetch, in milliseconds.
const FETCH_TIMEOUT_MS: u64 = 600;

const OLD: u64 = 4;
const OLDER_CHANGE: u64 = 5;
const NEWEST: u64 = 9;

/// What another router does when it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    /// Its port is closed, and it sends no messages.
    Dead,
    /// It sends messages and accepts connections, but no response comes.
    Silent,
    /// It responds after 500 ms.
    Slow,
    /// It has an older change only.
    Lagging,
    /// It responds at once.
    Sound,
}

impl Source {
    fn announced(self) -> u64 {
        match self {
            Source::Lagging => OLDER_CHANGE,
            _ => NEWEST,
        }
    }

    /// Returns what it responds, and after which time; none if nothing.
    fn response(self) -> Option<(u64, u64)> {
        match self {
            Source::Dead | Source::Silent => None,
            Source::Slow => Some((500, NEWEST)),
            Source::Lagging => Some((20, OLDER_CHANGE)),
            Source::Sound => Some((20, NEWEST)),
        }
    }
}

fn described(now: Time, at: usize, source: Source) -> ConfigurationSource {
    let last_message_at = match source {
        Source::Dead => Time(0).plus_millis(ANNOUNCED_MS),
        _ => now,
    };
    ConfigurationSource {
        router: at as u64,
        version: source.announced(),
        last_message_at,
        is_in_region: at.is_multiple_of(2),
    }
}

/// Returns when the newest configuration is in force, in milliseconds after its acknowledgement, and
/// how many routers were asked; the time is none if it isn't within 10 s.
fn in_force_after(sources: &[Source], reads_store: bool) -> (Option<u64>, usize) {
    let mut catch_up = CatchUp::default();
    let mut version = OLD;
    let mut asked = 0;
    let mut responses: Vec<(u64, u64)> = Vec::new();
    // The worst phase of the poll: it looked just before the announcement came.
    let polls = (1..100).map(|i| ANNOUNCED_MS + i * POLL_MS);
    for at_ms in polls {
        for (due_ms, delivered) in &responses {
            if *due_ms <= at_ms {
                version = version.max(*delivered);
            }
        }
        if version == NEWEST {
            return (Some(at_ms), asked);
        }
        let now = Time(0).plus_millis(at_ms);
        let described: Vec<_> = sources
            .iter()
            .enumerate()
            .map(|(at, source)| described(now, at, *source))
            .collect();
        for router in catch_up.next(now, version, reads_store, &described) {
            asked += 1;
            let response = sources[router as usize].response();
            let in_time = response.filter(|(after_ms, _)| *after_ms <= FETCH_TIMEOUT_MS);
            responses.extend(in_time.map(|(after_ms, delivered)| (at_ms + after_ms, delivered)));
        }
    }
    (None, asked)
}

/// Returns all lists of `count` sources.
fn all_orders(count: usize) -> Vec<Vec<Source>> {
    let kinds = [
        Source::Dead,
        Source::Silent,
        Source::Slow,
        Source::Lagging,
        Source::Sound,
    ];
    let mut orders = vec![Vec::new()];
    for _ in 0..count {
        let longer = orders.iter().flat_map(|order: &Vec<Source>| {
            kinds.map(|kind| {
                let mut order = order.clone();
                order.push(kind);
                order
            })
        });
        orders = longer.collect();
    }
    orders
}

fn delivers(source: &Source) -> bool {
    matches!(source, Source::Slow | Source::Sound)
}

// Guards against CONFIG: one source is asked again and again, which is dead, silent or behind.
#[test]
fn a_configuration_is_in_force_in_time_if_any_source_of_five_delivers_it() {
    for order in all_orders(5) {
        if order.iter().any(delivers) {
            let (in_force, _) = in_force_after(&order, true);
            assert!(
                in_force.is_some_and(|ms| ms <= IN_FORCE_MS),
                "{order:?}: {in_force:?}"
            );
        }
    }
}

#[test]
fn one_sound_router_among_fifteen_silent_ones_is_found_in_time() {
    for at in 0..16 {
        let mut order = vec![Source::Silent; 16];
        order[at] = Source::Sound;

        let (in_force, _) = in_force_after(&order, true);

        assert!(in_force.is_some_and(|ms| ms <= IN_FORCE_MS), "{at}");
    }
}

#[test]
fn while_the_first_source_responds_only_one_is_asked() {
    let (_, asked) = in_force_after(&[Source::Sound; 9], true);
    assert_eq!(asked, 1);
}

#[test]
fn nobody_is_asked_while_the_store_delivers() {
    let mut catch_up = CatchUp::default();
    let now = Time(0).plus_millis(1_000);
    let sources = [described(now, 0, Source::Sound)];

    let first = catch_up.next(now, OLD, true, &sources);
    let second = catch_up.next(now.plus_millis(POLL_MS), NEWEST, true, &sources);

    assert_eq!((first.len(), second.len()), (0, 0));
    assert_eq!(catch_up.behind_since(), None);
}

#[test]
fn a_router_that_does_not_read_the_store_asks_at_once() {
    let mut catch_up = CatchUp::default();
    let now = Time(0).plus_millis(1_000);
    let sources = [described(now, 3, Source::Sound)];
    assert_eq!(catch_up.next(now, OLD, false, &sources), [3]);
}

#[test]
fn a_router_elsewhere_with_the_newest_goes_before_one_in_the_region_with_an_older_change() {
    let mut catch_up = CatchUp::default();
    let now = Time(0).plus_millis(1_000);
    let sources = [
        described(now, 0, Source::Lagging),
        described(now, 1, Source::Sound),
    ];
    assert_eq!(catch_up.next(now, OLD, false, &sources), [1]);
}

#[test]
fn all_are_asked_again_once_all_were_asked_in_vain() {
    let order = [Source::Silent; 3];
    let (in_force, asked) = in_force_after(&order, true);
    assert_eq!(in_force, None);
    assert!(asked > 2 * order.len());
}

proptest! {
    #[test]
    fn at_any_number_of_sources_half_of_which_deliver_it_is_in_force_in_time(
        sound in prop::collection::vec(any::<bool>(), 1..120),
    ) {
        let mut order: Vec<Source> = sound
            .iter()
            .map(|sound| if *sound { Source::Sound } else { Source::Silent })
            .collect();
        order.extend(sound.iter().map(|_| Source::Sound));
        let (in_force, _) = in_force_after(&order, true);
        prop_assert!(in_force.is_some_and(|ms| ms <= IN_FORCE_MS));
    }
}
