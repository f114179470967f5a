//! One try of a request at a sidecar.

use notch_types::{class::WorkClass, prelude::*};
use serde::{Deserialize, Serialize};

/// Gateway to sidecar: run this, or say why not.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOffer {
    /// Which try of which request.
    pub attempt: AttemptId,
    /// The model or service asked for.
    pub target: TargetName,
    /// Who asks.
    pub account: AccountName,
    /// Online, or an item of a job.
    pub class: WorkClass,
    /// Path below the target for a plain service, empty for an engine.
    pub path: String,
    /// The request's body, JSON as the caller sent it.
    pub body: Payload,
    /// Whether the caller reads a stream.
    pub stream: bool,
    /// Milliseconds left until the deadline, counted from the sending.
    pub deadline_ms: u64,
    /// Whether the target may run it more than once.
    pub idempotent: bool,
    /// What it would run; suspects and quarantine go by it.
    pub fingerprint: Fingerprint,
    /// Whether it must be the only one in flight at the target, for it is suspected of crashing
    /// targets: the sidecar starts it when the target is empty and lets nothing join it.
    #[serde(default)]
    pub alone: bool,
    /// Output already produced by an earlier attempt, to resume after (batch only).
    pub progress: Option<Payload>,
}

/// Sidecar to gateway: not taken. A refusal always means "never started here, and never will be".
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRefusal {
    /// The attempt refused.
    pub attempt: AttemptId,
    /// Why.
    pub reason: RefusalReason,
    /// When a new try makes sense, milliseconds.
    pub retry_after_ms: Option<u64>,
}
