//! The example folders of the two deployments are valid and have the expected sizes.

use std::path::Path;

use config::check;
use config::sha256_hex;
use config::Config;
use config::Folder;

fn example(name: &str) -> Config {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    let folder = Folder::read(&dir).expect("read the folder");
    let checked = check(&folder).expect("no problems");
    assert!(checked.overrides.is_empty());
    checked.config
}

fn assert_sample_tokens(config: &Config) {
    for (name, workspace) in &config.workspaces {
        let token = format!("sample-{name}");
        assert_eq!(workspace.token_sha256, sha256_hex(token.as_bytes()));
    }
}

fn non_idempotent(config: &Config, service: &str) -> Vec<String> {
    let calls = config.services[service].calls.iter();
    calls
        .filter(|call| !call.idempotent)
        .map(|call| call.path_prefix.clone())
        .collect()
}

#[test]
fn the_bursary_example_has_the_expected_size() {
    let config = example("bursary");

    assert_eq!(config.backend_servers.len(), 20);
    assert_eq!(config.services["applications"].replicas.len(), 3);
    assert_eq!(config.workspaces.len(), 8);
    assert_eq!(config.limits.loads_at_once, 3);
    assert_eq!(
        non_idempotent(&config, "applications"),
        ["/submissions", "/awards"]
    );
    assert_sample_tokens(&config);
}

#[test]
fn the_brim_example_has_the_expected_size() {
    let config = example("brim");

    assert_eq!(config.backend_servers.len(), 12);
    assert_eq!(config.services["bookings"].replicas.len(), 3);
    assert_eq!(config.workspaces.len(), 8);
    assert_eq!(config.limits.loads_at_once, 2);
    assert_eq!(
        non_idempotent(&config, "bookings"),
        ["/bookings", "/dye-orders"]
    );
    assert_sample_tokens(&config);
}
