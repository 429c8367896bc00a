//! Events at engines.

use policy::BackendReport;
use policy::Dispatch;
use policy::Event;
use policy::Failure;
use policy::HeldWeights;
use policy::Incarnation;
use policy::LoadReport;

use crate::soak::config;
use crate::soak::network::Endpoint;
use crate::soak::request::RequestKind;
use crate::soak::request::StreamLocation;
use crate::soak::routers::CONNECTION_TIMEOUT_US;
use crate::soak::scheduled_event::Conn;
use crate::soak::scheduled_event::ScheduledEvent;
use crate::soak::world::World;

/// Duration of one step of an engine's batch, in microseconds.
const ENGINE_STEP_US: u64 = 20_000;

impl World {
    /// Handles the arrival of an attempt at an engine: starts or resumes a stream, or refuses.
    pub(crate) fn on_engine_start(&mut self, conn: Conn, dispatch: &Dispatch, request: u64) {
        let index = config::index_of(&dispatch.server_name);
        let return_us = self.return_latency_us(Endpoint::Engine(index), conn);
        let resume = self.requested_resume(conn);
        let engine = &self.engines[index];
        let expected = dispatch.incarnation.0;
        let failure = if !engine.up {
            Some(Failure::NotConnected)
        } else if expected != 0 && expected != engine.incarnation {
            Some(Failure::StaleIncarnation)
        } else if engine.leaving_since.is_some() && resume.is_none() {
            Some(Failure::Leaving)
        } else if dispatch.weights_version > 0
            && dispatch.weights_version != config::WEIGHTS_VERSION
        {
            Some(Failure::StaleWeights)
        } else {
            None
        };
        if let Some(failure) = failure {
            self.report_failure_or_timeout(return_us, conn, failure);
            return;
        }
        match resume {
            Some(location) => self.resume_stream(conn, index, location, dispatch.resume_after),
            None => self.start_stream(conn, index, request, dispatch.resume_after),
        }
    }

    /// Returns the stream that the caller resumes, if the router still runs the same boot.
    fn requested_resume(&self, conn: Conn) -> Option<StreamLocation> {
        let vm = &self.vms[conn.from.router];
        let call = vm.calls.get(&conn.call)?;
        call.resume.filter(|_| vm.boot == conn.from)
    }

    fn resume_stream(&mut self, conn: Conn, index: usize, location: StreamLocation, after: u32) {
        let overlap = self.one_in(2);
        let resumed = self.engines[index].resume(conn, location.stream, after, overlap);
        if resumed {
            self.count("resumed_at_engine");
            self.schedule_step(index);
        } else {
            let return_us = self.return_latency_us(Endpoint::Engine(index), conn);
            self.report_failure_or_timeout(return_us, conn, Failure::Refused);
        }
    }

    fn start_stream(&mut self, conn: Conn, index: usize, request: u64, after: u32) {
        let RequestKind::Stream { tokens, crashes } = self.requests[&request].kind else {
            panic!("only streams go to engines");
        };
        self.ledger.on_execution(conn.from, conn.call);
        self.engines[index].start(conn, request, after, tokens, crashes);
        let report = BackendReport::Started {
            incarnation: Incarnation(self.engines[index].incarnation),
            cached_tokens: 0,
        };
        if let Some(us) = self.return_latency_us(Endpoint::Engine(index), conn) {
            self.report_after_us(us, conn, report);
        }
        self.schedule_step(index);
    }

    /// Schedules the engine's next batch step unless one is scheduled.
    fn schedule_step(&mut self, index: usize) {
        let engine = &mut self.engines[index];
        if engine.step_scheduled {
            return;
        }
        engine.step_scheduled = true;
        let incarnation = engine.incarnation;
        let scheduled = ScheduledEvent::EngineStep {
            engine: index,
            incarnation,
        };
        self.schedule_after_us(ENGINE_STEP_US, scheduled);
    }

    /// Computes one step of an engine's batch and sends the tokens to the routers.
    pub(crate) fn on_engine_step(&mut self, index: usize, incarnation: u64) {
        let engine = &mut self.engines[index];
        if !engine.up || engine.incarnation != incarnation {
            return;
        }
        engine.step_scheduled = false;
        let step = engine.step();
        if let Some((request, conn)) = step.crash {
            self.on_crashing_request(index, request, conn.from.router);
            return;
        }
        for (conn, token) in step.tokens {
            match self.return_latency_us(Endpoint::Engine(index), conn) {
                Some(us) => self.schedule_after_us(us, ScheduledEvent::Token { conn, token }),
                None => {
                    self.engines[index].detach(conn);
                    self.report_break_after_us(CONNECTION_TIMEOUT_US, conn);
                }
            }
        }
        if self.engines[index].len() > 0 {
            self.schedule_step(index);
        }
    }

    /// Crashes an engine; `by` is the request that caused it, if one did.
    pub(crate) fn crash_engine(&mut self, index: usize, by: Option<u64>) {
        if !self.engines[index].up {
            return;
        }
        let streams = self.engines[index].crash();
        for stream in streams {
            if by.is_some() && by != Some(stream.request) {
                let request = self
                    .requests
                    .get_mut(&stream.request)
                    .expect("requests are never removed");
                request.co_located = true;
            }
            if let Some(conn) = stream.conn {
                let us = self.return_latency_us(Endpoint::Engine(index), conn);
                self.report_break_after_us(us.unwrap_or(CONNECTION_TIMEOUT_US), conn);
            }
        }
        let us = 200_000 + self.random_below(2_000_000);
        self.schedule_after_us(us, ScheduledEvent::EngineUp(index));
    }

    /// Restarts a crashed engine, without its streams.
    pub(crate) fn on_engine_up(&mut self, index: usize) {
        if self.engines[index].up {
            return;
        }
        self.engines[index].restart();
        self.add_trace_line(format!("engine {index} is back, empty"));
        self.record_members();
    }

    /// Publishes the load of the engines that are up, each with 90% probability.
    pub(crate) fn on_load_reports(&mut self) {
        for index in 0..self.engines.len() {
            if self.engines[index].up && !self.one_in(10) {
                self.publish_load(index);
            }
        }
        self.schedule_after_us(500_000, ScheduledEvent::LoadReports);
    }

    /// Sends an engine's load to each router that watches it.
    fn publish_load(&mut self, index: usize) {
        let name = config::engine_name(index);
        let engine = &self.engines[index];
        let report = LoadReport {
            server: name.clone(),
            incarnation: Incarnation(engine.incarnation),
            at: self.now,
            queued_tokens: 0,
            running: u32::try_from(engine.len()).expect("the number of streams fits in u32"),
            leaving: engine.leaving_since.is_some(),
            weights: Some(vec![HeldWeights {
                model: config::MODEL.to_owned(),
                version: config::WEIGHTS_VERSION,
            }]),
        };
        for router in 0..self.vms.len() {
            let vm = &self.vms[router];
            let Some(node) = &vm.node else {
                continue;
            };
            let watches = vm
                .watched
                .iter()
                .any(|key| node.server_address(*key).0 == name);
            let (from, to) = (Endpoint::Engine(index), Endpoint::Router(router));
            if watches && self.network.delivers(self.now, from, to) {
                let lag_us = 100_000 + self.random_below(300_000);
                let boot = self.vms[router].boot;
                self.send_event_after_us(lag_us, boot, Event::Load(report.clone()));
            }
        }
    }
}
