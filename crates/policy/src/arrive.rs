//! Admission of new calls.

use config::Config;
use config::Quota;
use config::Workspace;

use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::idempotency_record::Claim;
use crate::interner::NameKey;
use crate::mutation::Mutation;
use crate::outcome::Progress;
use crate::outcome::Unsent;
use crate::placement::PlacementRequest;
use crate::timers::Timer;
use crate::Action;
use crate::AttemptId;
use crate::BlockSeed;
use crate::CallId;
use crate::CallRequest;
use crate::Generate;
use crate::Identity;
use crate::Incarnation;
use crate::Node;
use crate::Reason;
use crate::Resume;
use crate::ServiceCall;
use crate::Time;
use crate::Work;

/// Deadline of a request without priority class or deadline, in milliseconds after its arrival.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Delay before a caller may retry if no better estimate is known, in milliseconds.
pub(crate) const RETRY_AFTER_MS: u64 = 1_000;

/// Rank and deadline of a request, from its priority class.
#[derive(Clone, Copy)]
struct PriorityClass {
    rank: u8,
    deadline: Time,
}

/// A validated call that has not been admitted, with the limits that apply to it.
pub(crate) struct PreparedCall {
    pub(crate) call: Call,
    pub(crate) quota: Quota,
    pub(crate) retries_per_100: u32,
}

/// What serving a request takes, derived from the configuration.
struct Requirements {
    target: Target,
    claim: Option<Claim>,
    progress: Progress,
    tokens: u64,
}

