//! Checks that the policy bench is deterministic and that placement by cell owners beats plain
//! affinity routing.

use policy::PlacementKind;
use policy::Settings;
use standins::bench::measures::Figures;
use standins::bench::setup::Scenario;
use standins::bench::setup::Setup;
use standins::bench::table;
use standins::bench::variant::Variant;

/// Runs the `brim` workload with seed 1 and returns its results.
fn figures(settings: Settings, scenario: Scenario) -> Figures {
    let policy = ("under test", Variant::Node(settings));
    table::run_row(policy, scenario, &Setup::brim(), 1..2).mean
}

/// Returns settings of plain affinity routing, the policy before cell owners were added.
fn affinity_settings() -> Settings {
    Settings {
        placement: PlacementKind::Affinity,
        ..Settings::default()
    }
}

#[test]
fn the_same_seed_gives_the_same_figures_under_faults() {
    let first = figures(Settings::default(), Scenario::Faults);
    let second = figures(Settings::default(), Scenario::Faults);

    assert_eq!(first, second);
}

#[test]
fn cell_owners_waste_less_than_a_tenth_of_the_tokens_that_affinity_wastes() {
    let current = figures(Settings::default(), Scenario::Calm);
    let affinity = figures(affinity_settings(), Scenario::Calm);

    assert!(current.wasted_tokens < affinity.wasted_tokens / 10.0);
    assert!(current.ttft_p99_ms < affinity.ttft_p99_ms);
    assert!(current.hit_rate > affinity.hit_rate);
}
