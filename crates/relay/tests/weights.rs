//! When no request may begin any more on weights that were replaced.

mod common;

use std::collections::BTreeMap;

use common::announce_now;
use common::at;
use common::no_weights;
use common::MODEL;
use common::UNKNOWN_DUE_MS;
use policy::Arrival;
use policy::Time;
use proptest::prelude::*;
use relay::Weights;

/// Time within which replaced weights may be used, in milliseconds.
const DUE_MS: u64 = 7_000;

/// Lets one router know what another one sends it at `sent_at`.
fn tell(from: &Weights, sent_at: Time, to: &mut Weights, message: Arrival) {
    let named: Vec<_> = from.newest(sent_at).collect();
    for update in &named {
        to.announce(message, &update.model, update.version, update.age_ms);
    }
    to.apply_completeness(message, &named, &from.completeness(sent_at));
}

/// Lists the store at its start, when a version was announced before.
fn list(weights: &mut Weights, now: Time, version: u64) {
    weights.announce(Arrival::at(now), MODEL, version, 0);
    weights.confirm_newest(now, &BTreeMap::from([(MODEL, version)]));
}

/// Returns a router that has watched the store until a version was announced.
fn watcher(announced_at: Time, version: u64) -> Weights {
    let mut weights = no_weights(DUE_MS);
    announce_now(&mut weights, announced_at, version);
    weights
}

#[test]
fn the_first_newer_version_decides_when_a_version_is_overdue() {
    let mut weights = no_weights(5_000);
    announce_now(&mut weights, at(0), 2);
    announce_now(&mut weights, at(4_000), 3);

    assert!(weights.is_overdue(at(5_000), MODEL, 1));
    assert!(!weights.is_overdue(at(5_000), MODEL, 2));
    assert!(weights.is_overdue(at(9_000), MODEL, 2));
    assert!(!weights.is_overdue(at(99_000), MODEL, 3));
}

#[test]
fn a_lower_version_is_ignored() {
    let mut weights = no_weights(5_000);

    assert!(weights.announce(Arrival::at(at(0)), MODEL, 4, 0));
    assert!(!weights.announce(Arrival::at(at(10)), MODEL, 3, 0));
    assert_eq!(weights.target_version(MODEL), Some(4));
}

// Guards against engines that are left unused, as a new router doesn't know how young an announcement is.
#[test]
fn a_new_router_learns_from_others_how_long_ago_a_version_was_announced() {
    let mut weights = no_weights(DUE_MS);
    list(&mut weights, at(4_900), 2);
    tell(
        &watcher(at(2_000), 2),
        at(5_000),
        &mut weights,
        Arrival::at(at(5_000)),
    );

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(9_000)));
    let newest: Vec<_> = weights.newest(at(6_000)).collect();
    assert_eq!(newest[0].age_ms, 4_000);
}

// Guards against VERSION: a router that has listed an old announcement passes it on as a young one.
#[test]
fn what_a_restarted_router_says_postpones_nothing() {
    let mut restarted = no_weights(DUE_MS);
    list(&mut restarted, at(5_000), 2);
    let mut weights = no_weights(DUE_MS);
    tell(&restarted, at(5_100), &mut weights, Arrival::at(at(5_100)));

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(UNKNOWN_DUE_MS)));
}

// Guards against engines that are left unused: a router of an earlier version names a version first, and
// says nothing of when the former one was current.
#[test]
fn a_watch_tells_how_old_a_version_is_that_is_known_already() {
    let mut weights = no_weights(DUE_MS);
    weights.announce(Arrival::at(at(10_000)), MODEL, 2, 0);
    weights.confirm_before(at(10_005), MODEL, 2);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(10_000 + DUE_MS)));
}

#[test]
fn a_router_that_only_lists_uses_former_weights_for_a_while_from_its_start() {
    let mut weights = no_weights(DUE_MS);
    list(&mut weights, at(300), 2);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(UNKNOWN_DUE_MS)));
}

// Guards against VERSION: the age of an announcement counts from when a paused router reads it.
#[test]
fn what_waited_in_a_pause_counts_from_its_begin() {
    let pause = Arrival::between(at(1_000), at(6_000));
    let mut weights = no_weights(DUE_MS);
    weights.confirm(at(500));
    tell(&watcher(at(1_100), 2), at(1_100), &mut weights, pause);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(1_000 + DUE_MS)));
}

