//! Events at replicas of the plain service.

use std::sync::Arc;

use policy::BackendReport;
use policy::Failure;
use policy::StoredResponse;

use crate::soak::network::Endpoint;
use crate::soak::request::RequestKind;
use crate::soak::routers::CONNECTION_TIMEOUT_US;
use crate::soak::scheduled_event::Conn;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

impl World {
    /// Handles the arrival of a call at a replica and schedules its execution.
    pub(crate) fn on_replica_start(&mut self, conn: Conn, replica: usize, request: u64) {
        let return_us = self.return_latency_us(Endpoint::Replica(replica), conn);
        if !self.replicas[replica].up {
            self.report_failure_or_timeout(return_us, conn, Failure::NotConnected);
            return;
        }
        let us = match self.one_in(10) {
            true => 2_000_000 + self.random_below(4_000_000),
            false => 5_000 + self.random_below(50_000),
        };
        let crashes_after_running = self.injects_minor_faults() && self.one_in(12);
        self.schedule_after_us(
            us,
            ScheduledEvent::ReplicaEnd {
                conn,
                replica,
                request,
                crashes_after_running,
            },
        );
    }

    /// Runs a call at a replica and responds, unless the replica crashes before that.
    pub(crate) fn on_replica_end(
        &mut self,
        conn: Conn,
        replica: usize,
        request: u64,
        crashes_after_running: bool,
    ) {
        let return_us = self.return_latency_us(Endpoint::Replica(replica), conn);
        if !self.replicas[replica].up {
            self.report_failure_or_timeout(return_us, conn, Failure::Broken);
            return;
        }
        self.ledger.on_execution(conn.from, conn.call);
        let run = self.random_below(u64::MAX);
        let body = format!("request {request} run {run}").into_bytes();
        if let RequestKind::Booking { key } = self.requests[&request].kind.clone() {
            self.add_trace_line(format!("replica {replica} runs {key} for {conn:?}"));
            self.ledger.on_booking_execution(&key, &body);
        }
        if crashes_after_running {
            self.replicas[replica].up = false;
            let up_us = 300_000 + self.random_below(1_000_000);
            self.schedule_after_us(up_us, ScheduledEvent::ReplicaUp(replica));
            self.report_break_after_us(return_us.unwrap_or(CONNECTION_TIMEOUT_US), conn);
            return;
        }
        let response = StoredResponse {
            status: 201,
            content_type: None,
            body: Arc::new(body),
        };
        match return_us {
            Some(us) => self.report_after_us(us, conn, BackendReport::Responded(response)),
            None => self.report_break_after_us(CONNECTION_TIMEOUT_US, conn),
        }
    }
}
