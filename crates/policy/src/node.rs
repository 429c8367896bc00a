//! The state machine of one router.

use crate::Action;
use crate::Event;
use crate::Time;

/// What a router knows of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Name of its VM.
    pub vm: String,
    /// Region.
    pub region: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Incarnation, which grows with each start.
    pub incarnation: u64,
}

/// The state machine of one router.
pub struct Node {
    identity: Identity,
    seed: u64,
}

impl Node {
    /// Creates a router that knows nothing yet but itself.
    pub fn new(identity: Identity, seed: u64) -> Node {
        Node { identity, seed }
    }

    /// Returns what the router knows of itself.
    pub fn identity(&self) -> &Identity {
        &self.identity
    }

    /// Takes in one event and adds what is to be done to `out`.
    pub fn handle(&mut self, now: Time, event: Event, out: &mut Vec<Action>) {
        let _ = (now, event, out, self.seed);
    }

    /// Returns the time at which [`Event::Tick`] is to be handed in, if nothing happens before.
    pub fn next_deadline(&self) -> Option<Time> {
        None
    }
}
