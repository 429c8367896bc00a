//! Answers of cells' owners, and their absence.

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
    /// Decides alone for a call whose owner has not answered in time.
    pub(crate) fn on_place_deadline(&mut self, now: Time, ticket: u64, out: &mut Vec<Action>) {
        if let Some((id, cell)) = self.take_ticket(ticket) {
            self.place_alone(now, id, cell, out);
        }
    }

    /// Returns the call that waits for the answer to a ticket, and the cell.
    fn take_ticket(&mut self, ticket: u64) -> Option<(CallId, u64)> {
        let id = self.tickets.remove(&ticket)?;
        match self.calls.get(id)?.stage {
            Stage::Placing { ticket: t, cell } if t == ticket => Some((id, cell)),
            _ => None,
        }
    }

    /// Takes the owner's answer in.
    pub(crate) fn on_placed(&mut self, now: Time, placed: &Placed, out: &mut Vec<Action>) {
        let Some((id, cell)) = self.take_ticket(placed.ticket) else {
            return;
        };
        match self.checked(now, id, cell, placed) {
            Some(choice) => {
                self.on_owner_chose(id, cell, choice.server);
                self.send_to_choice(now, id, None, choice, out);
            }
            None => self.place_alone(now, id, cell, out),
        }
    }

    fn on_owner_chose(&mut self, id: CallId, cell: u64, server: ServerKey) {
        if let Some(Target::Engine(ask)) = self.calls.get(id).map(|call| &call.target) {
            self.cell_affinity.on_placed(cell, ask.family(), server);
        }
    }

    /// Returns the owner's choice if this router knows nothing against it.
    fn checked(&mut self, now: Time, id: CallId, cell: u64, placed: &Placed) -> Option<Choice> {
        let server = self.known(placed.server.as_ref()?)?;
        if self.cells.id_of(server) != Some(cell) {
            return None;
        }
        let call = self.calls.get(id)?;
        let Target::Engine(ask) = &call.target else {
            return None;
        };
        let suspect = self.fleet.server(server).suspect_until > now;
        let fits = !suspect && !call.failed_at.contains(&server);
        if !fits || !self.fleet.may_serve(server, ask.workspace) {
            return None;
        }
        let held = u64::from(placed.expected_cached_tokens) / BLOCK_TOKENS;
        let begins_at = now.plus_millis(u64::from(placed.expected_wait_ms));
        let first_token_at = begins_at.plus_micros(ask.work_us(held as usize));
        let fetch_from = placed.fetch_from.as_ref().and_then(|mark| self.known(mark));
        Some(Choice {
            server,
            expected_cached_tokens: u64::from(placed.expected_cached_tokens),
            fetch_from,
            transfer_us: 0,
            begins_at,
            first_token_at,
        })
    }

    /// Returns the server of a mark, unless a later incarnation was seen.
    fn known(&mut self, mark: &ServerInstance) -> Option<ServerKey> {
        let server = self.fleet.find(&mark.server)?;
        self.see_incarnation(server, mark.incarnation);
        (self.fleet.server(server).incarnation == mark.incarnation).then_some(server)
    }
}
