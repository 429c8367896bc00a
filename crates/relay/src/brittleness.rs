//! How many rejections a backend server stands.

use serde::Deserialize;
use serde::Serialize;

/// Highest number of rejections a second that still makes a server brittle.
const MAX_PER_SECOND: u64 = 1_000_000;

/// Number of rejections a second, of all routers together, beyond which a backend server fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brittleness {
    /// Rejections a second.
    pub rejections_per_s: u32,
}

impl Brittleness {
    /// Returns the brittleness of a server that stands this many rejections a second.
    pub fn per_second(rejections: u64) -> Brittleness {
        let rejections = rejections.min(MAX_PER_SECOND);
        Brittleness {
            rejections_per_s: u32::try_from(rejections).unwrap_or(u32::MAX),
        }
    }
}
