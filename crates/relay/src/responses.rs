//! Whether a backend server responds, as observed by one router or by several together.
//!
//! Among hundreds of routers each sends a backend server a request only now and then, so
//! that alone it would notice an unresponsive one late, and only by losing requests to it.

use policy::Time;

/// Maximum age of an observation of another router, in milliseconds: two messages through a
/// hub, one to it and one from it.
const SHARED_LAG_MS: u64 = 500;

/// When a backend server responded, and since when it has not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Responses {
    /// When it last responded; none if it has not done so lately.
    pub responded_at: Option<Time>,
    /// Since when requests have been awaiting a response or failing without one; none if
    /// none is.
    pub silent_since: Option<Time>,
}

impl Responses {
    /// Combines the observations of two routers.
    pub fn merge(self, other: Responses) -> Responses {
        let silent_since = [self.silent_since, other.silent_since];
        Responses {
            responded_at: self.responded_at.max(other.responded_at),
            silent_since: silent_since.into_iter().flatten().min(),
        }
    }

    /// Returns for how long requests of any router have had no response, in milliseconds, less
    /// the time that a message with a response may take.
    pub fn shared_silence_ms(self, now: Time) -> u64 {
        let Some(silent_since) = self.silent_since else {
            return 0;
        };
        let since = self.responded_at.unwrap_or(Time(0)).max(silent_since);
        now.millis_since(since).saturating_sub(SHARED_LAG_MS)
    }
}
