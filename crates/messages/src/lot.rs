//! Lots of batch items: pulled, leased, ended or handed back.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An item of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// The item's place in it.
    pub item: ItemIndex,
}

/// Sidecar asks for work; its gateway passes it on to a shard owner with work for the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotPull {
    /// Who asks.
    pub vm: VmName,
    /// The asker's incarnation.
    pub incarnation: Incarnation,
    /// For which target.
    pub target: TargetName,
    /// How many items fit now.
    pub slots: u32,
}

/// One item of a lot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotItem {
    /// The item.
    pub key: ItemKey,
    /// Number of this try.
    pub attempt: u64,
    /// The item's body, JSON.
    pub body: Payload,
    /// Output of an earlier attempt that stepped aside, to resume after.
    pub progress: Option<Payload>,
    /// What it would run.
    pub fingerprint: Fingerprint,
}

/// Items leased to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotGrant {
    /// The lot; unique within (shard, epoch).
    pub lot: LotId,
    /// The shard that owns the job.
    pub shard: ShardId,
    /// The owner's epoch; a sidecar refuses one older than it has seen for the shard.
    pub epoch: Epoch,
    /// The target to run them on.
    pub target: TargetName,
    /// Whose job.
    pub account: AccountName,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// The lease's length, milliseconds from the sending.
    pub lease_ms: u64,
    /// Whether the job would miss its due time at its present pace: its items may use the batch
    /// floor share.
    #[serde(default)]
    pub urgent: bool,
    /// The items.
    pub items: Vec<LotItem>,
}

/// How an item ended at a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The target's whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Payload,
    },
    /// It failed; another try may do better when `retryable`.
    Failed {
        /// Stable code of the failure.
        reason: RefusalReason,
        /// Whether another try may do better.
        retryable: bool,
        /// Whether it may have run.
        ran: Ran,
        /// One sentence for a person.
        detail: String,
    },
}

/// Sidecar to shard owner: an item's end. Kept by the sidecar until the owner says committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub key: ItemKey,
    /// The lot it came in.
    pub lot: LotId,
    /// Number of the try.
    pub attempt: u64,
    /// How it ended.
    pub outcome: ItemOutcome,
}

/// Sidecar to shard owner: not finished, given back at no cost to its attempt count.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReturn {
    /// The item.
    pub key: ItemKey,
    /// The lot it came in.
    pub lot: LotId,
    /// Number of the try.
    pub attempt: u64,
    /// Why it comes back.
    pub reason: ReturnReason,
    /// Output so far, to resume after.
    pub progress: Option<Payload>,
    /// Whether it had started; a non-idempotent item that had is never run again.
    pub started: bool,
}

/// Why an item comes back.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// Stepped aside for online work.
    Preempted,
    /// The sidecar is leaving.
    Leaving,
    /// The target crashed with it in flight.
    TargetCrashed,
    /// Never started: no room after all.
    NotStarted,
    /// Its job was cancelled; acknowledges the cancellation.
    Cancelled,
}
