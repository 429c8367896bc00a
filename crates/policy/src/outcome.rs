//! Outcomes and refusals of calls.
//!
//! A refusal that says "not run" can only be built from an [`Unsent`], and
//! sending consumes it: once bytes may have reached a backend server, no code
//! can build that refusal.

use crate::Time;

/// What happened to a call that is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It did not run and will not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Done,
}

impl Outcome {
    /// Returns the name used in responses and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Done => "done",
        }
    }
}

/// Reason for the refusal of a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No workspace has this token.
    BadToken,
    /// No such model.
    UnknownModel,
    /// No such service, or the service has no such call.
    UnknownService,
    /// No such priority class.
    UnknownPriority,
    /// A call that may run at most once has no valid idempotency key.
    KeyMissing,
    /// The timestamp of the idempotency key is too old or in the future.
    KeyExpired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The workspace would exceed its quota of requests or tokens in flight.
    QuotaExceeded,
    /// The expected wait is too long for the call's rank and its workspace's use of its fair share.
    Overloaded,
    /// No backend server is expected to respond before the deadline.
    DeadlineTooClose,
    /// The deadline has passed.
    DeadlinePassed,
    /// No backend server is available for the call.
    NoBackendServer,
    /// The retry budget of the workspace is used up.
    RetryBudgetSpent,
    /// An attempt failed, and the call is not attempted again: it has used all attempts, or it may
    /// have run and may run at most once.
    AttemptsFailed,
    /// Too many engines failed while running the call.
    CrashedEngines,
    /// The platform is unreachable, and the call needs its idempotency record.
    PlatformUnavailable,
    /// Another request with the same idempotency key holds the claim.
    InProgress,
    /// An earlier request with the same idempotency key may have run.
    EarlierAttemptUnknown,
    /// The call ran, but its response was not recorded.
    AnswerNotKept,
    /// The stream can't be continued: its engine is gone or does not have it.
    StreamGone,
    /// The router has no configuration yet.
    NotConfigured,
    /// The router is shutting down.
    ShuttingDown,
}

impl Reason {
    /// Returns the name used in responses and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Reason::BadToken => "bad_token",
            Reason::UnknownModel => "unknown_model",
            Reason::UnknownService => "unknown_service",
            Reason::UnknownPriority => "unknown_priority",
            Reason::KeyMissing => "key_missing",
            Reason::KeyExpired => "key_expired",
            Reason::KeyReused => "key_reused",
            Reason::QuotaExceeded => "quota_exceeded",
            Reason::Overloaded => "overloaded",
            Reason::DeadlineTooClose => "deadline_too_close",
            Reason::DeadlinePassed => "deadline_passed",
            Reason::NoBackendServer => "no_backend_server",
            Reason::RetryBudgetSpent => "retry_budget_spent",
            Reason::AttemptsFailed => "attempts_failed",
            Reason::CrashedEngines => "crashed_runners",
            Reason::PlatformUnavailable => "platform_unavailable",
            Reason::InProgress => "in_progress",
            Reason::EarlierAttemptUnknown => "earlier_attempt_unknown",
            Reason::AnswerNotKept => "answer_not_kept",
            Reason::StreamGone => "stream_gone",
            Reason::NotConfigured => "not_configured",
            Reason::ShuttingDown => "shutting_down",
        }
    }
}

/// Proof that no byte of a call has been sent to a backend server.
#[derive(Debug)]
pub struct Unsent(());

/// Proof that one attempt of a call is in flight and that no earlier one may have run.
#[derive(Debug)]
pub struct InFlight(());

/// What is known about the execution of a call.
#[derive(Debug)]
pub enum Progress {
    /// Nothing was sent.
    Unsent(Unsent),
    /// One attempt is in flight, and no earlier one may have run.
    InFlight(InFlight),
    /// An attempt may have run.
    MayHaveRun,
}

impl Unsent {
    /// Creates the proof for a call that was never sent, neither now nor earlier.
    pub(crate) fn new() -> Unsent {
        Unsent(())
    }

    /// Consumes the proof when an attempt is sent.
    pub(crate) fn send(self) -> InFlight {
        InFlight(())
    }
}

impl InFlight {
    /// Restores the proof: the attempt ended before a connection was
    /// established, or the server refused it before execution.
    pub(crate) fn never_ran(self) -> Unsent {
        Unsent(())
    }
}

impl Progress {
    /// Returns the progress after an attempt is sent.
    pub(crate) fn sent(self) -> Progress {
        match self {
            Progress::Unsent(proof) => Progress::InFlight(proof.send()),
            Progress::InFlight(_) | Progress::MayHaveRun => Progress::MayHaveRun,
        }
    }

    /// Returns the progress after the attempt in flight has failed.
    pub(crate) fn failed(self, never_ran: bool) -> Progress {
        match self {
            Progress::InFlight(attempt) if never_ran => Progress::Unsent(attempt.never_ran()),
            Progress::Unsent(proof) => Progress::Unsent(proof),
            Progress::InFlight(_) | Progress::MayHaveRun => Progress::MayHaveRun,
        }
    }

    /// Builds the refusal with the most precise outcome that the progress allows.
    pub(crate) fn refuse(self, reason: Reason, retry_at: Option<Time>) -> Refusal {
        match self {
            Progress::Unsent(proof) => Refusal::not_run(proof, reason, retry_at),
            Progress::InFlight(_) | Progress::MayHaveRun => Refusal::unknown(reason, retry_at),
        }
    }
}

/// The final response to a call that is not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    reason: Reason,
    outcome: Outcome,
    retry_at: Option<Time>,
}

impl Refusal {
    /// Refuses a call that was not sent.
    pub(crate) fn not_run(proof: Unsent, reason: Reason, retry_at: Option<Time>) -> Refusal {
        let Unsent(()) = proof;
        Refusal {
            reason,
            outcome: Outcome::NotRun,
            retry_at,
        }
    }

    /// Refuses a call that may have run.
    pub(crate) fn unknown(reason: Reason, retry_at: Option<Time>) -> Refusal {
        Refusal {
            reason,
            outcome: Outcome::Unknown,
            retry_at,
        }
    }

    /// Refuses a call that ran, but whose response is not available.
    pub(crate) fn done(reason: Reason) -> Refusal {
        Refusal {
            reason,
            outcome: Outcome::Done,
            retry_at: None,
        }
    }

    /// Returns the reason of the refusal.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns what happened to the call.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns when the caller may retry; none if a retry can't help.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }
}
