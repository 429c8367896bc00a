//! Two steps to an engine: a cell by affinity and load, then its owner's choice.

use rand::Rng;

use crate::arrive::COME_BACK_MS;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::cells::CellKey;
use crate::cells::Owner;
use crate::interner::NameKey;
use crate::overload::NotNow;
use crate::placement::Ask;
use crate::placement::Choice;
use crate::rendezvous;
use crate::timers::Timer;
use crate::Action;
use crate::CallId;
use crate::Node;
use crate::PeerMessage;
use crate::PlacementQuery;
use crate::Reason;
use crate::ServerKey;
use crate::Time;

/// Time to wait for the answer of an owner in the same region, in milliseconds.
const OWNER_WAIT_MS: u64 = 5;

/// Time to wait for the answer of an owner in another region, in milliseconds.
const FAR_OWNER_WAIT_MS: u64 = 15;

/// Cells, in the order of affinity, whose costs are compared.
const CELLS_COMPARED: usize = 3;

/// Price of the first use of a cell by a prompt family, as a multiple of the
/// time to compute the pieces that the cell lacks.
const MOVE_PRICE: f64 = 2.0;

/// Cost of each place in the order of cells, so that a family goes back to its
/// first cell once that has room, in microseconds.
const STAY_US: f64 = 100_000.0;

/// Work of this router at an engine from which another is chosen when the owner
/// is silent, in microseconds.
const KNOWN_WAIT_US: u64 = 500_000;

/// Extra latency of an engine in another region, there and back, in microseconds.
const FAR_US: f64 = 10_000.0;

impl Node {
    /// Chooses an engine for a call, or asks the owner of the best cell to.
    pub(crate) fn place(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(cell) = self.best_cell(now, id) else {
            let soon = now.plus_millis(COME_BACK_MS);
            self.refuse(id, NotNow::until(soon, Reason::NoBackendServer), out);
            return;
        };
        let cell_id = self.cells.get(cell).id;
        self.on_cell_chosen(now, id, cell_id);
        match self.cells.get(cell).owner.clone() {
            Owner::Own => self.place_alone(now, id, cell_id, out),
            Owner::Peer(vm) => self.ask_owner(now, id, cell_id, &vm, out),
        }
    }