// Guards against engines that are left unused after a pause.
#[test]
fn what_arrives_after_a_pause_narrows_what_was_read_at_its_end() {
    let pause = Arrival::between(at(1_000), at(6_000));
    let other = watcher(at(5_000), 2);
    let mut weights = no_weights(DUE_MS);
    weights.confirm(at(500));
    tell(&other, at(5_000), &mut weights, pause);
    tell(&other, at(7_500), &mut weights, Arrival::at(at(7_500)));

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(5_000 + DUE_MS)));
}

// Guards against VERSION: a connection to the store that hung delivers an announcement late.
#[test]
fn news_that_come_late_postpone_nothing() {
    let mut weights = watcher(at(1_000), 2);
    weights.confirm(at(4_000));
    weights.announce(Arrival::at(at(4_000)), MODEL, 2, 0);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(1_000 + DUE_MS)));
}

#[test]
fn a_listing_without_a_version_proves_that_it_is_younger() {
    let mut weights = no_weights(DUE_MS);
    weights.confirm(at(1_000));
    list(&mut weights, at(3_000), 1);
    list(&mut weights, at(9_000), 2);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(3_000 + DUE_MS)));
}

// Guards against VERSION: a version in between, which this router never saw, was announced earlier.
#[test]
fn versions_before_the_previous_one_are_due_earlier_if_those_in_between_are_unknown() {
    let mut other = watcher(at(0), 2);
    announce_now(&mut other, at(4_000), 3);
    let mut weights = no_weights(DUE_MS);
    weights.announce(Arrival::at(at(4_100)), MODEL, 3, 100);
    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(UNKNOWN_DUE_MS)));
    tell(&other, at(4_200), &mut weights, Arrival::at(at(4_200)));

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(DUE_MS)));
    assert_eq!(weights.overdue_from(MODEL, 2), Some(at(4_000 + DUE_MS)));
}

// Guards against VERSION: an older announcement that becomes known after a newer one.
#[test]
fn an_older_version_that_becomes_known_later_postpones_nothing() {
    let mut weights = no_weights(DUE_MS);
    weights.announce(Arrival::at(at(1_000)), MODEL, 3, 0);
    weights.announce(Arrival::at(at(5_000)), MODEL, 2, 0);

    assert_eq!(weights.replaced_by(MODEL, 1), Some(at(1_000)));
}

/// Number of routers in a full mesh.
const MESH: usize = 10;

/// Interval at which each router sends a message to all others, in milliseconds.
const MESSAGE_INTERVAL_MS: u64 = 150;

/// Time between the point at which a message is built and the point at which it is read, in
/// milliseconds.
const TRANSIT_MS: u64 = 5;

/// Returns routers that have all read the store, with version 1, at 0.
fn mesh() -> Vec<Weights> {
    let mut weights = no_weights(DUE_MS);
    announce_now(&mut weights, at(0), 1);
    vec![weights; MESH]
}

/// Lets routers send each other messages in turn between two times.
fn exchange_messages(routers: &mut [Weights], from_ms: u64, to_ms: u64) {
    let senders = (0..routers.len()).cycle();
    let sent_at = (from_ms..to_ms).step_by(MESSAGE_INTERVAL_MS as usize / MESH);
    for (sender, sent_ms) in senders.zip(sent_at) {
        let from = routers[sender].clone();
        let others = routers.iter_mut().enumerate().filter(|(i, _)| *i != sender);
        for (_, to) in others {
            tell(
                &from,
                at(sent_ms),
                to,
                Arrival::at(at(sent_ms + TRANSIT_MS)),
            );
        }
    }
}

// Guards against VERSION: each time routers pass on when a version was current, that time grows by what a
// message takes.
#[test]
fn messages_passed_on_between_routers_do_not_make_an_announcement_seem_later() {
    let (announced_ms, learned_ms) = (300, 2_000);
    let mut routers = mesh();
    for router in &mut routers {
        router.announce(Arrival::at(at(learned_ms)), MODEL, 2, 0);
    }

    exchange_messages(&mut routers, learned_ms, announced_ms + DUE_MS);

    for router in &routers {
        let overdue_from = router.overdue_from(MODEL, 1).unwrap();
        assert!(overdue_from <= at(announced_ms + DUE_MS));
    }
}

// Guards against VERSION: completeness that nothing proves any more grows while routers repeat it.
#[test]
fn messages_passed_on_between_routers_prove_no_completeness() {
    let mut routers = mesh();

    exchange_messages(&mut routers, 0, 5_000);

    for router in &routers {
        let updates = router.completeness(at(5_000));
        // What a message takes can't be known: each level is younger by no more than that.
        for (hops, update) in (0..).zip(&updates) {
            let complete_ms = u64::from(update.complete_ms.unwrap());
            assert!(complete_ms >= 5_000 - hops * TRANSIT_MS, "{complete_ms}");
        }
    }
}

