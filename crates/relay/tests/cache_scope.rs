//! Which requests share cached prompt parts.

use relay::Build;
use relay::CallerLimits;
use relay::Configuration;
use relay::Workspace;

fn workspace(name: &str, isolated: bool) -> Workspace {
    Workspace {
        name: name.into(),
        keys: Vec::new(),
        priority: None,
        isolated,
        quota: None,
    }
}

/// Returns the cache scope of a workspace's requests while these workspaces are configured.
fn scope(weights: u64, configured: &[Workspace], of: Option<&Workspace>) -> String {
    let configuration = Configuration::new(
        1,
        Vec::new(),
        configured.to_vec(),
        Vec::new(),
        CallerLimits {
            max_head_bytes: 0,
            max_body_bytes: 0,
            head_timeout_ms: 0,
            idle_timeout_ms: 0,
        },
    );
    let partition = configuration.cache_partition(of);
    relay::cache_scope(weights, Build::new("v1"), partition)
}

#[test]
fn isolated_workspaces_and_versions_of_weights_have_their_own_cache_scopes() {
    let (isolated, open) = (workspace("w", true), workspace("v", false));
    let all = [isolated.clone(), open.clone()];
    assert_eq!(scope(3, &all, None), scope(3, &all, Some(&open)));
    assert_ne!(scope(3, &all, None), scope(3, &all, Some(&isolated)));
    assert_ne!(scope(3, &all, None), scope(4, &all, None));
}

// Guards against cached parts of a workspace that are still shared after it was isolated.
#[test]
fn a_workspace_that_becomes_isolated_leaves_its_cached_parts_to_nobody() {
    let (open, other) = (workspace("w", false), workspace("v", false));
    let isolated = workspace("w", true);
    let before = scope(3, &[open.clone(), other.clone()], Some(&open));
    let after = [isolated.clone(), other.clone()];
    assert_ne!(before, scope(3, &after, Some(&other)));
    assert_ne!(before, scope(3, &after, None));
    // A request that was accepted before is sent after the change.
    assert_eq!(
        scope(3, &after, Some(&open)),
        scope(3, &after, Some(&isolated))
    );
}
