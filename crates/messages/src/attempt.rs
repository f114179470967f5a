//! One attempt of a request at a sidecar.

use notch_types::{class::WorkClass, prelude::*};
use serde::{Deserialize, Serialize};

/// Gateway to sidecar: run this attempt, or refuse it with a reason.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptOffer {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// The model or service that the request is for.
    pub target: TargetName,
    /// The account that sent the request.
    pub account: AccountName,
    /// Whether it is an online request or an item of a job.
    pub class: WorkClass,
    /// Path below the target for a plain service, empty for an engine.
    pub path: String,
    /// The request's body: JSON exactly as the caller sent it.
    pub body: Payload,
    /// Whether the caller asked for a streamed answer.
    pub stream: bool,
    /// Milliseconds left until the deadline when the offer is sent.
    pub deadline_ms: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Fingerprint of the work, by which crash suspects and quarantine are identified.
    pub fingerprint: Fingerprint,
    /// Whether it must be the only attempt in flight at the target because it is suspected of
    /// crashing targets. The sidecar starts it once the target is idle and admits nothing beside it.
    #[serde(default)]
    pub alone: bool,
    /// Output produced by an earlier attempt, after which to resume (batch only).
    pub progress: Option<Payload>,
}

/// Sidecar to gateway: the attempt is refused. A refusal guarantees that the attempt was never
/// started here and never will be.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AttemptRefusal {
    /// The refused attempt.
    pub attempt: AttemptId,
    /// Why it was refused.
    pub reason: RefusalReason,
    /// When to retry, milliseconds from now.
    pub retry_after_ms: Option<u64>,
}
