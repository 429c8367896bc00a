//! Outcomes and refusals.
//!
//! "Not run" can only be said by giving up an [`Unsent`], and sending consumes
//! it: once bytes may have reached a backend server, no code can build the
//! refusal.

use crate::Time;

/// What became of a refused call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Outcome {
    /// It did not run and will not.
    NotRun,
    /// It may have run.
    Unknown,
    /// It ran.
    Done,
}

impl Outcome {
    /// Returns the word for it in answers and counters.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::NotRun => "not_run",
            Outcome::Unknown => "unknown",
            Outcome::Done => "done",
        }
    }
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Reason {
    /// No workspace has this token.
    BadToken,
    /// No such model.
    UnknownModel,
    /// No such service, or no such call of it.
    UnknownService,
    /// No such priority class.
    UnknownPriority,
    /// A call that may not be repeated came without a usable idempotency key.
    KeyMissing,
    /// The idempotency key's time is too long ago, or in the future.
    KeyExpired,
    /// The idempotency key was used for another request.
    KeyReused,
    /// The workspace has too much in flight.
    QuotaExceeded,
    /// The call's fair share is used up under overload.
    Overloaded,
    /// No backend server would answer before the deadline.
    DeadlineTooClose,
    /// The deadline went by.
    DeadlinePassed,
    /// No backend server that may serve the call is live.
    NoBackendServer,
    /// Retries of the workspace are used up.
    RetryBudgetSpent,
    /// The call failed on all backend servers that were tried.
    AttemptsFailed,
    /// The call crashed too many runners.
    CrashedEngines,
    /// The platform can't be reached, and the call needs its record.
    PlatformUnavailable,
    /// The same call is running under another router.
    InProgress,
    /// An earlier attempt of the same call may have run.
    EarlierAttemptUnknown,
    /// The call ran, but its answer was not kept.
    AnswerNotKept,
    /// The engine that held the stream is gone.
    StreamGone,
    /// The router has no configuration yet.
    NotConfigured,
    /// The router is shutting down.
    ShuttingDown,
}

impl Reason {
    /// Returns the word for it in answers and counters.
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

/// Mark of a call whose first attempt is with a backend server.
#[derive(Debug)]
pub struct InFlight(());

/// What is known of a call's attempts so far.
#[derive(Debug)]
pub enum Progress {
    /// Nothing was sent.
    Unsent(Unsent),
    /// One attempt is in flight, and none went before it that may have run.
    InFlight(InFlight),
    /// An attempt may have run.
    MayHaveRun,
}

impl Unsent {
    /// Starts a call of which nothing was sent, now or earlier.
    pub(crate) fn new() -> Unsent {
        Unsent(())
    }

    /// Gives the proof up for sending.
    pub(crate) fn send(self) -> InFlight {
        InFlight(())
    }
}

impl InFlight {
    /// Wins the proof back: the attempt ended before a connection was made, or
    /// was refused by the server before it ran anything.
    pub(crate) fn never_ran(self) -> Unsent {
        Unsent(())
    }
}

impl Progress {
    /// Returns what is known once an attempt is sent.
    pub(crate) fn sent(self) -> Progress {
        match self {
            Progress::Unsent(proof) => Progress::InFlight(proof.send()),
            Progress::InFlight(_) | Progress::MayHaveRun => Progress::MayHaveRun,
        }
    }

    /// Returns what is known once the attempt in flight has failed.
    pub(crate) fn failed(self, never_ran: bool) -> Progress {
        match self {
            Progress::InFlight(attempt) if never_ran => Progress::Unsent(attempt.never_ran()),
            Progress::Unsent(proof) => Progress::Unsent(proof),
            Progress::InFlight(_) | Progress::MayHaveRun => Progress::MayHaveRun,
        }
    }

    /// Builds the truest refusal.
    pub(crate) fn refuse(self, reason: Reason, retry_at: Option<Time>) -> Refusal {
        match self {
            Progress::Unsent(proof) => Refusal::not_run(proof, reason, retry_at),
            Progress::InFlight(_) | Progress::MayHaveRun => Refusal::unknown(reason, retry_at),
        }
    }
}

/// The final answer to a call that is not served.
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

    /// Gives up a call that may have run.
    pub(crate) fn unknown(reason: Reason, retry_at: Option<Time>) -> Refusal {
        Refusal {
            reason,
            outcome: Outcome::Unknown,
            retry_at,
        }
    }

    /// Answers for a call that ran, but whose answer can't be given.
    pub(crate) fn done(reason: Reason) -> Refusal {
        Refusal {
            reason,
            outcome: Outcome::Done,
            retry_at: None,
        }
    }

    /// Returns why.
    pub fn reason(&self) -> Reason {
        self.reason
    }

    /// Returns what became of the call.
    pub fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns when the caller may come back, if that can help.
    pub fn retry_at(&self) -> Option<Time> {
        self.retry_at
    }
}
