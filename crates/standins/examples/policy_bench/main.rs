//! Compares routing policies on virtual time and prints the results as a table.

mod plot;

use std::path::PathBuf;

use argh::FromArgs;

use standins::bench::setup::Scenario;
use standins::bench::setup::Setup;
use standins::bench::table;
use standins::bench::table::Row;
use standins::bench::variant::variants;
use standins::bench::variant::Variant;

/// Compares routing policies on virtual time.
#[derive(FromArgs)]
struct Args {
    /// workload: bursary or brim
    #[argh(option)]
    workload: String,
    /// first seed
    #[argh(option, default = "1")]
    seed: u64,
    /// number of consecutive seeds to run
    #[argh(option, default = "1")]
    seeds: u64,
    /// run only this policy
    #[argh(option)]
    policy: Option<String>,
    /// run only this scenario
    #[argh(option)]
    scenario: Option<String>,
    /// print a JSON array instead of a table
    #[argh(switch)]
    json: bool,
    /// run variations instead, each with one constant changed
    #[argh(switch)]
    sweep: bool,
    /// write a plot into this folder
    #[argh(option)]
    plot: Option<PathBuf>,
}

fn main() {
    let args: Args = argh::from_env();
    let Some(setup) = Setup::find(&args.workload) else {
        eprintln!("unknown workload {:?}", args.workload);
        std::process::exit(2);
    };
    if args.sweep {
        sweep(&args, &setup);
        return;
    }
    let rows = run_all(&args, &setup);
    if let Some(folder) = &args.plot {
        let file = folder.join(format!("policy-{}.svg", setup.workload));
        plot::write(&file, &rows).expect("plot is written");
    }
    if args.json {
        println!(
            "{}",
            serde_json::to_string_pretty(&rows).expect("rows serialize to JSON")
        );
    }
}

/// Runs and prints each variation of the setup.
fn sweep(args: &Args, setup: &Setup) {
    for (name, setup) in setup.variations() {
        println!("{name}");
        run_all(args, &setup);
    }
}

/// Runs the selected policies in the selected scenarios and returns the results.
///
/// Prints each row when it is finished, unless JSON output was requested.
fn run_all(args: &Args, setup: &Setup) -> Vec<Row> {
    let seeds = args.seed..args.seed + args.seeds;
    let mut rows = Vec::new();
    if !args.json {
        println!("{}", table::heading());
    }
    for scenario in Scenario::ALL
        .into_iter()
        .filter(|s| is_selected(&args.scenario, s.name()))
    {
        for policy in selected_policies(args) {
            let row = table::run_row(policy, scenario, setup, seeds.clone());
            if !args.json {
                println!("{}", table::line(&row));
            }
            rows.push(row);
        }
    }
    rows
}

/// Returns the selected policies by name.
fn selected_policies(args: &Args) -> Vec<(&'static str, Variant)> {
    variants()
        .into_iter()
        .filter(|(name, _)| is_selected(&args.policy, name))
        .collect()
}

/// Returns whether `name` is the selection or nothing was selected.
fn is_selected(selection: &Option<String>, name: &str) -> bool {
    selection.as_ref().is_none_or(|c| c == name)
}
