//! The stream of a request: where it may go on, from its first event or from an earlier request on.

use std::sync::Arc;

use relay::Build;
use relay::StreamBuild;
use relay::StreamId;
use relay::StreamOrigin;

use crate::clock::now;
use crate::exchange::Exchange;
use crate::log_event::LogEvent;
use crate::request_event::RequestEvent;
use crate::request_event::TakenUp;
use crate::stream_builds;
use crate::stream_lookup::find_build;

impl Exchange {
    /// Binds the stream to the build of the server that brings its first event, unless it is bound.
    /// Called before that event is passed on.
    pub fn bind_stream(&self) {
        if self.stream_build.get().is_bound() {
            return;
        }
        let stream_build = self.latest_build();
        self.stream_build.set(stream_build);
        if let StreamBuild::Only(build) = stream_build {
            let origin = StreamOrigin {
                stream: StreamId::new(&self.parsed.id),
                build,
            };
            stream_builds::begin(&self.cx, origin, &self.services());
        }
    }

    /// Binds the stream, which broke off, to no build if it isn't certain which one wrote its last
    /// events.
    pub fn check_broken_stream(&self) {
        if self.stream_build.get().is_bound() && self.latest_build() == StreamBuild::Unknown {
            self.stream_build.set(StreamBuild::Unknown);
        }
    }

    /// Finds out at which build the stream may go on if the caller takes it up, and picks a service
    /// of the route that has it. Returns whether it is known; always true for a stream that begins.
    pub async fn resolve_stream(&mut self) -> bool {
        if self.parsed.last_event.is_none() && self.parsed.resumes.is_none() {
            return true;
        }
        let asked_at = now();
        let stream = self.parsed.resumes.as_deref().map(StreamId::new);
        let services = self.services();
        let found = find_build(&self.cx, stream, &services).await;
        let builds = self.cx.view.borrow().builds(now(), &services);
        let taken_up = TakenUp {
            id: &self.parsed.id,
            resumes: self.parsed.resumes.as_deref(),
            source: found.source,
            stored: found.stored,
            answers: found.answers,
            builds: builds.len(),
            took_ms: now().millis_since(asked_at),
        };
        let counter = &self.cx.metrics.streams.taken_up;
        counter.with_label_values(&[taken_up.source]).inc();
        RequestEvent::TakenUp(taken_up).write();
        let Some(build) = found.build else {
            return false;
        };
        self.stream_build.set(StreamBuild::Only(build));
        self.pick_service_with(build);
        true
    }

    /// Returns the build of the latest attempt's server. It is that at which the request was sent,
    /// also if the server's registration has ended since.
    fn latest_build(&self) -> StreamBuild {
        let view = self.cx.view.borrow();
        let server = self.latest_server.as_ref();
        server.map_or(StreamBuild::Unknown, |server| {
            server.stream_build(&view.fleet)
        })
    }

    /// Returns the names of the services to which the route leads.
    fn services(&self) -> Vec<Arc<str>> {
        let shares = self.route.shares.iter();
        shares.map(|share| Arc::clone(&share.service)).collect()
    }

    /// Keeps the service if it has servers of a build, otherwise picks another one of the route that
    /// has.
    fn pick_service_with(&mut self, build: Build) {
        let service = {
            let view = self.cx.view.borrow();
            let has_build = |service: &str| {
                let mut servers = view.fleet.of_service(service);
                servers.any(|(_, server)| server.build == build)
            };
            let mut shares = self.route.shares.iter().map(|share| &share.service);
            if has_build(&self.service) {
                None
            } else {
                shares.find(|service| has_build(service)).map(Arc::clone)
            }
        };
        if let Some(service) = service {
            self.service = service;
        }
    }
}
