//! Requests that are counted as load of a backend server.

use std::rc::Rc;

use relay::ServerKey;

use crate::clock::now;
use crate::hub::Hub;

/// A request at a backend server; counted down when dropped.
pub struct InFlight {
    hub: Rc<Hub>,
    server: ServerKey,
    unread_tokens: u64,
}

impl InFlight {
    /// Counts a request with `tokens` to be read.
    pub fn begin(hub: &Rc<Hub>, server: ServerKey, tokens: u64) -> InFlight {
        let mut belief = hub.belief.borrow_mut();
        belief.fleet.begin(now(), server, tokens);
        InFlight {
            hub: Rc::clone(hub),
            server,
            unread_tokens: tokens,
        }
    }

    /// Notes that the backend server has answered, after it read the prompt.
    pub fn answered(&mut self) {
        let mut belief = self.hub.belief.borrow_mut();
        let tokens = std::mem::take(&mut self.unread_tokens);
        belief.fleet.prompt_read(now(), self.server, tokens);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut belief = self.hub.belief.borrow_mut();
        belief.fleet.end(self.server, self.unread_tokens);
    }
}