impl Node {
    /// Admits a new call and starts it, or refuses it.
    pub(crate) fn on_call(&mut self, now: Time, req: CallRequest, out: &mut Vec<Action>) {
        let id = req.call;
        let mut progress = initial_progress(&req.work);
        if let Err(reason) = self.try_admit(now, req, out) {
            if reason == Reason::KeyMissing {
                progress = Progress::Unsent(Unsent::new());
            }
            let retry_at = is_transient(reason).then(|| now.plus_millis(RETRY_AFTER_MS));
            let refusal = progress.refuse(reason, retry_at);
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    fn try_admit(
        &mut self,
        now: Time,
        req: CallRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        if self.shutting_down {
            return Err(Reason::ShuttingDown);
        }
        let PreparedCall {
            call,
            quota,
            retries_per_100,
        } = self.prepare_call(now, &req)?;
        if !self.admission.admit(call.workspace, call.tokens, &quota) {
            return Err(Reason::QuotaExceeded);
        }
        self.retry_budget.earn(call.workspace, retries_per_100);
        self.timers.add(call.deadline, Timer::Call(req.call));
        self.calls.insert(req.call, call);
        self.start_call(now, req.call, out);
        Ok(())
    }

    /// Builds the call for a request without admitting it.
    pub(crate) fn prepare_call(
        &self,
        now: Time,
        req: &CallRequest,
    ) -> Result<PreparedCall, Reason> {
        let cfg = self.active_config.config().ok_or(Reason::NotConfigured)?;
        let (name, workspace) = self
            .active_config
            .workspace(&req.token_sha256)
            .ok_or(Reason::BadToken)?;
        let class = class_of(now, req, cfg)?;
        let key = self.fleet.workspaces.find(name).ok_or(Reason::BadToken)?;
        let requirements = self.requirements(now, req, cfg, (key, name, workspace), class)?;
        let call = Call {
            workspace: key,
            rank: class.rank,
            deadline: class.deadline,
            fingerprint: req.fingerprint,
            tokens: requirements.tokens,
            target: requirements.target,
            claim: requirements.claim,
            progress: requirements.progress,
            stage: Stage::Claiming,
            attempt: AttemptId(0),
            incarnation: Incarnation::default(),
            failed_servers: Vec::new(),
            delivered: delivered_before(&req.work),
            stall_check_at: Time::MAX,
            any_weights: false,
            expected_cached_tokens: 0,
            caller_done: false,
        };
        Ok(PreparedCall {
            call,
            quota: workspace.quota,
            retries_per_100: cfg.limits.retries_per_100_requests,
        })
    }

    fn start_call(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self.calls.get(id).expect("the call was just inserted");
        if let Some(cause) = self.crash_limit_refusal(now, call.fingerprint) {
            self.refuse(id, cause, out);
            return;
        }
        match call.claim.clone() {
            Some(_) if self.has_mutation(Mutation::SkipClaim) => self.route(now, id, out),
            Some(claim) => self.claim_record(now, id, claim, out),
            None => self.route(now, id, out),
        }
    }

    fn requirements(
        &self,
        now: Time,
        req: &CallRequest,
        cfg: &Config,
        (key, name, workspace): (NameKey, &str, &Workspace),
        class: PriorityClass,
    ) -> Result<Requirements, Reason> {
        match &req.work {
            Work::Generate(work) => {
                let request =
                    self.placement_request(req, work, cfg, (key, name, workspace), class.rank)?;
                Ok(Requirements {
                    target: Target::Engine(request),
                    claim: None,
                    progress: Progress::Unsent(Unsent::new()),
                    tokens: work.prompt_tokens,
                })
            }
            Work::Resume(work) => self.resume_requirements(work, name),
            Work::Service(work) => {
                self.service_requirements(now, req, work, cfg, (name, class.deadline))
            }
        }
    }

    fn placement_request(
        &self,
        req: &CallRequest,
        work: &Generate,
        cfg: &Config,
        (key, name, workspace): (NameKey, &str, &Workspace),
        rank: u8,
    ) -> Result<PlacementRequest, Reason> {
        let model = cfg.models.get(&work.model).ok_or(Reason::UnknownModel)?;
        let seed = BlockSeed::new(name, &work.model, model.weights_version);
        Ok(PlacementRequest {
            workspace: key,
            model: self
                .fleet
                .models
                .find(&work.model)
                .ok_or(Reason::UnknownModel)?,
            weights_version: model.weights_version,
            blocks: work.blocks.iter().map(|c| seed.key(*c)).collect(),
            prompt_tokens: work.prompt_tokens,
            weights: workspace.weights,
            prefill_us_per_token: model.prefill_ms_per_1000_tokens,
            kv_bytes_per_token: model.kv_bytes_per_token,
            rank,
            fingerprint: req.fingerprint,
        })
    }

    fn resume_requirements(&self, work: &Resume, workspace: &str) -> Result<Requirements, Reason> {
        let server = self.fleet.find(&work.server).ok_or(Reason::StreamGone)?;
        let gone = self.fleet.server(server).incarnation > work.incarnation;
        if gone || work.workspace != workspace {
            return Err(Reason::StreamGone);
        }
        Ok(Requirements {
            target: Target::Stream {
                server,
                incarnation: work.incarnation,
            },
            claim: None,
            progress: Progress::MayHaveRun,
            tokens: 0,
        })
    }

    fn service_requirements(
        &self,
        now: Time,
        req: &CallRequest,
        work: &ServiceCall,
        cfg: &Config,
        (workspace, deadline): (&str, Time),
    ) -> Result<Requirements, Reason> {
        let service = cfg.services.get(&work.service);
        let call = service
            .and_then(|s| s.find_call(&work.method, &work.path))
            .ok_or(Reason::UnknownService)?;
        let claim = match &work.key {
            _ if call.idempotent => None,
            None => return Err(Reason::KeyMissing),
            Some(key) => Some(Claim::new(
                now,
                workspace,
                key,
                cfg.limits.record_hours,
                req.fingerprint,
                self.nonce(req.call),
                deadline,
            )?),
        };
        let progress = match claim {
            None => Progress::Unsent(Unsent::new()),
            Some(_) => Progress::MayHaveRun,
        };
        Ok(Requirements {
            target: Target::Service(work.service.clone()),
            claim,
            progress,
            tokens: 0,
        })
    }

    fn nonce(&self, call: CallId) -> String {
        let Identity {
            vm, incarnation, ..
        } = &self.identity;
        format!("{vm}/{incarnation}/{}", call.0)
    }
}

/// Returns what is known about earlier executions before the request is
/// validated.
///
/// An earlier request with the same idempotency key may have run, even if this
/// request is invalid.
fn initial_progress(work: &Work) -> Progress {
    match work {
        Work::Generate(_) => Progress::Unsent(Unsent::new()),
        Work::Service(call) if call.key.is_none() => Progress::Unsent(Unsent::new()),
        Work::Service(_) | Work::Resume(_) => Progress::MayHaveRun,
    }
}

/// Returns whether the reason may go away by itself, so that a retry makes sense.
fn is_transient(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::NotConfigured | Reason::ShuttingDown | Reason::QuotaExceeded
    )
}

fn delivered_before(work: &Work) -> u32 {
    match work {
        Work::Resume(resume) => resume.delivered,
        Work::Generate(_) | Work::Service(_) => 0,
    }
}

fn class_of(now: Time, req: &CallRequest, cfg: &Config) -> Result<PriorityClass, Reason> {
    let (rank, default_ms) = match &req.priority {
        None => (0, DEFAULT_DEADLINE_MS),
        Some(name) => {
            let class = cfg.priorities.get(name).ok_or(Reason::UnknownPriority)?;
            (class.rank, class.default_deadline_ms)
        }
    };
    let deadline = req.deadline.unwrap_or(now.plus_millis(default_ms));
    Ok(PriorityClass { rank, deadline })
}
