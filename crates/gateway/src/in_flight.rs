//! Accounting of requests in flight as load of their backend server.

use std::rc::Rc;

use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;

/// A request in flight; dropping it ends its share of the backend server's load.
pub struct InFlight {
    cx: Rc<Context>,
    server: ServerKey,
    reading_ms: u64,
}

impl InFlight {
    /// Adds a request whose prefill takes an estimated `reading_ms` milliseconds to the load.
    pub fn begin(cx: &Rc<Context>, server: ServerKey, reading_ms: u64) -> InFlight {
        let mut belief = cx.belief.borrow_mut();
        belief.fleet.begin(now(), server, reading_ms);
        InFlight {
            cx: Rc::clone(cx),
            server,
            reading_ms,
        }
    }

    /// Ends the prefill's share of the load, as the backend server has responded.
    pub fn answered(&mut self) {
        let mut belief = self.cx.belief.borrow_mut();
        let read_ms = std::mem::take(&mut self.reading_ms);
        belief.fleet.prompt_read(now(), self.server, read_ms);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut belief = self.cx.belief.borrow_mut();
        belief.fleet.end(self.server, self.reading_ms);
    }
}
