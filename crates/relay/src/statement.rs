//! What a backend server last said of one of its properties.

use policy::age_ms;
use policy::Arrival;
use policy::Time;
use serde::Deserialize;
use serde::Serialize;

use crate::Brittleness;
use crate::RateLimit;

/// Time for which the end of a property is announced to other routers, in milliseconds.
const ENDED_ANNOUNCED_MS: u64 = 10_000;

/// Difference in milliseconds from which one statement is later than another. Times of other
/// routers' statements are off by the delay of messages.
const CLOCK_TOLERANCE_MS: u64 = 400;

/// The value that a backend server last named in a response, or that it names none any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Statement<T> {
    /// The value; none if it names none any more.
    pub value: Option<T>,
    /// When a response that says so arrived at a router.
    pub said_at: Time,
}

/// What a server said of a limit on its requests.
pub type LimitStatement = Statement<RateLimit>;

/// What a server said of the rejections that it stands.
pub type BrittlenessStatement = Statement<Brittleness>;

impl<T> Statement<T>
where
    T: Copy,
{
    /// Returns what is known after a response, when `known` was known before. A response without a
    /// value ends the known one only if its request was sent after that was named, as it may have
    /// been on its way before.
    pub fn after_response(
        known: Option<Statement<T>>,
        value: Option<T>,
        sent_at: Time,
        now: Time,
    ) -> Option<Statement<T>> {
        let statement = Statement {
            value,
            said_at: now,
        };
        match (known, value) {
            (None, None) => None,
            (Some(known), None) if known.value.is_none() || known.said_at >= sent_at => Some(known),
            _ => Some(statement),
        }
    }

    /// Returns the later of two statements, of which the other was made to another router.
    pub fn merge(self, other: Statement<T>) -> Statement<T> {
        let is_later = other.said_at > self.said_at.plus_millis(CLOCK_TOLERANCE_MS);
        if is_later {
            other
        } else {
            self
        }
    }

    /// Returns whether it is sent to other routers: a value always, its end for a while.
    pub fn is_announced(&self, now: Time) -> bool {
        self.value.is_some() || now.millis_since(self.said_at) < ENDED_ANNOUNCED_MS
    }
}

/// A statement in a message; its time is an age, as clocks of routers differ.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatementUpdate<T> {
    /// The value; none if it names none any more.
    pub value: Option<T>,
    /// Time since it was named, in milliseconds.
    pub age_ms: u32,
}

/// A statement on a limit, in a message.
pub type LimitUpdate = StatementUpdate<RateLimit>;

/// A statement on the rejections that a server stands, in a message.
pub type BrittlenessUpdate = StatementUpdate<Brittleness>;

impl<T> StatementUpdate<T>
where
    T: Copy,
{
    /// Returns the message's form of a statement.
    pub fn new(now: Time, statement: Statement<T>) -> StatementUpdate<T> {
        StatementUpdate {
            value: statement.value,
            age_ms: age_ms(now, statement.said_at),
        }
    }

    /// Returns the statement that a message describes. If the message may have waited, the statement
    /// counts as old, so that it replaces no later one.
    pub fn statement(&self, message: Arrival) -> Statement<T> {
        Statement {
            value: self.value,
            said_at: message.earliest_of(u64::from(self.age_ms)),
        }
    }
}
