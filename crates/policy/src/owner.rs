//! What a router does for the cells that it owns.

use std::collections::BTreeSet;

use rand::Rng;

use crate::placement::Ask;
use crate::timers::Timer;
use crate::Action;
use crate::CellLoad;
use crate::Node;
use crate::PeerMessage;
use crate::Placed;
use crate::PlacementKind;
use crate::PlacementQuery;
use crate::ServerInstance;
use crate::ServerKey;
use crate::Time;

/// Shortest pause between two rounds of cells' loads, in milliseconds.
const CELL_LOADS_MS: u64 = 250;

/// Bytes of a cell's load on the wire, with its part of a message's headers.
const CELL_LOAD_BYTES: u64 = 48;

/// Bytes in a second that a router may receive of cells' loads.
const CELL_LOAD_BYTES_PER_S: u64 = 1_000;

impl Node {
    /// Answers a router that asks for an engine.
    pub(crate) fn on_place(
        &mut self,
        now: Time,
        from: &str,
        req: &PlacementQuery,
        out: &mut Vec<Action>,
    ) {
        let avoid: Vec<ServerKey> = req
            .avoid
            .iter()
            .filter_map(|name| self.fleet.find(name))
            .collect();
        let ask = self.ask_of(req);
        let choice = ask
            .as_ref()
            .filter(|ask| self.cells.serves(req.cell, ask.workspace, ask.model))
            .and_then(|ask| self.choose(now, req.cell, ask, &avoid));
        if let (Some(ask), Some(choice)) = (&ask, &choice) {
            self.placement.on_sent(now, req.cell, ask, choice);
        }
        let placed = match choice {
            Some(choice) => Placed {
                ticket: req.ticket,
                server: Some(self.mark(choice.server)),
                fetch_from: choice.fetch_from.map(|key| self.mark(key)),
                expected_cached_tokens: choice.expected_cached_tokens as u32,
                expected_wait_ms: choice.begins_at.millis_since(now) as u32,
            },
            None => Placed {
                ticket: req.ticket,
                server: None,
                fetch_from: None,
                expected_cached_tokens: 0,
                expected_wait_ms: 0,
            },
        };
        self.tell(from, PeerMessage::Placed(placed), out);
    }

    fn ask_of(&self, req: &PlacementQuery) -> Option<Ask> {
        let cfg = self.rollout.config()?;
        let workspace = cfg.workspaces.get(&req.workspace)?;
        let model = cfg.models.get(&req.model)?;
        Some(Ask {
            workspace: self.fleet.workspaces.find(&req.workspace)?,
            model: self.fleet.models.find(&req.model)?,
            weights_version: model.weights_version,
            pieces: req.pieces.clone(),
            prompt_tokens: u64::from(req.prompt_tokens),
            weights: workspace.weights,
            prefill_us_per_token: model.prefill_ms_per_1000_tokens,
            kv_bytes_per_token: model.kv_bytes_per_token,
            rank: req.rank,
            fingerprint: req.fingerprint,
        })
    }

    fn mark(&self, key: ServerKey) -> ServerInstance {
        let server = self.fleet.server(key);
        ServerInstance {
            server: server.name.clone(),
            incarnation: server.incarnation,
        }
    }

    /// Takes in a new configuration or membership list.
    pub(crate) fn on_cells_changed(&mut self, out: &mut Vec<Action>) {
        let kind = self.settings.placement;
        self.cells
            .elect(&self.fleet, kind, &self.identity, &self.routers);
        let own: BTreeSet<u64> = self.cells.own().map(|cell| cell.id).collect();
        for cell in self.own_cells.difference(&own) {
            self.placement.disown(*cell);
        }
        if kind != PlacementKind::Affinity {
            for cell in own.difference(&self.own_cells) {
                self.placement.own(*cell);
            }
        }
        self.own_cells = own;
        let mut watched: Vec<ServerKey> = self
            .cells
            .own()
            .flat_map(|cell| cell.members.iter().copied())
            .collect();
        watched.sort_unstable();
        if self.watched.as_ref() != Some(&watched) {
            self.watched = Some(watched.clone());
            out.push(Action::Watch(watched));
        }
    }

    /// Tells the other routers the loads of own cells.
    pub(crate) fn on_cell_loads_due(&mut self, now: Time, out: &mut Vec<Action>) {
        let bytes = self.cells.len() as u64 * CELL_LOAD_BYTES;
        let pause_ms = CELL_LOADS_MS.max(bytes * 1_000 / CELL_LOAD_BYTES_PER_S);
        let jitter_ms = self.rng.random_range(0..CELL_LOADS_MS / 10);
        self.timers
            .add(now.plus_millis(pause_ms + jitter_ms), Timer::CellLoads);
        self.cell_loads.expire(now);
        self.cell_affinity.expire(now);
        if self.settings.placement != PlacementKind::Cells {
            return;
        }
        let loads = self.own_cell_loads(now);
        if !loads.is_empty() {
            self.tell_all(&PeerMessage::CellLoad(loads), out);
        }
    }

    fn own_cell_loads(&self, now: Time) -> Vec<CellLoad> {
        self.cells
            .own()
            .map(|cell| {
                let tokens = cell.members.iter().map(|key| self.queued_tokens(now, *key));
                let sum: u64 = tokens.clone().sum();
                let count = cell.members.len().max(1) as u64;
                CellLoad {
                    cell: cell.id,
                    queued_tokens: (sum / count) as u32,
                    least_queued_tokens: tokens.min().unwrap_or(0) as u32,
                }
            })
            .collect()
    }

    fn queued_tokens(&self, now: Time, server: ServerKey) -> u64 {
        let us_per_token = self.fleet.server(server).prefill_us_per_token.max(1.0);
        (self.placement.wait_us(now, server) as f64 / us_per_token) as u64
    }

    /// Takes in loads of cells that their owners tell.
    pub(crate) fn on_cell_loads(&mut self, now: Time, loads: &[CellLoad]) {
        for load in loads {
            if self.cells.find(load.cell).is_some() {
                self.cell_loads.hear(now, load);
            }
        }
    }
}
