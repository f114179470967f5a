//! What decisions count. The telemetry crate turns these into metrics.

use crate::refusal::RefusalReason;

/// Why something was tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum RetryReason {
    /// The sidecar refused before starting.
    Refused,
    /// The target failed in a way another may not.
    TargetFailed,
    /// The target crashed.
    TargetCrashed,
    /// The link or the VM was lost.
    TargetLost,
    /// A batch item stepped aside for online work.
    Preempted,
    /// A lot's lease lapsed.
    LeaseLapsed,
    /// A ledger write whose answer was lost.
    AmbiguousWrite,
    /// A ledger write that lost a race.
    WriteConflict,
    /// The object API asked for patience or was down.
    StoreUnavailable,
    /// The shard's owner moved.
    OwnerMoved,
}

impl RetryReason {
    /// Every reason, for registering counters.
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

/// Why something that arrived was dropped.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum DropReason {
    /// An answer of an attempt that was given up.
    LateAnswer,
    /// A second result of an item that has one.
    DuplicateResult,
    /// A message of an older epoch.
    StaleEpoch,
    /// A message of an older incarnation.
    StaleIncarnation,
    /// A catalogue entry older than the one in force.
    StaleEntry,
    /// A frame or record that can't be decoded.
    Undecodable,
    /// A buffer at its bound.
    BufferFull,
}

impl DropReason {
    /// Every reason, for registering counters.
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

/// One thing to count.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Counter {
    /// A refusal, by reason.
    Refused(RefusalReason),
    /// A retry, by reason.
    Retried(RetryReason),
    /// Something dropped, by reason.
    Dropped(DropReason),
    /// A plain event, by its snake_case name (`lots_granted`, `links_replaced`, …).
    Event(&'static str),
}
