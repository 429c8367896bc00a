//! Limits on what one message tells of suspects, so that it fits a datagram.

/// Maximum number of new states, of repeated ones and of blocked suspects in one message.
const MAX_NEW: usize = 60;
const MAX_REPEATED: usize = 8;
const MAX_BLOCKED: usize = 24;

/// Maximum number of crashes in one message, of some 13 bytes each.
const MAX_CRASHES: usize = 120;

/// What a message holds so far.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MessageRoom {
    new: usize,
    repeated: usize,
    blocked: usize,
    crashes: usize,
}

impl MessageRoom {
    /// Takes the room for the state of a suspect with some crashes. Returns whether there is any.
    pub(crate) fn take(&mut self, is_new: bool, is_blocked: bool, crashes: usize) -> bool {
        let (taken, max) = if is_blocked {
            (&mut self.blocked, MAX_BLOCKED)
        } else if is_new {
            (&mut self.new, MAX_NEW)
        } else {
            (&mut self.repeated, MAX_REPEATED)
        };
        if *taken >= max || self.crashes + crashes > MAX_CRASHES {
            return false;
        }
        *taken += 1;
        self.crashes += crashes;
        true
    }
}
