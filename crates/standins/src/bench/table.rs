//! The table of policies and scenarios.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::bench::measures::Figures;
use crate::bench::measures::Measures;
use crate::bench::setup::Scenario;
use crate::bench::setup::Setup;
use crate::bench::setup::MEASURED_US;
use crate::bench::setup::ROUTERS;
use crate::bench::variant::Variant;
use crate::bench::workload;
use crate::bench::world::World;

/// A row of the table.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Policy.
    pub policy: &'static str,
    /// Scenario.
    pub scenario: &'static str,
    /// Workload.
    pub workload: &'static str,
    /// Runs, each from its own seed.
    pub seeds: u64,
    /// Means over the runs.
    #[serde(flatten)]
    pub mean: Figures,
    /// Refusals by reason, as a mean over the runs.
    pub refusals: BTreeMap<&'static str, f64>,
    /// Standard deviations over the runs.
    pub deviation: Figures,
}

/// Runs a policy in a scenario from each seed.
pub fn run_row(
    (policy, variant): (&'static str, Variant),
    scenario: Scenario,
    setup: &Setup,
    seeds: std::ops::Range<u64>,
) -> Row {
    let setup = setup.clone().under(scenario);
    let count = seeds.end - seeds.start;
    let runs: Vec<Measures> = seeds.map(|seed| run(variant, &setup, seed)).collect();
    let figures: Vec<Figures> = runs
        .iter()
        .map(|m| Figures::new(m, ROUTERS, setup.runners, MEASURED_US as f64 / 1e6))
        .collect();
    let (mean, deviation) = Figures::summary(&figures);
    let mut refusals = BTreeMap::new();
    for (reason, n) in runs.iter().flat_map(|m| &m.refusals) {
        *refusals.entry(*reason).or_default() += *n as f64 / count as f64;
    }
    Row {
        policy,
        scenario: scenario.name(),
        workload: setup.workload,
        seeds: count,
        mean,
        refusals,
        deviation,
    }
}

fn run(variant: Variant, setup: &Setup, seed: u64) -> Measures {
    let requests = workload::requests(setup, seed);
    let make = |router, start| variant.router(setup, router, start, seed);
    World::run(setup, &requests, seed, &make)
}

/// Returns the heading of the table.
pub fn heading() -> String {
    format!(
        "{:8} {:7} {:16} {:>13} {:>6} {:>6} {:>12} {:>11} {:>8} {:>8} {:>9} {:>8} {:>4} refusals",
        "workload",
        "scene",
        "policy",
        "hit_rate",
        "p50ms",
        "p95ms",
        "p99ms",
        "wasted_kt",
        "unav_kt",
        "fetch_kt",
        "xregionMB",
        "ctl_B/s",
        "busy",
    )
}

/// Returns a row as a line of the table.
pub fn line(row: &Row) -> String {
    let (mean, dev) = (&row.mean, &row.deviation);
    format!(
        "{:8} {:7} {:16} {:.3} +-{:.3} {:6.0} {:6.0} {:6.0} +-{:<4.0} {:5.0} +-{:<4.0} {:8.0} {:8.0} {:9.0} {:8.0} {:.2} {:?}",
        row.workload,
        row.scenario,
        row.policy,
        mean.hit_rate,
        dev.hit_rate,
        mean.ttft_p50_ms,
        mean.ttft_p95_ms,
        mean.ttft_p99_ms,
        dev.ttft_p99_ms,
        mean.wasted_tokens / 1e3,
        dev.wasted_tokens / 1e3,
        mean.unavoidable_tokens / 1e3,
        mean.fetched_tokens / 1e3,
        mean.cross_region_bytes / 1e6,
        mean.control_bytes_per_router_s,
        mean.busy,
        row.refusals,
    )
}