    fn on_cell_chosen(&mut self, now: Time, id: CallId, cell: u64) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if let Target::Engine(ask) = &call.target {
            self.cell_loads.on_sent(cell, call.tokens);
            self.cell_affinity.on_sent(now, cell, ask.family());
        }
    }

    /// Returns the cell with the lowest cost that has an engine left for the call.
    fn best_cell(&self, now: Time, id: CallId) -> Option<CellKey> {
        let call = self.calls.get(id)?;
        let Target::Engine(ask) = &call.target else {
            return None;
        };
        self.cell_costs(now, ask, &call.failed_at)
            .into_iter()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _)| key)
    }

    /// Returns the costs of the first cells by affinity that have an engine left
    /// for a request, in microseconds.
    pub(crate) fn cell_costs(
        &self,
        now: Time,
        ask: &Ask,
        avoid: &[ServerKey],
    ) -> Vec<(CellKey, f64)> {
        let mut ranked: Vec<(f64, CellKey)> = self
            .cells
            .serving(ask.workspace, ask.model)
            .map(|(key, cell)| {
                let score = rendezvous::sized_score(ask.family(), cell.id, cell.members.len());
                (score, key)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked
            .iter()
            .filter(|(_, key)| self.has_candidate(*key, ask, avoid))
            .take(CELLS_COMPARED)
            .enumerate()
            .map(|(place, (_, key))| (*key, self.cell_cost_us(now, ask, *key, place)))
            .collect()
    }

    /// Returns the cost of a cell, in microseconds: only the first by affinity
    /// is expected to hold the prompt's pieces, unless more is known.
    fn cell_cost_us(&self, now: Time, ask: &Ask, key: CellKey, place: usize) -> f64 {
        let cell = self.cells.get(key);
        let wait_us = match cell.owner {
            Owner::Own => self.own_wait_us(now, &cell.members),
            Owner::Peer(_) => {
                let us_per_token = ask.prefill_us_per_token;
                self.cell_loads
                    .wait_us(now, cell.id, cell.members.len(), us_per_token)
            }
        };
        let same = **self.fleet.regions.name(cell.region) == *self.identity.region;
        let far_us = if same { 0.0 } else { FAR_US };
        let part = self
            .cell_affinity
            .part(now, cell.id, ask.family(), place == 0);
        let all_us = ask.work_us(0) - ask.work_us(ask.pieces.len());
        let copy_us = (1.0 - part) * all_us as f64 * MOVE_PRICE;
        wait_us + far_us + copy_us + place as f64 * STAY_US
    }

    fn own_wait_us(&self, now: Time, members: &[ServerKey]) -> f64 {
        let sum: u64 = members
            .iter()
            .map(|server| self.placement.wait_us(now, *server))
            .sum();
        sum as f64 / members.len().max(1) as f64
    }

    /// Returns the engines that may run `model` for `workspace` now.
    pub(crate) fn engines(&self, workspace: NameKey, model: NameKey) -> Vec<ServerKey> {
        self.cells
            .serving(workspace, model)
            .flat_map(|(_, cell)| cell.members.iter().copied())
            .filter(|key| self.fleet.may_serve(*key, workspace))
            .collect()
    }

    fn has_candidate(&self, cell: CellKey, ask: &Ask, avoid: &[ServerKey]) -> bool {
        let members = &self.cells.get(cell).members;
        members
            .iter()
            .any(|key| self.is_candidate(*key, ask, avoid))
    }

    fn is_candidate(&self, key: ServerKey, ask: &Ask, avoid: &[ServerKey]) -> bool {
        !avoid.contains(&key) && self.fleet.may_serve(key, ask.workspace)
    }

    /// Returns the members of a cell that a request may go to.
    pub(crate) fn candidates(
        &self,
        members: &[ServerKey],
        ask: &Ask,
        avoid: &[ServerKey],
    ) -> Vec<ServerKey> {
        members
            .iter()
            .copied()
            .filter(|key| self.is_candidate(*key, ask, avoid))
            .collect()
    }

    /// Chooses an engine of a cell by what this router knows, and sends the call there.
    pub(crate) fn place_alone(&mut self, now: Time, id: CallId, cell: u64, out: &mut Vec<Action>) {
        let choice = self.calls.get(id).and_then(|call| match &call.target {
            Target::Engine(ask) => self
                .choose_as_owner_did(now, cell, ask, &call.failed_at)
                .or_else(|| self.choose(now, cell, ask, &call.failed_at)),
            Target::Stream { .. } | Target::Service(_) => None,
        });
        let Some(choice) = choice else {
            let soon = now.plus_millis(COME_BACK_MS);
            self.refuse(id, NotNow::until(soon, Reason::NoBackendServer), out);
            return;
        };
        self.send_to_choice(now, id, Some(cell), choice, out);
    }

    /// Returns the engine of another's cell that its owner chose last for the
    /// prompt's family, unless something speaks against it.
    fn choose_as_owner_did(
        &self,
        now: Time,
        cell: u64,
        ask: &Ask,
        avoid: &[ServerKey],
    ) -> Option<Choice> {
        if self.own_cells.contains(&cell) {
            return None;
        }
        let server = self.cell_affinity.server(cell, ask.family())?;
        let suspect = self.fleet.server(server).suspect_until > now;
        let busy = self.placement.wait_us(now, server) > KNOWN_WAIT_US;
        let fits = !suspect && !busy && self.is_candidate(server, ask, avoid);
        fits.then(|| self.placement.choose_known(now, ask, server))
    }

    pub(crate) fn choose(
        &self,
        now: Time,
        cell: u64,
        ask: &Ask,
        avoid: &[ServerKey],
    ) -> Option<Choice> {
        let members = &self.cells.find(cell)?.members;
        let candidates = self.candidates(members, ask, avoid);
        self.placement
            .choose(now, &self.settings, ask, (cell, &candidates), &self.fleet)
    }

    fn ask_owner(&mut self, now: Time, id: CallId, cell: u64, vm: &str, out: &mut Vec<Action>) {
        let ticket = self.rng.random();
        let near = self
            .routers
            .get(vm)
            .is_some_and(|router| router.region == self.identity.region);
        let wait_ms = if near {
            OWNER_WAIT_MS
        } else {
            FAR_OWNER_WAIT_MS
        };
        let until = now.plus_millis(wait_ms);
        let Some(message) = self.place_request(id, ticket, cell) else {
            return;
        };
        let call = self.calls.get_mut(id).expect("only live calls are placed");
        call.stage = Stage::Placing { ticket, cell };
        self.tickets.insert(ticket, id);
        self.timers.add(until, Timer::Place(ticket));
        self.tell(vm, PeerMessage::Place(message), out);
    }

    fn place_request(&self, id: CallId, ticket: u64, cell: u64) -> Option<PlacementQuery> {
        let call = self.calls.get(id)?;
        let Target::Engine(ask) = &call.target else {
            return None;
        };
        let avoid = call.failed_at.iter();
        Some(PlacementQuery {
            ticket,
            cell,
            pieces: ask.pieces.clone(),
            prompt_tokens: u32::try_from(ask.prompt_tokens).unwrap_or(u32::MAX),
            rank: ask.rank,
            fingerprint: ask.fingerprint,
            workspace: self.fleet.workspaces.name(ask.workspace).to_string(),
            model: self.fleet.models.name(ask.model).to_string(),
            avoid: avoid
                .map(|key| self.fleet.server(*key).name.clone())
                .collect(),
        })
    }
}
