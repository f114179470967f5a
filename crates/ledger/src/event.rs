//! What a shard is told.

use notch_types::{
    object::StoreResult,
    prelude::{CallId, Payload},
};

use crate::seq::{Seq, SeqRange};

/// The user's own number of an append; given back with its end. Unique among open appends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AppendTicket(pub u64);

/// A question about chunks that seem unused; given back with the answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SweepId(pub u64);

/// How soon an append should be committed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendUrgency {
    /// Someone waits for it: after the shortest delay that the write budget allows.
    Prompt,
    /// Nobody waits: after the longest delay, or along with the next prompt one.
    Relaxed,
}

/// This node's place in the order in which nodes should own the shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShardStanding {
    /// The node that should own it. Polls often while it doesn't.
    Preferred,
    /// Next in line, from 1. Polls the slower the higher the rank, and takes over the later.
    /// An owner of this standing hands the shard over, after its least tenure.
    Standby(u8),
    /// Neither polls nor takes over. An owner of this standing hands the shard over.
    Bystander,
}

/// An event for [`crate::LedgerShard::handle`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ShardEvent {
    /// The node's place in line, by the membership's view. [`ShardStanding::Bystander`] at first.
    Stand(ShardStanding),
    /// Records to be committed together, next to each other, or not at all.
    Append {
        /// Returns with `Committed` or `Rejected`, exactly one of them.
        ticket: AppendTicket,
        /// The records; none is larger than `ShardSettings::max_record_bytes`.
        records: Vec<Payload>,
        /// How soon.
        urgency: AppendUrgency,
        /// Keys of chunk objects (`chunk/{shard}/…`) that the records name. They are checked to
        /// be there and young by the store's clock before anything is committed.
        chunks: Vec<String>,
    },
    /// Take an append back if it isn't on its way: then it's `Rejected` as not committed.
    /// Without effect otherwise.
    Withdraw {
        /// The append.
        ticket: AppendTicket,
    },
    /// The answer to an `Effect::Call`. Every call gets one; `StoreFailure::Unknown` when lost.
    StoreAnswered {
        /// Which call.
        call: CallId,
        /// How it ended.
        result: StoreResult,
    },
    /// The user's state, asked for by `SnapshotWanted` or given unasked.
    SnapshotTaken {
        /// The state covers every record before this place; at most the last applied one's next.
        upto: Seq,
        /// The user's state.
        state: Vec<u8>,
        /// Places before `upto` whose records must stay readable. Everything else before `upto`
        /// is forgotten: this is how the user says which ranges are no longer needed. Stated
        /// whole each time, so that nothing about it can be lost with an owner.
        needed: Vec<SeqRange>,
    },
    /// The user's answer to `SweepChunks`: those of the keys that no state or record names.
    SweepAnswered {
        /// The question.
        sweep: SweepId,
        /// Keys that may be deleted.
        unused: Vec<String>,
    },
    /// A segment given by `locate` wasn't in the store: the head is checked at once.
    SegmentMissed,
    /// Graceful shutdown: commits what is queued and gives the lease up in the same update.
    Release,
    /// Time has passed; sent when `next_wake` is due.
    Tick,
}
