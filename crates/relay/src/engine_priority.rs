//! Ranks of requests within an engine's queue.

use crate::Route;
use crate::Workspace;

/// Time to read from which a prompt goes behind shorter ones of its rank, in milliseconds.
const LONG_PREFILL_MS: f64 = 30.0;

/// Returns the rank of a request at an engine, 0 first: the workspace's goes
/// before the route's, and within it short prompts go before long ones, which
/// they delay little.
pub fn engine_priority(route: &Route, workspace: Option<&Workspace>, reading_ms: f64) -> u32 {
    let rank = workspace
        .and_then(|workspace| workspace.priority)
        .unwrap_or(route.priority);
    rank * 2 + u32::from(reading_ms >= LONG_PREFILL_MS)
}