#[test]
fn a_router_without_the_first_announcement_of_a_model_knows_when_there_was_none() {
    let mut weights = no_weights(DUE_MS);
    weights.confirm(at(3_000));
    weights.announce(Arrival::at(at(8_000)), MODEL, 2, 0);

    assert_eq!(weights.overdue_from(MODEL, 1), Some(at(3_000 + DUE_MS)));
}

/// Number of routers in the generated histories.
const ROUTERS: usize = 4;

/// When version 2 is announced in the generated histories, in milliseconds.
const ANNOUNCED_MS: u64 = 10_000;

/// What happens to one router.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// It starts anew, and knows nothing.
    Start,
    /// It lists the store.
    List,
    /// Its watch responds at once, if there is news.
    Watch,
    /// What another router sends it arrives, and is read after a pause of this length, in milliseconds. The
    /// pause began up to so long before the message came.
    Message { from: usize, pause_ms: u64 },
}

/// A router, and when it last read the store before the announcement.
struct Router {
    weights: Weights,
    started_at: Time,
    read_at: Option<Time>,
}

impl Router {
    fn start(now: Time) -> Router {
        Router {
            weights: Weights::new(DUE_MS, now.plus_millis(UNKNOWN_DUE_MS)),
            started_at: now,
            read_at: None,
        }
    }

    /// Lists the store at `now`, in milliseconds.
    fn list(&mut self, now: u64) {
        let is_announced = now >= ANNOUNCED_MS;
        list(&mut self.weights, at(now), 1 + u64::from(is_announced));
        if !is_announced {
            self.read_at = Some(at(now));
        }
    }

    /// Reads the announcement from a watch that had responded before.
    fn watch(&mut self) {
        if self.read_at.is_some() && self.weights.target_version(MODEL) == Some(1) {
            announce_now(&mut self.weights, at(ANNOUNCED_MS), 2);
        }
    }

    /// Checks the time from which the router uses no version 1 any more, if it knows version 2.
    fn check(&self) {
        let Some(due_at) = self.weights.overdue_from(MODEL, 1) else {
            return;
        };
        let limit = at(ANNOUNCED_MS + DUE_MS);
        let unknown_due_at = self.started_at.plus_millis(UNKNOWN_DUE_MS);
        assert!(due_at <= limit.max(unknown_due_at), "too late: {due_at:?}");
        if let Some(read_at) = self.read_at {
            assert!(
                due_at >= read_at.plus_millis(DUE_MS),
                "too early: {due_at:?}"
            );
        }
    }
}

/// Plays steps, each some milliseconds after the one before, and checks the routers after each.
fn play(steps: &[(u64, usize, Step)]) {
    let mut routers: Vec<Router> = (0..ROUTERS).map(|_| Router::start(at(0))).collect();
    let mut now = 0;
    for &(ms, router, step) in steps {
        if now < ANNOUNCED_MS && now + ms >= ANNOUNCED_MS {
            // The store responds to watches as soon as there is news.
            let watching = routers.iter_mut().step_by(2);
            watching.for_each(Router::watch);
        }
        now += ms;
        match step {
            Step::Start => routers[router] = Router::start(at(now)),
            Step::List => routers[router].list(now),
            Step::Watch if now >= ANNOUNCED_MS => routers[router].watch(),
            Step::Watch => {}
            Step::Message { from, pause_ms } => {
                let sender = routers[from].weights.clone();
                let begun_at = at(now.saturating_sub(pause_ms));
                let message = Arrival::between(begun_at, at(now + pause_ms));
                tell(&sender, at(now), &mut routers[router].weights, message);
            }
        }
        routers.iter().for_each(Router::check);
    }
}

fn step() -> impl Strategy<Value = Step> {
    let message = (0..ROUTERS, prop_oneof![Just(0), 0..6_000_u64]);
    prop_oneof![
        1 => Just(Step::Start),
        2 => Just(Step::List),
        1 => Just(Step::Watch),
        6 => message.prop_map(|(from, pause_ms)| Step::Message { from, pause_ms }),
    ]
}

proptest! {
    // Guards against VERSION, and against engines that are left unused, in any order of restarts, pauses and
    // messages.
    #[test]
    fn routers_stop_using_former_weights_in_time_and_no_earlier_than_they_must(
        steps in prop::collection::vec((0..800_u64, 0..ROUTERS, step()), 1..120),
    ) {
        play(&steps);
    }
}
