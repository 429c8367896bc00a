//! Responses to placement queries, and their timeouts.

use crate::call_table::Stage;
use crate::call_table::Target;
use crate::placement::Choice;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::Placed;
use crate::ServerInstance;
use crate::ServerKey;
use crate::Time;
use crate::BLOCK_TOKENS;

impl Node {
    /// Places a call locally if the owner of the cell has not responded in time.
    pub(crate) fn on_query_timeout(&mut self, now: Time, ticket: u64, out: &mut Vec<Action>) {
        if let Some((id, cell)) = self.take_ticket(ticket) {
            self.place_locally(now, id, cell, out);
        }
    }

    /// Returns the call that waits for the response to a ticket, and the cell.
    fn take_ticket(&mut self, ticket: u64) -> Option<(CallId, u64)> {
        let id = self.tickets.remove(&ticket)?;
        match self.calls.get(id)?.stage {
            Stage::Placing { ticket: t, cell } if t == ticket => Some((id, cell)),
            _ => None,
        }
    }

    /// Handles the response to a placement query.
    pub(crate) fn on_placement_response(
        &mut self,
        now: Time,
        placed: &Placed,
        out: &mut Vec<Action>,
    ) {
        let Some((id, cell)) = self.take_ticket(placed.ticket) else {
            return;
        };
        match self.validated_choice(now, id, cell, placed) {
            Some(choice) => {
                self.record_owner_choice(id, cell, choice.server);
                self.send_to_choice(now, id, None, choice, out);
            }
            None => self.place_locally(now, id, cell, out),
        }
    }

    fn record_owner_choice(&mut self, id: CallId, cell: u64, server: ServerKey) {
        if let Some(Target::Engine(request)) = self.calls.get(id).map(|call| &call.target) {
            self.cell_affinity
                .on_owner_choice(cell, request.family(), server);
        }
    }

    /// Returns the owner's choice unless it contradicts what this router knows.
    fn validated_choice(
        &mut self,
        now: Time,
        id: CallId,
        cell: u64,
        placed: &Placed,
    ) -> Option<Choice> {
        let server = self.current_server(placed.server.as_ref()?)?;
        if self.cells.id_of(server) != Some(cell) {
            return None;
        }
        let call = self.calls.get(id)?;
        let Target::Engine(request) = &call.target else {
            return None;
        };
        let suspect = self.fleet.server(server).suspect_until > now;
        let fits = !suspect && !call.failed_servers.contains(&server);
        if !fits || !self.fleet.may_serve(server, request.workspace) {
            return None;
        }
        let held = u64::from(placed.expected_cached_tokens) / BLOCK_TOKENS;
        let begins_at = now.plus_millis(u64::from(placed.expected_wait_ms));
        let first_token_at = begins_at.plus_micros(request.work_us(held as usize));
        let fetch_from = placed
            .fetch_from
            .as_ref()
            .and_then(|instance| self.current_server(instance));
        Some(Choice {
            server,
            expected_cached_tokens: u64::from(placed.expected_cached_tokens),
            fetch_from,
            transfer_us: 0,
            begins_at,
            first_token_at,
        })
    }

    /// Returns the server of an instance unless a later incarnation was observed.
    fn current_server(&mut self, instance: &ServerInstance) -> Option<ServerKey> {
        let server = self.fleet.find(&instance.server)?;
        self.observe_incarnation(server, instance.incarnation);
        (self.fleet.server(server).incarnation == instance.incarnation).then_some(server)
    }
}
