//! Arrival of callers' requests.

use config::Config;
use config::Quota;
use config::Workspace;

use crate::call_table::Call;
use crate::call_table::Stage;
use crate::call_table::Target;
use crate::interner::NameKey;
use crate::mutation::Mutation;
use crate::once::Claim;
use crate::outcome::Progress;
use crate::outcome::Unsent;
use crate::placement::Ask;
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

/// Deadline of a request without a priority class, in milliseconds after its arrival.
const DEFAULT_DEADLINE_MS: u64 = 60_000;

/// Time after which a caller may come back when nothing better is known, in milliseconds.
pub(crate) const COME_BACK_MS: u64 = 1_000;

/// Rank and deadline that a request's priority class gives it.
#[derive(Clone, Copy)]
struct Class {
    rank: u8,
    deadline: Time,
}

/// A call that has not been taken in, with what its workspace may have.
pub(crate) struct Draft {
    pub(crate) call: Call,
    pub(crate) quota: Quota,
    pub(crate) retries_per_100: u32,
}

/// What a request needs, worked out from the configuration.
struct Needs {
    target: Target,
    claim: Option<Claim>,
    progress: Progress,
    tokens: u64,
}

impl Node {
    /// Takes a caller's request in.
    pub(crate) fn on_call(&mut self, now: Time, req: CallRequest, out: &mut Vec<Action>) {
        let id = req.call;
        let mut progress = progress_at_arrival(&req.work);
        if let Err(reason) = self.try_arrive(now, req, out) {
            if reason == Reason::KeyMissing {
                progress = Progress::Unsent(Unsent::new());
            }
            let retry_at = reason_passes(reason).then(|| now.plus_millis(COME_BACK_MS));
            let refusal = progress.refuse(reason, retry_at);
            out.push(Action::Refuse { call: id, refusal });
        }
    }

    fn try_arrive(
        &mut self,
        now: Time,
        req: CallRequest,
        out: &mut Vec<Action>,
    ) -> Result<(), Reason> {
        if self.shutting_down {
            return Err(Reason::ShuttingDown);
        }
        let Draft {
            call,
            quota,
            retries_per_100,
        } = self.draft(now, &req)?;
        if !self.admission.admit(call.workspace, call.tokens, &quota) {
            return Err(Reason::QuotaExceeded);
        }
        self.budget.earn(call.workspace, retries_per_100);
        self.timers.add(call.deadline, Timer::Call(req.call));
        self.calls.insert(req.call, call);
        self.begin(now, req.call, out);
        Ok(())
    }

    /// Works out what a request needs, without taking it in.
    pub(crate) fn draft(&self, now: Time, req: &CallRequest) -> Result<Draft, Reason> {
        let cfg = self.rollout.config().ok_or(Reason::NotConfigured)?;
        let (name, workspace) = self
            .rollout
            .workspace(&req.token_sha256)
            .ok_or(Reason::BadToken)?;
        let class = class_of(now, req, cfg)?;
        let key = self.fleet.workspaces.find(name).ok_or(Reason::BadToken)?;
        let needs = self.needs(now, req, cfg, (key, name, workspace), class)?;
        let call = Call {
            workspace: key,
            rank: class.rank,
            deadline: class.deadline,
            fingerprint: req.fingerprint,
            tokens: needs.tokens,
            target: needs.target,
            claim: needs.claim,
            progress: needs.progress,
            stage: Stage::Claiming,
            attempt: AttemptId(0),
            incarnation: Incarnation::default(),
            failed_at: Vec::new(),
            delivered: delivered_before(&req.work),
            stalled_at: Time::MAX,
            any_weights: false,
            expected_cached_tokens: 0,
            answered: false,
        };
        Ok(Draft {
            call,
            quota: workspace.quota,
            retries_per_100: cfg.limits.retries_per_100_requests,
        })
    }

