//! Events that the decision logic counts. The telemetry crate turns them into metrics.

use crate::refusal::RefusalReason;

/// Why an operation was retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// The sidecar refused the attempt before starting it.
    Refused,
    /// The target failed; another target may succeed.
    TargetFailed,
    /// The target crashed.
    TargetCrashed,
    /// The link to the target's VM or the VM itself was lost.
    TargetLost,
    /// A batch item was preempted by online work.
    Preempted,
    /// The lease of a lot of items expired.
    LeaseLapsed,
    /// The answer to a ledger write was lost, so its effect is unknown.
    AmbiguousWrite,
    /// A ledger write conflicted with another writer's.
    WriteConflict,
    /// The object API throttled the call or was unavailable.
    StoreUnavailable,
    /// The ownership of the shard moved to another gateway.
    OwnerMoved,
}

impl RetryReason {
    /// Every reason, so that each counter can be registered at start-up.
    pub const ALL: [RetryReason; 10] = [
        Self::Refused,
        Self::TargetFailed,
        Self::TargetCrashed,
        Self::TargetLost,
        Self::Preempted,
        Self::LeaseLapsed,
        Self::AmbiguousWrite,
        Self::WriteConflict,
        Self::StoreUnavailable,
        Self::OwnerMoved,
    ];

    /// The metric label.
    pub fn code(self) -> &'static str {
        match self {
            Self::Refused => "refused",
            Self::TargetFailed => "target_failed",
            Self::TargetCrashed => "target_crashed",
            Self::TargetLost => "target_lost",
            Self::Preempted => "preempted",
            Self::LeaseLapsed => "lease_lapsed",
            Self::AmbiguousWrite => "ambiguous_write",
            Self::WriteConflict => "write_conflict",
            Self::StoreUnavailable => "store_unavailable",
            Self::OwnerMoved => "owner_moved",
        }
    }
}

/// Why a received message or record was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// An answer to an attempt that had been abandoned.
    LateAnswer,
    /// A result of an item that already has one.
    DuplicateResult,
    /// A message from an older epoch.
    StaleEpoch,
    /// A message from an older incarnation of its sender.
    StaleIncarnation,
    /// A catalogue entry older than the one in force.
    StaleEntry,
    /// A frame or record that could not be decoded.
    Undecodable,
    /// The buffer for it was full.
    BufferFull,
}

impl DropReason {
    /// Every reason, so that each counter can be registered at start-up.
    pub const ALL: [DropReason; 7] = [
        Self::LateAnswer,
        Self::DuplicateResult,
        Self::StaleEpoch,
        Self::StaleIncarnation,
        Self::StaleEntry,
        Self::Undecodable,
        Self::BufferFull,
    ];

    /// The metric label.
    pub fn code(self) -> &'static str {
        match self {
            Self::LateAnswer => "late_answer",
            Self::DuplicateResult => "duplicate_result",
            Self::StaleEpoch => "stale_epoch",
            Self::StaleIncarnation => "stale_incarnation",
            Self::StaleEntry => "stale_entry",
            Self::Undecodable => "undecodable",
            Self::BufferFull => "buffer_full",
        }
    }
}

/// A counter, with the label it is counted under.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A refusal, by reason.
    Refused(RefusalReason),
    /// A retry, by reason.
    Retried(RetryReason),
    /// A drop, by reason.
    Dropped(DropReason),
    /// Any other event, by its snake_case name (`lots_granted`, `links_replaced`, …).
    Event(&'static str),
}
