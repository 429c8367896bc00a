//! Several operators apply changes concurrently while responses are lost and writes are delayed.
//!
//! Guards against changes that are lost, accepted twice, reverted by another operator's change,
//! or accepted without a report.

mod delayed_writes;
mod operator;

use std::collections::BTreeMap;
use std::time::Duration;

use config::sha256_hex;
use config::Manifest;
use ctl::Error;
use rand::Rng;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use standins::Platform;
use tokio::time::sleep;

use crate::delayed_writes::DelayedWrites;
use crate::operator::manifest;
use crate::operator::store;
use crate::operator::Operator;

/// Number of concurrent operators.
const OPERATORS: u64 = 4;

/// Number of changes that each operator applies.
const CHANGES_EACH: u32 = 6;

/// Longest pause of an operator between two changes, in milliseconds.
const LONGEST_PAUSE_MS: u64 = 60;

/// Delay of each call to the platform, in milliseconds.
const CALL_DELAY_MS: u64 = 20;

/// A change that the command reported as accepted.
struct Accepted {
    version: u64,
    author: String,
    file: String,
    sha256: String,
}

/// Changes that were reported as accepted, and the number of changes with an unknown outcome.
#[derive(Default)]
struct Ledger {
    accepted: Vec<Accepted>,
    outcome_unknown: usize,
}

fn limits(count: u32) -> String {
    format!(r#"{{"limits": {{"cell_size": {count}}}}}"#)
}

/// Applies changes to the operator's own file and, in about a quarter of the cases, to a shared
/// one.
async fn run_operator(platform: DelayedWrites, number: u64, seed: u64) -> Ledger {
    let mut rng = ChaCha8Rng::seed_from_u64(seed * OPERATORS + number);
    let name = format!("operator-{number}");
    let own = format!("50-{name}.json");
    let operator = Operator::new(&name);
    let mut ledger = Ledger::default();
    for count in 1..=CHANGES_EACH {
        sleep(Duration::from_millis(rng.random_range(0..LONGEST_PAUSE_MS))).await;
        platform.inject_faults(&mut rng);
        let file = match rng.random_bool(0.25) {
            true => "90-shared.json",
            false => own.as_str(),
        };
        let content = limits(number as u32 * 100 + count);
        operator.write(file, &content);
        let mut outcome = operator.apply(&platform).await;
        if let Err(Error::Conflicting { .. }) = outcome {
            let version = operator.check_out(platform.inner()).await;
            operator.write(file, &content);
            outcome = operator.apply_on(&platform, Some(version)).await;
        }
        match outcome {
            Ok(outcome) if outcome.json["accepted"] == true => ledger.accepted.push(Accepted {
                version: outcome.json["version"].as_u64().expect("a version"),
                author: name.clone(),
                file: file.to_owned(),
                sha256: sha256_hex(content.as_bytes()),
            }),
            Ok(outcome) => panic!("{name}: a new content changed nothing: {}", outcome.text),
            Err(Error::OutcomeUnknown { .. }) => ledger.outcome_unknown += 1,
            Err(Error::Conflicting { .. }) => {
                operator.check_out(platform.inner()).await;
            }
            Err(e) => panic!("{name}: {e}"),
        }
    }
    ledger
}

async fn versions(platform: &Platform) -> BTreeMap<u64, Manifest> {
    let mut versions = store(platform).read_history().await.expect("history");
    versions.push(manifest(platform).await);
    versions
        .into_iter()
        .map(|manifest| (manifest.version, manifest))
        .collect()
}

/// Runs the operators with one seed and returns the number of changes reported as accepted.
async fn race(seed: u64) -> usize {
    let platform = Platform::new();
    platform.set_delay_ms(CALL_DELAY_MS);
    let delayed = DelayedWrites::new(platform.clone());
    let racing =
        (1..=OPERATORS).map(|number| tokio::spawn(run_operator(delayed.clone(), number, seed)));
    let mut ledger = Ledger::default();
    for operator in racing.collect::<Vec<_>>() {
        let own = operator.await.expect("the operator ends");
        ledger.accepted.extend(own.accepted);
        ledger.outcome_unknown += own.outcome_unknown;
    }
    platform.set_delay_ms(0);
    sleep(Duration::from_secs(60)).await;

    let versions = versions(&platform).await;

    let head = *versions.keys().last().expect("a version");
    assert!(
        versions.keys().copied().eq(1..=head),
        "seed {seed}: the history has a gap"
    );
    let mut nonces: Vec<&String> = versions.values().map(|version| &version.nonce).collect();
    nonces.sort();
    nonces.dedup();
    assert_eq!(
        nonces.len(),
        versions.len(),
        "seed {seed}: a change was applied twice"
    );
    for change in &ledger.accepted {
        let stored = &versions[&change.version];
        assert_eq!(
            stored.author, change.author,
            "seed {seed}: version {}",
            change.version
        );
        assert_eq!(
            stored.files[&change.file].sha256, change.sha256,
            "seed {seed}"
        );
    }
    let unreported = versions.len() - ledger.accepted.len();
    assert!(
        unreported <= ledger.outcome_unknown,
        "seed {seed}: {unreported} changes accepted without a report"
    );
    assert_no_reverts(seed, &versions);
    ledger.accepted.len()
}

/// Asserts that each version changes only files of its author and the shared file.
fn assert_no_reverts(seed: u64, versions: &BTreeMap<u64, Manifest>) {
    for (former, next) in versions.values().zip(versions.values().skip(1)) {
        for (file, entry) in &former.files {
            let own = file == "90-shared.json" || file.contains(&next.author);
            let stays = next.files.get(file) == Some(entry);
            assert!(
                own || stays,
                "seed {seed}: version {} reverts {file}",
                next.version
            );
        }
    }
}

#[tokio::test(start_paused = true)]
async fn each_accepted_change_is_applied_once_and_reverts_no_other() {
    let mut accepted = 0;

    for seed in 1..=20 {
        accepted += race(seed).await;
    }

    assert!(accepted > 200, "only {accepted} changes were accepted");
}
