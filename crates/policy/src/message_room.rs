//! Limits on the states of suspects in one message, so that it fits a datagram.

/// Maximum number of new states, of repeated ones and of blocked suspects in one message.
const MAX_NEW: usize = 60;
const MAX_REPEATED: usize = 8;
const MAX_BLOCKED: usize = 24;

/// Maximum number of strikes in one message, of some 13 bytes each.
const MAX_STRIKES: usize = 120;

/// What a message holds so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageRoom {
    new: usize,
    repeated: usize,
    blocked: usize,
    strikes: usize,
}

impl MessageRoom {
    /// Takes the room for the state of a suspect with some strikes. Returns whether there is any.
    pub(crate) fn take(&mut self, is_new: bool, is_blocked: bool, strikes: usize) -> bool {
        let (taken, max) = if is_blocked {
            (&mut self.blocked, MAX_BLOCKED)
        } else if is_new {
            (&mut self.new, MAX_NEW)
        } else {
            (&mut self.repeated, MAX_REPEATED)
        };
        if *taken >= max || self.strikes + strikes > MAX_STRIKES {
            return false;
        }
        *taken += 1;
        self.strikes += strikes;
        true
    }
}
