//! Lots of batch items: pulled by sidecars, leased to them, and finished or returned.

use notch_types::prelude::*;
use serde::{Deserialize, Serialize};

/// An item of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ItemKey {
    /// The job.
    pub job: JobId,
    /// The item's index in the job.
    pub item: ItemIndex,
}

/// A sidecar's request for work. Its gateway forwards it to the owner of a shard that has work for
/// the target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotPull {
    /// The VM of the sidecar.
    pub vm: VmName,
    /// The sidecar's incarnation.
    pub incarnation: Incarnation,
    /// The target to run the items on.
    pub target: TargetName,
    /// How many items the target can take now.
    pub slots: u32,
}

/// One item of a lot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotItem {
    /// The item.
    pub key: ItemKey,
    /// Number of the attempt.
    pub attempt: u64,
    /// The item's body, JSON.
    pub body: Payload,
    /// Output of an earlier, preempted attempt, after which to resume.
    pub progress: Option<Payload>,
    /// Fingerprint of the work.
    pub fingerprint: Fingerprint,
}

/// Items leased to a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LotGrant {
    /// The lot; unique within (shard, epoch).
    pub lot: LotId,
    /// The shard that owns the job.
    pub shard: ShardId,
    /// The owner's epoch. A sidecar refuses an epoch older than one it has seen for the shard.
    pub epoch: Epoch,
    /// The target to run them on.
    pub target: TargetName,
    /// The account that submitted the job.
    pub account: AccountName,
    /// Whether items may run more than once.
    pub idempotent: bool,
    /// Duration of the lease, milliseconds from the sending of the grant.
    pub lease_ms: u64,
    /// Whether the job would miss its due time at its current rate; its items may then use the share
    /// of capacity that is reserved for batch work.
    #[serde(default)]
    pub urgent: bool,
    /// The items.
    pub items: Vec<LotItem>,
}

/// Outcome of an item at a sidecar.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemOutcome {
    /// The target's whole answer.
    Answered {
        /// HTTP status.
        status: u16,
        /// The body.
        body: Payload,
    },
    /// The item failed.
    Failed {
        /// Stable code of the failure.
        reason: RefusalReason,
        /// Whether a retry may succeed.
        retryable: bool,
        /// Whether it may have run.
        ran: Ran,
        /// One sentence for people to read.
        detail: String,
    },
}

/// Sidecar to shard owner: the result of an item. The sidecar keeps it until the owner confirms
/// that it is committed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The item.
    pub key: ItemKey,
    /// The lot that contained the item.
    pub lot: LotId,
    /// Number of the attempt.
    pub attempt: u64,
    /// The outcome.
    pub outcome: ItemOutcome,
}

/// Sidecar to shard owner: an item returned unfinished, which doesn't count as an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemReturn {
    /// The item.
    pub key: ItemKey,
    /// The lot that contained the item.
    pub lot: LotId,
    /// Number of the attempt.
    pub attempt: u64,
    /// Why it is returned.
    pub reason: ReturnReason,
    /// Output so far, after which to resume.
    pub progress: Option<Payload>,
    /// Whether it had started; a non-idempotent item that has started is never run again.
    pub started: bool,
}

/// Why an item is returned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReturnReason {
    /// It was preempted by online work.
    Preempted,
    /// The sidecar is leaving.
    Leaving,
    /// The target crashed with it in flight.
    TargetCrashed,
    /// It was never started because the target had no capacity left for it.
    NotStarted,
    /// Its job was cancelled; the return acknowledges the cancellation.
    Cancelled,
}
