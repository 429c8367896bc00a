//! Choice of an engine in two steps: first a cell by affinity and load, then an
//! engine by the cell's owner.

use rand::Rng;

use crate::arrive::RETRY_AFTER_MS;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::cells::CellKey;
use crate::cells::Owner;
use crate::interner::NameKey;
use crate::overload::RefusalCause;
use crate::placement::Choice;
use crate::placement::PlacementRequest;
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

/// Timeout of a query to an owner in the same region, in milliseconds.
const OWNER_TIMEOUT_MS: u64 = 5;

/// Timeout of a query to an owner in another region, in milliseconds.
const REMOTE_OWNER_TIMEOUT_MS: u64 = 15;

/// Number of cells, in the order of affinity, whose costs are compared.
const CELLS_COMPARED: usize = 3;

/// Price of the first use of a cell by a prompt family, as a multiple of the
/// time to compute the blocks that the cell lacks.
const CELL_MOVE_PRICE: f64 = 2.0;

/// Cost of each rank in the order of affinity, so that a family returns to its
/// first cell once that has capacity, in microseconds.
const CELL_RANK_STEP_US: f64 = 100_000.0;

/// Queue of an engine, as known to this router, above which the owner's last
/// choice is not repeated while the owner is unresponsive, in microseconds.
const MAX_REPEATED_CHOICE_WAIT_US: u64 = 500_000;

/// Round-trip latency added by an engine in another region, in microseconds.
const CROSS_REGION_US: f64 = 10_000.0;

impl Node {
    /// Chooses an engine for a call, or queries the owner of the best cell.
    pub(crate) fn place(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let Some(cell) = self.best_cell(now, id) else {
            self.refuse_without_engine(now, id, out);
            return;
        };
        let cell_id = self.cells.get(cell).id;
        self.on_cell_chosen(now, id, cell_id);
        match self.cells.get(cell).owner.clone() {
            Owner::Own => self.place_locally(now, id, cell_id, out),
            Owner::Peer(vm) => self.query_owner(now, id, cell_id, &vm, out),
        }
    }

    fn on_cell_chosen(&mut self, now: Time, id: CallId, cell: u64) {
        let Some(call) = self.calls.get(id) else {
            return;
        };
        if let Target::Engine(request) = &call.target {
            self.cell_loads.on_sent(cell, call.tokens);
            self.cell_affinity.on_sent(now, cell, request.family());
        }
    }

    /// Returns the cell with the lowest cost among those with an eligible engine.
    fn best_cell(&self, now: Time, id: CallId) -> Option<CellKey> {
        let call = self.calls.get(id)?;
        let Target::Engine(request) = &call.target else {
            return None;
        };
        self.cell_costs(now, request, &call.failed_servers)
            .into_iter()
            .min_by(|a, b| a.1.total_cmp(&b.1))
            .map(|(key, _)| key)
    }

    /// Returns the costs, in microseconds, of the first cells by affinity that
    /// have an eligible engine.
    pub(crate) fn cell_costs(
        &self,
        now: Time,
        request: &PlacementRequest,
        avoid: &[ServerKey],
    ) -> Vec<(CellKey, f64)> {
        let mut ranked: Vec<(f64, CellKey)> = self
            .cells
            .serving(request.workspace, request.model)
            .map(|(key, cell)| {
                let score = rendezvous::sized_score(request.family(), cell.id, cell.members.len());
                (score, key)
            })
            .collect();
        ranked.sort_unstable_by(|a, b| b.0.total_cmp(&a.0).then(a.1.cmp(&b.1)));
        ranked
            .iter()
            .filter(|(_, key)| self.has_eligible_engine(*key, request, avoid))
            .take(CELLS_COMPARED)
            .enumerate()
            .map(|(position, (_, key))| (*key, self.cell_cost_us(now, request, *key, position)))
            .collect()
    }

    /// Returns the cost of a cell, in microseconds. Unless more is known, only
    /// the first cell by affinity is expected to hold the prompt's blocks.
    fn cell_cost_us(
        &self,
        now: Time,
        request: &PlacementRequest,
        key: CellKey,
        position: usize,
    ) -> f64 {
        let cell = self.cells.get(key);
        let wait_us = match cell.owner {
            Owner::Own => self.mean_wait_us(now, &cell.members),
            Owner::Peer(_) => {
                let us_per_token = request.prefill_us_per_token;
                self.cell_loads
                    .wait_us(now, cell.id, cell.members.len(), us_per_token)
            }
        };
        let same_region = **self.fleet.regions.name(cell.region) == *self.identity.region;
        let cross_region_us = if same_region { 0.0 } else { CROSS_REGION_US };
        let cached_fraction =
            self.cell_affinity
                .cached_fraction(now, cell.id, request.family(), position == 0);
        let blocks_us = request.work_us(0) - request.work_us(request.blocks.len());
        let move_us = (1.0 - cached_fraction) * blocks_us as f64 * CELL_MOVE_PRICE;
        wait_us + cross_region_us + move_us + position as f64 * CELL_RANK_STEP_US
    }

