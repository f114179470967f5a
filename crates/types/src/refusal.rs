//! Reasons for refusing a request, and whether the request may have run.

use serde::{Deserialize, Serialize};

/// Whether a refused or failed request may have run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Ran {
    /// It was certainly never started anywhere and never will be.
    No,
    /// It may have started; whether it did can't be determined.
    Unknown,
}

/// Reason for a refusal. Each has a stable code and a counter, and is explained in
/// docs/OPERATIONS.md.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalReason {
    /// The request can't be parsed or breaks a rule of the protocol.
    BadRequest,
    /// A body, header or line exceeds its limit.
    TooLarge,
    /// The request has no key, or a key that belongs to no account.
    Unauthorized,
    /// The requested resource does not exist or belongs to another account.
    NotFound,
    /// No catalogue entry in force has this name.
    UnknownTarget,
    /// The account is over its rate or concurrency limit.
    AccountLimit,
    /// No sidecar of the target is known, or all of them are shutting down.
    NoTarget,
    /// Every sidecar that was tried has a full admission queue.
    Overloaded,
    /// The deadline passed, or would pass before the work could start.
    DeadlinePassed,
    /// Every circuit of the target is open.
    CircuitOpen,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request crashed targets and is quarantined.
    Quarantined,
    /// The process is shutting down.
    Leaving,
    /// The ledger can't persist the required record at present.
    StoreUnavailable,
    /// A non-idempotent request came without an idempotency key.
    KeyRequired,
    /// The same key came with a different body.
    KeyReused,
    /// A non-idempotent request may have run and will not be run again.
    OutcomeUnknown,
    /// The target failed the request with an error that a retry can't resolve.
    TargetFailed,
    /// The target was lost in the middle of the answer.
    TargetLost,
    /// The job or request was cancelled.
    Cancelled,
    /// The fencing token is older than one already seen.
    StaleEpoch,
    /// The edit conflicts with another one: the entry has a newer version.
    VersionConflict,
    /// The catalogue entry violates the schema.
    InvalidEntry,
    /// The retention period of the result has ended.
    Expired,
    /// An internal error of this system.
    Internal,
}

impl RefusalReason {
    /// Every reason, so that each counter can be registered at start-up.
    pub const ALL: [RefusalReason; 25] = [
        Self::BadRequest,
        Self::TooLarge,
        Self::Unauthorized,
        Self::NotFound,
        Self::UnknownTarget,
        Self::AccountLimit,
        Self::NoTarget,
        Self::Overloaded,
        Self::DeadlinePassed,
        Self::CircuitOpen,
        Self::RetryBudget,
        Self::Quarantined,
        Self::Leaving,
        Self::StoreUnavailable,
        Self::KeyRequired,
        Self::KeyReused,
        Self::OutcomeUnknown,
        Self::TargetFailed,
        Self::TargetLost,
        Self::Cancelled,
        Self::StaleEpoch,
        Self::VersionConflict,
        Self::InvalidEntry,
        Self::Expired,
        Self::Internal,
    ];

    /// The stable code, as used in JSON and in metric labels.
    pub fn code(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::TooLarge => "too_large",
            Self::Unauthorized => "unauthorized",
            Self::NotFound => "not_found",
            Self::UnknownTarget => "unknown_target",
            Self::AccountLimit => "account_limit",
            Self::NoTarget => "no_target",
            Self::Overloaded => "overloaded",
            Self::DeadlinePassed => "deadline_passed",
            Self::CircuitOpen => "circuit_open",
            Self::RetryBudget => "retry_budget",
            Self::Quarantined => "quarantined",
            Self::Leaving => "leaving",
            Self::StoreUnavailable => "store_unavailable",
            Self::KeyRequired => "key_required",
            Self::KeyReused => "key_reused",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::TargetFailed => "target_failed",
            Self::TargetLost => "target_lost",
            Self::Cancelled => "cancelled",
            Self::StaleEpoch => "stale_epoch",
            Self::VersionConflict => "version_conflict",
            Self::InvalidEntry => "invalid_entry",
            Self::Expired => "expired",
            Self::Internal => "internal",
        }
    }
}

/// A refusal as it is returned to the caller.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// The stable code.
    pub reason: RefusalReason,
    /// Whether the request may have run. `No` is a guarantee.
    pub ran: Ran,
    /// When to retry, milliseconds from now.
    pub retry_after_ms: Option<u64>,
    /// One sentence for people to read.
    pub detail: String,
}

impl Refusal {
    /// A refusal of a request that was never started.
    pub fn not_run(reason: RefusalReason, detail: &str) -> Self {
        Self { reason, ran: Ran::No, retry_after_ms: None, detail: detail.to_owned() }
    }

    /// A refusal of a request that may have started.
    pub fn unknown(reason: RefusalReason, detail: &str) -> Self {
        Self { reason, ran: Ran::Unknown, retry_after_ms: None, detail: detail.to_owned() }
    }

    /// Sets the time after which to retry.
    pub fn retry_after(self, millis: u64) -> Self {
        Self { retry_after_ms: Some(millis), ..self }
    }
}
