//! Priority of requests in an engine's queue.

use crate::Route;
use crate::StreamBuild;
use crate::Workspace;

/// Prefill time from which a prompt goes behind shorter ones of its priority, in milliseconds.
const LONG_PREFILL_MS: f64 = 30.0;

/// Returns the priority of a request; 0 is the highest. A priority of the workspace overrides the
/// route's.
pub fn request_priority(route: &Route, workspace: Option<&Workspace>) -> u32 {
    workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority)
}

/// Returns the priority of a request at an engine; 0 is the highest. Within one priority short
/// prompts go before long ones, since they delay those only a little. A stream that goes on is before
/// all that has not begun: its caller has a part of it, and waits for the rest.
pub fn engine_priority(
    route: &Route,
    workspace: Option<&Workspace>,
    prefill_ms: f64,
    stream_build: StreamBuild,
) -> u32 {
    if stream_build.is_bound() {
        return 0;
    }
    request_priority(route, workspace) * 2 + u32::from(prefill_ms >= LONG_PREFILL_MS)
}
