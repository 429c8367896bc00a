//! The view of which engines cache which blocks, and its effect on placement.

mod common;

use std::collections::BTreeSet;
use std::sync::Arc;

use config::Config;
use config::Workspace;
use policy::Action;
use policy::AttemptId;
use policy::BackendReport;
use policy::BlockSeed;
use policy::CacheChange;
use policy::CacheReport;
use policy::CallId;
use policy::CallRequest;
use policy::Dispatch;
use policy::Event;
use policy::Generate;
use policy::Incarnation;
use policy::LoadReport;
use policy::Node;
use policy::PrefixHash;
use policy::Time;
use policy::Work;

use crate::common::config;
use crate::common::node;
use crate::common::step;
use crate::common::START;
use crate::common::TOKEN_HASH;

/// Number of blocks of each prompt.
const BLOCKS_PER_PROMPT: u64 = 8;

/// Number of tokens of each prompt.
const PROMPT_TOKENS: u64 = 16_500;

/// Returns a request for a completion; all requests have the same prompt.
fn prompt(call: u64, token: &str) -> Event {
    Event::Call(Box::new(CallRequest {
        call: CallId(call),
        token_sha256: token.to_owned(),
        priority: None,
        deadline: None,
        fingerprint: call,
        work: Work::Generate(Generate {
            model: "long".to_owned(),
            blocks: (1..=BLOCKS_PER_PROMPT).map(PrefixHash).collect(),
            prompt_tokens: PROMPT_TOKENS,
            max_tokens: 10,
        }),
    }))
}

fn send(node: &mut Node, now: Time, call: u64) -> Dispatch {
    send_for(node, now, call, TOKEN_HASH)
}

fn send_for(node: &mut Node, now: Time, call: u64, token: &str) -> Dispatch {
    let actions = step(node, now, prompt(call, token));
    actions
        .iter()
        .find_map(|action| match action {
            Action::Dispatch(dispatch) => Some(dispatch.clone()),
            _ => None,
        })
        .unwrap_or_else(|| panic!("nothing was dispatched: {actions:?}"))
}

/// Reports the same change for all blocks of the prompt in the cache of an engine.
fn report_cache<C>(node: &mut Node, server: &str, incarnation: u64, change: C)
where
    C: Fn(policy::BlockKey) -> CacheChange,
{
    let seed = BlockSeed::new("trust", "long", 1);
    let keys = (1..=BLOCKS_PER_PROMPT).map(|n| seed.key(PrefixHash(n)));
    let report = CacheReport {
        server: server.to_owned(),
        incarnation: Incarnation(incarnation),
        first_sequence: 1,
        changes: keys.map(change).collect(),
    };
    step(node, START, Event::Cache(report));
}

fn report_load(node: &mut Node, server: &str, incarnation: u64, queued_tokens: u64) {
    let report = LoadReport {
        server: server.to_owned(),
        incarnation: Incarnation(incarnation),
        at: START,
        queued_tokens,
        running: 0,
        leaving: false,
        weights: None,
    };
    step(node, START, Event::Load(report));
}

/// Reports the first token and the end of a call.
fn finish(node: &mut Node, now: Time, call: u64) {
    for report in [
        BackendReport::FirstToken,
        BackendReport::Finished { output_tokens: 10 },
    ] {
        let event = Event::Backend {
            call: CallId(call),
            attempt: AttemptId(1),
            report,
        };
        step(node, now, event);
    }
}

/// Returns a configuration of 8 engines with a second workspace.
fn with_second_workspace() -> Arc<Config> {
    let mut cfg = Arc::unwrap_or_clone(config(8));
    let other = Workspace {
        token_sha256: "other".to_owned(),
        ..cfg.workspaces["trust"].clone()
    };
    cfg.workspaces.insert("other".to_owned(), other);
    Arc::new(cfg)
}

/// Returns a configuration of 8 engines with version 2 of the weights.
fn with_new_weights() -> Arc<Config> {
    let mut cfg = Arc::unwrap_or_clone(config(8));
    cfg.models
        .get_mut("long")
        .expect("the model is declared")
        .weights_version = 2;
    Arc::new(cfg)
}

#[test]
fn a_prompt_goes_to_the_engine_that_reported_its_blocks() {
    let mut node = node(&config(8));
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.server_name, "engine5");
    assert_eq!(dispatch.expected_cached_tokens, 16_000);
    assert_eq!(dispatch.incarnation, Incarnation(1));
}

