//! This router's requests in flight, counted at their backend servers.

use policy::Time;

use crate::Fleet;
use crate::ServerKey;

impl Fleet {
    /// Counts a request that this router dispatches; `prefill_ms` is its estimated prefill time.
    pub fn begin_request(&mut self, now: Time, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.begin_request(now, prefill_ms);
        }
    }

    /// Subtracts the prefill time of a request to which the backend server has responded, and
    /// restarts the server's time without a response.
    pub fn end_prefill(&mut self, now: Time, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.own.end_prefill(now, prefill_ms);
        }
    }

    /// Records that a request of this router has its first response, or ended without one.
    pub fn end_waiting(&mut self, key: ServerKey) {
        if let Some(server) = self.get_mut(key) {
            server.own.end_waiting();
        }
    }

    /// Uncounts a request of this router; `prefill_ms` is the prefill time still counted for it.
    pub fn end_request(&mut self, key: ServerKey, prefill_ms: u64) {
        if let Some(server) = self.get_mut(key) {
            server.end_request(prefill_ms);
        }
    }
}
