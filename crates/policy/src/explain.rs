//! Explains where a request would go, using the functions that decide it.

use crate::arrive::PreparedCall;
use crate::call_table::Call;
use crate::call_table::Target;
use crate::cells::CellKey;
use crate::cells::Owner;
use crate::overload::RefusalCause;
use crate::placement::Candidate;
use crate::placement::PlacementRequest;
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
    /// Returns where a completion would go now and why, without admitting it.
    pub fn explain(&self, now: Time, req: &CallRequest) -> Result<Explanation, Refusal> {
        self.try_explain(now, req)
            .map_err(|reason| Refusal::not_run(Unsent::new(), reason, None))
    }

    fn try_explain(&self, now: Time, req: &CallRequest) -> Result<Explanation, Reason> {
        let prepared = self.prepare_call(now, req)?;
        let Target::Engine(request) = &prepared.call.target else {
            return Err(Reason::UnknownModel);
        };
        let cells = self.cell_costs(now, request, &[]);
        let chosen = cells.iter().min_by(|a, b| a.1.total_cmp(&b.1));
        let chosen = chosen.map(|(key, _)| *key);
        let mut candidates = chosen.map_or(Vec::new(), |key| self.candidates_in(now, key, request));
        candidates.sort_by(|a, b| a.cost_us.total_cmp(&b.cost_us));
        Ok(Explanation {
            router: self.identity.vm.clone(),
            config_version: self.active_config.version(),
            workspace: self.fleet.workspaces.name(request.workspace).to_string(),
            rank: request.rank,
            prompt_tokens: request.prompt_tokens,
            cells: cells.iter().map(|cell| self.cell_score(*cell)).collect(),
            engines: candidates
                .iter()
                .map(|candidate| self.engine_score(candidate))
                .collect(),
            verdict: self.verdict(now, &prepared, chosen, candidates.first()),
        })
    }

    fn candidates_in(&self, now: Time, key: CellKey, request: &PlacementRequest) -> Vec<Candidate> {
        let cell = self.cells.get(key);
        let eligible = self.eligible_engines(&cell.members, request, &[]);
        let among = (cell.id, eligible.as_slice());
        self.placement
            .candidates(now, &self.settings, request, among, &self.fleet)
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

    fn engine_score(&self, candidate: &Candidate) -> EngineScore {
        let name = |key| self.fleet.server(key).name.clone();
        let wait_us = candidate.estimate.wait_us as f64;
        let work_us = candidate.estimate.work_us as f64;
        EngineScore {
            server: name(candidate.server),
            fetch_from: candidate.fetch_from.map(name),
            cached_tokens: candidate.held as u64 * BLOCK_TOKENS,
            wait_ms: wait_us / MICROS_PER_MILLI,
            prefill_ms: work_us / MICROS_PER_MILLI,
            price_ms: (candidate.estimate.cost_us - wait_us - work_us) / MICROS_PER_MILLI,
            preference_ms: (candidate.cost_us - candidate.estimate.cost_us) / MICROS_PER_MILLI,
            cost_ms: candidate.cost_us / MICROS_PER_MILLI,
        }
    }

    fn verdict(
        &self,
        now: Time,
        prepared: &PreparedCall,
        cell: Option<CellKey>,
        best: Option<&Candidate>,
    ) -> Verdict {
        let call = &prepared.call;
        if let Some(cause) = self.find_refusal(now, prepared, best) {
            return Verdict::Refused {
                reason: cause.reason.name().to_owned(),
                retry_after_ms: cause.retry_at.map(|at| at.millis_since(now)),
            };
        }
        if self.strikes.count(now, call.fingerprint) > 0 {
            return Verdict::Quarantined;
        }
        let server = best.map_or(String::new(), |candidate| {
            self.fleet.server(candidate.server).name.clone()
        });
        match cell.map(|key| &self.cells.get(key).owner) {
            Some(Owner::Peer(vm)) => Verdict::OwnerAsked {
                owner: vm.clone(),
                server,
            },
            Some(Owner::Own) | None => Verdict::Sent { server },
        }
    }

    fn find_refusal(
        &self,
        now: Time,
        prepared: &PreparedCall,
        best: Option<&Candidate>,
    ) -> Option<RefusalCause> {
        let PreparedCall { call, quota, .. } = prepared;
        if self.shutting_down {
            return Some(RefusalCause::permanent(Reason::ShuttingDown));
        }
        if !self
            .admission
            .would_admit(call.workspace, call.tokens, quota)
        {
            return Some(RefusalCause::permanent(Reason::QuotaExceeded));
        }
        self.crash_limit_refusal(now, call.fingerprint)
            .or_else(|| self.placement_refusal(now, call, best))
    }

    fn placement_refusal(
        &self,
        now: Time,
        call: &Call,
        best: Option<&Candidate>,
    ) -> Option<RefusalCause> {
        match best {
            None => Some(RefusalCause::permanent(Reason::NoBackendServer)),
            Some(candidate) => self.check_wait(now, call, &candidate.choice(now)).err(),
        }
    }
}