    fn mean_wait_us(&self, now: Time, members: &[ServerKey]) -> f64 {
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

    fn has_eligible_engine(
        &self,
        cell: CellKey,
        request: &PlacementRequest,
        avoid: &[ServerKey],
    ) -> bool {
        let members = &self.cells.get(cell).members;
        members
            .iter()
            .any(|key| self.is_eligible(*key, request, avoid))
    }

    fn is_eligible(&self, key: ServerKey, request: &PlacementRequest, avoid: &[ServerKey]) -> bool {
        !avoid.contains(&key) && self.fleet.may_serve(key, request.workspace)
    }

    /// Returns the members of a cell that the request may be sent to.
    pub(crate) fn eligible_engines(
        &self,
        members: &[ServerKey],
        request: &PlacementRequest,
        avoid: &[ServerKey],
    ) -> Vec<ServerKey> {
        members
            .iter()
            .copied()
            .filter(|key| self.is_eligible(*key, request, avoid))
            .collect()
    }

    /// Chooses an engine of the cell from what this router knows, and dispatches the call.
    pub(crate) fn place_locally(
        &mut self,
        now: Time,
        id: CallId,
        cell: u64,
        out: &mut Vec<Action>,
    ) {
        let choice = self.calls.get(id).and_then(|call| match &call.target {
            Target::Engine(request) => self
                .repeat_owner_choice(now, cell, request, &call.failed_servers)
                .or_else(|| self.choose(now, cell, request, &call.failed_servers)),
            Target::Stream { .. } | Target::Service(_) => None,
        });
        let Some(choice) = choice else {
            self.refuse_without_engine(now, id, out);
            return;
        };
        self.send_to_choice(now, id, Some(cell), choice, out);
    }

    /// Refuses a call for which there is no engine now.
    fn refuse_without_engine(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let retry_at = now.plus_millis(RETRY_AFTER_MS);
        let cause = RefusalCause::retryable(retry_at, Reason::NoBackendServer);
        self.refuse(id, cause, out);
    }

    /// Returns the engine of a peer's cell that its owner chose last for the
    /// prompt family, unless that engine is suspect, busy or not eligible.
    fn repeat_owner_choice(
        &self,
        now: Time,
        cell: u64,
        request: &PlacementRequest,
        avoid: &[ServerKey],
    ) -> Option<Choice> {
        if self.own_cells.contains(&cell) {
            return None;
        }
        let server = self.cell_affinity.server(cell, request.family())?;
        let suspect = self.fleet.server(server).suspect_until > now;
        let busy = self.placement.wait_us(now, server) > MAX_REPEATED_CHOICE_WAIT_US;
        let fits = !suspect && !busy && self.is_eligible(server, request, avoid);
        fits.then(|| self.placement.choose_fixed(now, request, server))
    }

    /// Returns this router's own choice among the eligible engines of the cell.
    pub(crate) fn choose(
        &self,
        now: Time,
        cell: u64,
        request: &PlacementRequest,
        avoid: &[ServerKey],
    ) -> Option<Choice> {
        let members = &self.cells.find(cell)?.members;
        let eligible = self.eligible_engines(members, request, avoid);
        self.placement
            .choose(now, &self.settings, request, (cell, &eligible), &self.fleet)
    }

    fn query_owner(&mut self, now: Time, id: CallId, cell: u64, vm: &str, out: &mut Vec<Action>) {
        let ticket = self.rng.random();
        let same_region = self
            .routers
            .get(vm)
            .is_some_and(|router| router.region == self.identity.region);
        let timeout_ms = if same_region {
            OWNER_TIMEOUT_MS
        } else {
            REMOTE_OWNER_TIMEOUT_MS
        };
        let respond_by = now.plus_millis(timeout_ms);
        let Some(message) = self.placement_query(id, ticket, cell) else {
            return;
        };
        let call = self.calls.get_mut(id).expect("only live calls are placed");
        call.stage = Stage::Placing { ticket, cell };
        self.tickets.insert(ticket, id);
        self.timers.add(respond_by, Timer::QueryTimeout(ticket));
        self.send_peer(vm, PeerMessage::Place(message), out);
    }

    fn placement_query(&self, id: CallId, ticket: u64, cell: u64) -> Option<PlacementQuery> {
        let call = self.calls.get(id)?;
        let Target::Engine(request) = &call.target else {
            return None;
        };
        let avoid = call.failed_servers.iter();
        Some(PlacementQuery {
            ticket,
            cell,
            pieces: request.blocks.clone(),
            prompt_tokens: u32::try_from(request.prompt_tokens).unwrap_or(u32::MAX),
            rank: request.rank,
            fingerprint: request.fingerprint,
            workspace: self.fleet.workspaces.name(request.workspace).to_string(),
            model: self.fleet.models.name(request.model).to_string(),
            avoid: avoid
                .map(|key| self.fleet.server(*key).name.clone())
                .collect(),
        })
    }
}
