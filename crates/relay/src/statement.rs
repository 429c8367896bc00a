//! What a backend server last said of a limit on its requests.

use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::age::age_ms;
use crate::age::time_of;
use crate::RateLimit;

/// Time for which the end of a limit is announced to other routers, in milliseconds.
const ENDED_ANNOUNCED_MS: u64 = 10_000;

/// Difference in milliseconds from which one statement is later than another. Times of other
/// routers' statements are off by the delay of messages.
const CLOCK_TOLERANCE_MS: u64 = 400;

/// The limit that a backend server last named in a response, or that it names none any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitStatement {
    /// The limit; none if it has ended.
    pub limit: Option<RateLimit>,
    /// When a response that says so arrived at a router.
    pub said_at: Time,
}

impl LimitStatement {
    /// Returns what is known after a response, when `known` was known before. A response without a
    /// limit ends the known one only if its request was sent after that was named, as it may have
    /// been on its way before.
    pub fn after_response(
        known: Option<LimitStatement>,
        limit: Option<RateLimit>,
        sent_at: Time,
        now: Time,
    ) -> Option<LimitStatement> {
        let statement = LimitStatement {
            limit,
            said_at: now,
        };
        match (known, limit) {
            (None, None) => None,
            (Some(known), None) if known.limit.is_none() || known.said_at >= sent_at => Some(known),
            _ => Some(statement),
        }
    }

    /// Returns the later of two statements, of which the other was made to another router.
    pub fn merge(self, other: LimitStatement) -> LimitStatement {
        let is_later = other.said_at > self.said_at.plus_millis(CLOCK_TOLERANCE_MS);
        if is_later {
            other
        } else {
            self
        }
    }

    /// Returns whether it is sent to other routers: a limit always, its end for a while.
    pub fn is_announced(&self, now: Time) -> bool {
        self.limit.is_some() || now.millis_since(self.said_at) < ENDED_ANNOUNCED_MS
    }
}

/// A statement in a message; its time is an age, as clocks of routers differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitUpdate {
    /// The limit; none if it has ended.
    pub limit: Option<RateLimit>,
    /// Time since it was named, in milliseconds.
    pub age_ms: u32,
}

impl LimitUpdate {
    /// Returns the message's form of a statement.
    pub fn new(now: Time, statement: LimitStatement) -> LimitUpdate {
        LimitUpdate {
            limit: statement.limit,
            age_ms: age_ms(now, statement.said_at),
        }
    }

    /// Returns the statement that a message received at `now` describes.
    pub fn statement(&self, now: Time) -> LimitStatement {
        LimitStatement {
            limit: self.limit,
            said_at: time_of(now, self.age_ms),
        }
    }
}
