//! Failures that routers see at their connections to backends.

use policy::Failure;

use crate::soak::network::Endpoint;
use crate::soak::routers::CONNECTION_TIMEOUT_US;
use crate::soak::scheduled_event::Conn;
use crate::soak::world::World;

impl World {
    /// Reports a broken connection to its router after `us` microseconds.
    pub(crate) fn report_break_after_us(&mut self, us: u64, conn: Conn) {
        self.report_failure_after_us(us, conn, Failure::Broken);
    }

    /// Reports a failure to the router; if the response can't reach it, the router's
    /// connection times out instead.
    pub(crate) fn report_failure_or_timeout(
        &mut self,
        return_us: Option<u64>,
        conn: Conn,
        failure: Failure,
    ) {
        match return_us {
            Some(us) => self.report_failure_after_us(us, conn, failure),
            None => self.report_break_after_us(CONNECTION_TIMEOUT_US, conn),
        }
    }

    /// Returns the latency to the connection's router, in microseconds; `None` if the
    /// network drops messages in that direction.
    pub(crate) fn return_latency_us(&self, from: Endpoint, conn: Conn) -> Option<u64> {
        let to = Endpoint::Router(conn.from.router);
        let delivers = self.network.delivers(self.now, from, to);
        delivers.then(|| self.network.latency_us(from, to))
    }
}
