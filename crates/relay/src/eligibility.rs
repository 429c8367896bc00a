//! Which backend servers may get a request.

use crate::placement::wait_ms;
use crate::BackendServer;
use crate::Placement;
use crate::PlacementRequest;
use crate::StreamBuild;

impl Placement<'_> {
    /// Returns whether a backend server has the request's model, and the build at which its stream
    /// began.
    pub(crate) fn may_serve(&self, server: &BackendServer, request: &PlacementRequest<'_>) -> bool {
        let is_at_build = match request.stream_build {
            StreamBuild::Any => true,
            StreamBuild::Only(build) => server.build == build,
            StreamBuild::Unknown => false,
        };
        is_at_build && self.serves_model(server, request)
    }

    /// Returns whether a backend server has the request's model. A plain service may get prompts
    /// too; an engine that lists no models has an entry of another writer.
    fn serves_model(&self, server: &BackendServer, request: &PlacementRequest<'_>) -> bool {
        let Some(prompt) = &request.prompt else {
            return true;
        };
        let configuration = self.stores.configuration;
        let is_plain = server.registration.weights.is_empty()
            && !configuration.is_some_and(|c| c.runs_models(request.service));
        is_plain || server.weights(prompt.model).is_some()
    }

    /// Returns whether a backend server may get the request now.
    pub(crate) fn is_usable(&self, request: &PlacementRequest<'_>, server: &BackendServer) -> bool {
        server.takes_requests(self.now)
            && !self.is_overdue(request, server)
            && !self.is_spared(request, server)
    }

    /// Returns whether a backend server that rejected requests in a row gets no further one: until
    /// one has run, it gets one at a time, and no retries.
    fn is_spared(&self, request: &PlacementRequest<'_>, server: &BackendServer) -> bool {
        let is_test = server.own_waiting() == 0 && request.tried.is_empty();
        server.rejections.in_a_row(self.now) > 0 && !is_test
    }

    /// Returns whether the request would begin after the time up to which the server's weights may be
    /// used.
    fn is_overdue(&self, request: &PlacementRequest<'_>, server: &BackendServer) -> bool {
        // What matters is when the request begins, after those ahead of it.
        let begins_at = self.now.plus_millis(wait_ms(server, self.now) as u64);
        let overdue_from = match &request.prompt {
            Some(prompt) => server
                .weights(prompt.model)
                .and_then(|version| self.weights.overdue_from(prompt.model, version)),
            None => self.weights.server_overdue_from(server),
        };
        overdue_from.is_some_and(|at| at <= begins_at)
    }
}
