//! Explains where a request would go, by the functions that decide it.

use crate::arrive::Draft;
use crate::call_table::Call;
use crate::call_table::Target;
use crate::cells::CellKey;
use crate::cells::Owner;
use crate::overload::NotNow;
use crate::placement::Ask;
use crate::placement::Bid;
use crate::CallRequest;
use crate::CellScore;
use crate::EngineScore;
use crate::Explanation;
use crate::Node;
use crate::Reason;
use crate::Refusal;
use crate::Time;
use crate::Unsent;
use crate::Verdict;
use crate::BLOCK_TOKENS;

const MICROS_PER_MILLI: f64 = 1_000.0;

impl Node {
    /// Tells where a completion would go now and why, without taking it in.
    pub fn explain(&self, now: Time, req: &CallRequest) -> Result<Explanation, Refusal> {
        self.try_explain(now, req)
            .map_err(|reason| Refusal::not_run(Unsent::new(), reason, None))
    }

    fn try_explain(&self, now: Time, req: &CallRequest) -> Result<Explanation, Reason> {
        let draft = self.draft(now, req)?;
        let Target::Engine(ask) = &draft.call.target else {
            return Err(Reason::UnknownModel);
        };
        let cells = self.cell_costs(now, ask, &[]);
        let chosen = cells.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        let chosen = chosen.map(|(key, _)| *key);
        let mut bids = chosen.map_or(Vec::new(), |key| self.bids_in(now, key, ask));
        bids.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        Ok(Explanation {
            router: self.identity.vm.clone(),
            config_version: self.rollout.version(),
            workspace: self.fleet.workspaces.name(ask.workspace).to_string(),
            rank: ask.rank,
            prompt_tokens: ask.prompt_tokens,
            cells: cells.iter().map(|cell| self.cell_score(*cell)).collect(),
            engines: bids.iter().map(|bid| self.engine_score(bid)).collect(),
            verdict: self.verdict(now, &draft, chosen, bids.first()),
        })
    }

    fn bids_in(&self, now: Time, key: CellKey, ask: &Ask) -> Vec<Bid> {
        let cell = self.cells.get(key);
        let candidates = self.candidates(&cell.members, ask, &[]);
        let among = (cell.id, candidates.as_slice());
        self.placement
            .bids(now, &self.settings, ask, among, &self.fleet)
    }

    fn cell_score(&self, (key, cost_us): (CellKey, f64)) -> CellScore {
        let cell = self.cells.get(key);
        CellScore {
            region: self.fleet.regions.name(cell.region).to_string(),
            owner: match &cell.owner {
                Owner::Own => self.identity.vm.clone(),
                Owner::Peer(vm) => vm.clone(),
            },
            engines: cell.members.len(),
            cost_ms: cost_us / MICROS_PER_MILLI,
        }
    }

    fn engine_score(&self, bid: &Bid) -> EngineScore {
        let name = |key| self.fleet.server(key).name.clone();
        let wait_us = bid.estimate.wait_us as f64;
        let work_us = bid.estimate.work_us as f64;
        EngineScore {
            server: name(bid.server),
            fetch_from: bid.fetch_from.map(name),
            cached_tokens: bid.held as u64 * BLOCK_TOKENS,
            wait_ms: wait_us / MICROS_PER_MILLI,
            prefill_ms: work_us / MICROS_PER_MILLI,
            price_ms: (bid.estimate.cost_us - wait_us - work_us) / MICROS_PER_MILLI,
            preference_ms: (bid.cost_us - bid.estimate.cost_us) / MICROS_PER_MILLI,
            cost_ms: bid.cost_us / MICROS_PER_MILLI,
        }
    }

    fn verdict(
        &self,
        now: Time,
        draft: &Draft,
        cell: Option<CellKey>,
        best: Option<&Bid>,
    ) -> Verdict {
        let call = &draft.call;
        if let Some(not_now) = self.reason_against(now, draft, best) {
            return Verdict::Refused {
                reason: not_now.reason.name().to_owned(),
                retry_after_ms: not_now.retry_at.map(|at| at.millis_since(now)),
            };
        }
        if self.strikes.count(now, call.fingerprint) > 0 {
            return Verdict::Quarantined;
        }
        let server = best.map_or(String::new(), |bid| {
            self.fleet.server(bid.server).name.clone()
        });
        match cell.map(|key| &self.cells.get(key).owner) {
            Some(Owner::Peer(vm)) => Verdict::OwnerAsked {
                owner: vm.clone(),
                server,
            },
            Some(Owner::Own) | None => Verdict::Sent { server },
        }
    }

    fn reason_against(&self, now: Time, draft: &Draft, best: Option<&Bid>) -> Option<NotNow> {
        let Draft { call, quota, .. } = draft;
        if self.shutting_down {
            return Some(NotNow::for_good(Reason::ShuttingDown));
        }
        if !self.admission.has_room(call.workspace, call.tokens, quota) {
            return Some(NotNow::for_good(Reason::QuotaExceeded));
        }
        self.struck_out(now, call.fingerprint)
            .or_else(|| self.no_room(now, call, best))
    }

    fn no_room(&self, now: Time, call: &Call, best: Option<&Bid>) -> Option<NotNow> {
        match best {
            None => Some(NotNow::for_good(Reason::NoBackendServer)),
            Some(bid) => self.admits(now, call, &bid.choice(now)).err(),
        }
    }
}
