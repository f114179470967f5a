//! What a shard wants done.

use std::fmt;

use notch_types::{object::StoreCall, prelude::*};

use crate::{
    event::{AppendTicket, SweepId},
    seq::Seq,
};

/// How sure a rejection is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RejectCertainty {
    /// The records aren't in the ledger and never will be: a promise.
    NotCommitted,
    /// Nobody can say any more.
    Unknown,
}

/// Why an append was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum RejectReason {
    /// This node doesn't own the shard, or hasn't replayed it yet.
    NotOwner,
    /// The shard was taken over while the append was queued or on its way.
    Deposed,
    /// The shard is being given up.
    Releasing,
    /// The queue of uncommitted records is at its bound.
    QueueFull,
    /// Too many segments since the last snapshot.
    SnapshotOverdue,
    /// A record, or all of them together, over the limits; or none at all.
    TooLarge,
    /// A chunk that the records name is gone or too old to be named: write it anew.
    ChunkStale,
    /// Taken back by the user.
    Withdrawn,
}

impl RejectReason {
    /// The name of the counter of this reason.
    pub fn counter(self) -> &'static str {
        match self {
            Self::NotOwner => "ledger_rejected_not_owner",
            Self::Deposed => "ledger_rejected_deposed",
            Self::Releasing => "ledger_rejected_releasing",
            Self::QueueFull => "ledger_rejected_queue_full",
            Self::SnapshotOverdue => "ledger_rejected_snapshot_overdue",
            Self::TooLarge => "ledger_rejected_too_large",
            Self::ChunkStale => "ledger_rejected_chunk_stale",
            Self::Withdrawn => "ledger_rejected_withdrawn",
        }
    }
}

impl fmt::Display for RejectReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotOwner => "not the owner of the shard",
            Self::Deposed => "the shard was taken over",
            Self::Releasing => "the shard is being handed over",
            Self::QueueFull => "too much is waiting for the store",
            Self::SnapshotOverdue => "the log is too long without a snapshot",
            Self::TooLarge => "over the size limits",
            Self::ChunkStale => "a chunk is gone or too old",
            Self::Withdrawn => "withdrawn",
        })
    }
}

/// An effect of [`crate::LedgerShard::handle`], to be carried out in order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEffect {
    /// Make this call and give its answer back.
    Call(StoreCall),
    /// Reset the user's state to this; empty at place 0 when there is no snapshot. Comes first
    /// in each replay.
    Restore {
        /// The state as it was given with `SnapshotTaken`.
        state: Vec<u8>,
        /// Records from here on follow by `Apply`.
        upto: Seq,
    },
    /// The next record in the shard's one order. Each place comes exactly once after a `Restore`.
    Apply {
        /// Its place.
        seq: Seq,
        /// The record.
        record: Payload,
    },
    /// Replay is complete: this node owns the shard and takes appends.
    Owned {
        /// The fencing token of this ownership.
        epoch: Epoch,
    },
    /// The ownership has ended, by takeover or by release. Every open append has ended before.
    Lost {
        /// The epoch that ended.
        epoch: Epoch,
    },
    /// Someone else owns the shard, or nobody.
    Observed {
        /// The epoch seen.
        epoch: Epoch,
        /// Its owner; `None` when given up or never owned.
        owner: Option<VmName>,
    },
    /// The append is durable, and its records were applied just before (unless the shard was
    /// lost meanwhile).
    Committed {
        /// The append.
        ticket: AppendTicket,
        /// The place of its first record; the others follow without gap.
        first_seq: Seq,
    },
    /// The append has ended without a commit that can be promised.
    Rejected {
        /// The append.
        ticket: AppendTicket,
        /// What is sure about it.
        certainty: RejectCertainty,
        /// Why.
        reason: RejectReason,
    },
    /// Give the state by `SnapshotTaken`, soon.
    SnapshotWanted,
    /// Which of these old chunk objects does no state or record name? Answer by `SweepAnswered`
    /// from the state as it is at this effect.
    SweepChunks {
        /// Matches the answer.
        sweep: SweepId,
        /// Keys older than the grace time.
        keys: Vec<String>,
    },
    /// Count this.
    Count(Counter),
    /// Keep this for `explain`.
    Note(DecisionNote),
}