#[test]
fn evicted_blocks_are_not_expected_in_the_cache() {
    let mut node = node(&config(8));
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);
    report_cache(&mut node, "engine5", 1, CacheChange::Evicted);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn a_restarted_engine_has_no_cached_blocks() {
    let mut node = node(&config(8));
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);
    report_load(&mut node, "engine5", 2, 0);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn an_engine_restarted_forty_times_has_no_blocks_of_old_incarnations() {
    let mut node = node(&config(8));
    // More incarnations than the 32 slots that a cell has for them.
    for incarnation in 1..=40 {
        report_cache(&mut node, "engine5", incarnation, CacheChange::Stored);
    }
    report_load(&mut node, "engine5", 41, 0);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn a_late_cache_report_of_an_old_incarnation_is_ignored() {
    let mut node = node(&config(8));
    report_load(&mut node, "engine5", 2, 0);
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.expected_cached_tokens, 0);
}

#[test]
fn blocks_of_another_workspace_are_not_used() {
    let mut node = node(&with_second_workspace());
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);

    let dispatch = send_for(&mut node, START, 1, "other");

    assert_eq!(dispatch.expected_cached_tokens, 0);
    assert_eq!(dispatch.fetch_from, None);
}

#[test]
fn blocks_of_older_weights_are_not_used() {
    let mut node = node(&config(8));
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);
    let event = Event::Config {
        version: 2,
        config: with_new_weights(),
    };
    step(&mut node, START, event);

    let dispatch = send(&mut node, START, 1);

    assert_eq!(dispatch.expected_cached_tokens, 0);
    assert_eq!(dispatch.weights_version, 2);
}

#[test]
fn a_missing_prefix_is_computed_once_for_two_prompts() {
    let mut node = node(&config(8));

    let first = send(&mut node, START, 1);
    let second = send(&mut node, START.plus_millis(1), 2);

    assert_eq!(second.server_name, first.server_name);
    assert_eq!(second.expected_cached_tokens, 16_000);
}

#[test]
fn a_hot_prefix_is_spread_over_several_engines() {
    let mut node = node(&config(8));

    let servers: BTreeSet<String> = (0..200)
        .map(|call| send(&mut node, START.plus_millis(call), call).server_name)
        .collect();

    assert!(servers.len() >= 3, "{servers:?}");
}

#[test]
fn a_prefix_that_is_not_hot_stays_on_one_engine() {
    let mut node = node(&config(8));

    let servers: BTreeSet<String> = (0..50)
        .map(|call| {
            let now = START.plus_millis(call * 1_000);
            let server = send(&mut node, now, call).server_name;
            finish(&mut node, now, call);
            server
        })
        .collect();

    assert_eq!(servers.len(), 1, "{servers:?}");
}

#[test]
fn an_engine_fetches_blocks_from_a_holder_with_a_long_queue() {
    let mut node = node(&config(8));
    report_cache(&mut node, "engine5", 3, CacheChange::Stored);
    report_load(&mut node, "engine5", 3, 200_000);

    let dispatch = send(&mut node, START, 1);

    let holder = dispatch
        .fetch_from
        .expect("a fetch is cheaper than computing the blocks");
    assert_ne!(dispatch.server_name, "engine5");
    assert_eq!(holder.incarnation, Incarnation(3));
    assert_eq!(holder.address.port(), 8_005);
}

#[test]
fn blocks_that_are_expensive_to_transfer_are_recomputed() {
    let mut cfg = Arc::unwrap_or_clone(config(8));
    cfg.models
        .get_mut("long")
        .expect("the model is declared")
        .kv_bytes_per_token = 1_000_000;
    let mut node = node(&Arc::new(cfg));
    report_cache(&mut node, "engine5", 1, CacheChange::Stored);
    report_load(&mut node, "engine5", 1, 400_000);

    let dispatch = send(&mut node, START, 1);

    assert_ne!(dispatch.server_name, "engine5");
    assert_eq!(dispatch.fetch_from, None);
}

#[test]
fn load_from_other_routers_is_known_from_load_reports() {
    let mut node = node(&config(2));
    let first = send(&mut node, START, 1).server_name;
    report_load(&mut node, &first, 1, 150_000);

    let second = send(&mut node, START.plus_millis(1), 2);

    assert_ne!(second.server_name, first);
}
