//! Requests that are counted as load of a backend server.

use std::rc::Rc;

use relay::ServerKey;

use crate::clock::now;
use crate::context::Context;

/// A request at a backend server; counted down when dropped.
pub struct InFlight {
    cx: Rc<Context>,
    server: ServerKey,
    reading_ms: u64,
}

impl InFlight {
    /// Counts a request whose prompt takes `reading_ms` to read.
    pub fn begin(cx: &Rc<Context>, server: ServerKey, reading_ms: u64) -> InFlight {
        let mut belief = cx.belief.borrow_mut();
        belief.fleet.begin_request(now(), server, reading_ms);
        InFlight {
            cx: Rc::clone(cx),
            server,
            reading_ms,
        }
    }

    /// Notes that the backend server has answered, after it read the prompt.
    pub fn answered(&mut self) {
        let mut belief = self.cx.belief.borrow_mut();
        let read_ms = std::mem::take(&mut self.reading_ms);
        belief.fleet.end_prefill(now(), self.server, read_ms);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        let mut belief = self.cx.belief.borrow_mut();
        belief.fleet.end_request(self.server, self.reading_ms);
    }
}