    fn begin(&mut self, now: Time, id: CallId, out: &mut Vec<Action>) {
        let call = self.calls.get(id).expect("it has just arrived");
        if let Some(not_now) = self.struck_out(now, call.fingerprint) {
            self.refuse(id, not_now, out);
            return;
        }
        match call.claim.clone() {
            Some(_) if self.is_off(Mutation::SkipClaim) => self.route(now, id, out),
            Some(claim) => self.claim_record(now, id, claim, out),
            None => self.route(now, id, out),
        }
    }

    fn needs(
        &self,
        now: Time,
        req: &CallRequest,
        cfg: &Config,
        (key, name, workspace): (NameKey, &str, &Workspace),
        class: Class,
    ) -> Result<Needs, Reason> {
        match &req.work {
            Work::Generate(work) => {
                let ask = self.ask(req, work, cfg, (key, name, workspace), class.rank)?;
                Ok(Needs {
                    target: Target::Engine(ask),
                    claim: None,
                    progress: Progress::Unsent(Unsent::new()),
                    tokens: work.prompt_tokens,
                })
            }
            Work::Resume(work) => self.resume_needs(work, name),
            Work::Service(work) => self.service_needs(now, req, work, cfg, (name, class.deadline)),
        }
    }

    fn ask(
        &self,
        req: &CallRequest,
        work: &Generate,
        cfg: &Config,
        (key, name, workspace): (NameKey, &str, &Workspace),
        rank: u8,
    ) -> Result<Ask, Reason> {
        let model = cfg.models.get(&work.model).ok_or(Reason::UnknownModel)?;
        let seed = BlockSeed::new(name, &work.model, model.weights_version);
        Ok(Ask {
            workspace: key,
            model: self
                .fleet
                .models
                .find(&work.model)
                .ok_or(Reason::UnknownModel)?,
            weights_version: model.weights_version,
            pieces: work.blocks.iter().map(|c| seed.key(*c)).collect(),
            prompt_tokens: work.prompt_tokens,
            weights: workspace.weights,
            prefill_us_per_token: model.prefill_ms_per_1000_tokens,
            kv_bytes_per_token: model.kv_bytes_per_token,
            rank,
            fingerprint: req.fingerprint,
        })
    }

    fn resume_needs(&self, work: &Resume, workspace: &str) -> Result<Needs, Reason> {
        let server = self.fleet.find(&work.server).ok_or(Reason::StreamGone)?;
        let gone = self.fleet.server(server).incarnation > work.incarnation;
        if gone || work.workspace != workspace {
            return Err(Reason::StreamGone);
        }
        Ok(Needs {
            target: Target::Stream {
                server,
                incarnation: work.incarnation,
            },
            claim: None,
            progress: Progress::MayHaveRun,
            tokens: 0,
        })
    }

    fn service_needs(
        &self,
        now: Time,
        req: &CallRequest,
        work: &ServiceCall,
        cfg: &Config,
        (workspace, deadline): (&str, Time),
    ) -> Result<Needs, Reason> {
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
        Ok(Needs {
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

/// Returns what is known of a request before anything else is.
///
/// An earlier request with the same idempotency key may have run, whatever is
/// wrong with this one.
fn progress_at_arrival(work: &Work) -> Progress {
    match work {
        Work::Generate(_) => Progress::Unsent(Unsent::new()),
        Work::Service(call) if call.key.is_none() => Progress::Unsent(Unsent::new()),
        Work::Service(_) | Work::Resume(_) => Progress::MayHaveRun,
    }
}

/// Tells whether a refusal for this reason may pass by itself.
fn reason_passes(reason: Reason) -> bool {
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

fn class_of(now: Time, req: &CallRequest, cfg: &Config) -> Result<Class, Reason> {
    let (rank, default_ms) = match &req.priority {
        None => (0, DEFAULT_DEADLINE_MS),
        Some(name) => {
            let class = cfg.priorities.get(name).ok_or(Reason::UnknownPriority)?;
            (class.rank, class.default_deadline_ms)
        }
    };
    let deadline = req.deadline.unwrap_or(now.plus_millis(default_ms));
    Ok(Class { rank, deadline })
}
